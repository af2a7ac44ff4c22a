package engine

import (
	"context"
	"maps"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/primaryposition"
)

// minProofInterval is the least time between two requests for a leadership proof.
const minProofInterval = 20 * time.Millisecond

// serveProofs fetches leadership proofs for the statements that need one, until ctx ends. It does not wait for an
// unresponsive primary.
func (g *group) serveProofs(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.proofRequests:
		}
		interval := minProofInterval
		if !g.renewProof() {
			// Targets that are busy or full because of the calls of all daemons would stay so at minProofInterval.
			interval = g.statusRoundInterval()
			g.requestStatusRound()
		}
		if clock.Sleep(ctx, interval) != nil {
			return
		}
	}
}

// renewProof requests the statuses of the primary and a witness, or of all replicas while the primary is unresponsive,
// and reports whether they prove that the primary still leads.
func (g *group) renewProof() bool {
	targets := g.proofTargets()
	if len(targets) == 0 {
		return false
	}
	began := clock.SinceBoot()
	statuses := g.askAll(targets, statusTimeout)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordStatuses(statuses)
	g.updatePrimary()
	g.applyProof()
	renewed := g.provenUntil >= began+leadership.ProofValidity
	if !renewed {
		g.logProofMissing(len(targets), len(statuses))
	}
	return renewed
}

// proofTargets returns the targets that are asked for a leadership proof: the primary, and one witness that did not fail
// recently and does not leave, in the daemon's own zone if there is one there. It returns all members if there is no such
// witness, and all except the primary while that is unresponsive or unknown.
func (g *group) proofTargets() map[string]*member {
	now := clock.SinceBoot()
	g.mu.Lock()
	defer g.mu.Unlock()
	primary, ok := g.members[g.primary]
	if g.isPrimaryUnresponsive(now) {
		targets := maps.Clone(g.members)
		delete(targets, g.primary)
		return targets
	}
	if !ok {
		return nil
	}
	replica := ""
	for name, m := range g.members {
		if name == g.primary || now < m.recentFailureUntil || m.target.Leaving || !m.isWitness(now) {
			continue
		}
		if best, ok := g.members[replica]; !ok || m.target.Zone == g.zone || best.target.Zone != g.zone && name < replica {
			replica = name
		}
	}
	if replica == "" {
		return maps.Clone(g.members)
	}
	return map[string]*member{g.primary: primary, replica: g.members[replica]}
}

// applyProof records the leadership proof that the newest statuses of the members contain, and the position of the primary
// if it was asked for within that proof. The caller holds the lock.
func (g *group) applyProof() {
	members := make(map[string]bool, len(g.members))
	now := clock.SinceBoot()
	for name, m := range g.members {
		members[name] = m.isWitness(now)
	}
	proof, ok := leadership.ProvenAt(g.statuses, g.primary, g.term, members)
	if !ok {
		return
	}
	g.recordProof(proofOrigin{proofOfStatus, proof.Witness}, proof.At)
	if own := g.statuses[g.primary]; own.AskedAt < g.provenUntil {
		g.samples.Add(own.AskedAt, own.Received, primaryposition.Source{Kind: primaryposition.OfStatus, Target: g.primary})
	}
}

// isWitness reports whether the status of the target counts for leadership proofs. The caller holds the lock of the group.
func (m *member) isWitness(now time.Duration) bool {
	return leadership.IsWitness(m.knownWithinProof, now-m.firstSeenAt)
}

// renewProofIfExpired asks for a leadership proof if the last one has expired, so that the proof is fetched while
// the statement runs at m. When another daemon holds m, that daemon fetches the proof.
func (g *group) renewProofIfExpired(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.provenUntil < clock.SinceBoot() && (m.gate != nil || !g.mayUseHolders(m)) {
		signal(g.proofRequests)
	}
}

// presumedTerm returns the term of the presumed primary.
func (g *group) presumedTerm() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term
}

// awaitProof waits until m is proved to have been the primary of a term at since. It returns false when m is not the
// presumed primary of the term any more, or at the deadline. The term is that presumed before the statement was sent to m:
// if m leads a later one meanwhile, the statement may have run while another target led.
func (g *group) awaitProof(m *member, term uint64, since time.Duration, deadline time.Time) bool {
	_, proved := g.awaitEvidence(m, term, since, deadline)
	return proved
}

// awaitEvidence is awaitProof, and returns the proof.
func (g *group) awaitEvidence(m *member, term uint64, since time.Duration, deadline time.Time) (readEvidence, bool) {
	for {
		g.mu.Lock()
		leads, proved, changed := g.members[g.primary] == m && g.term == term, g.provenUntil > since, g.changed
		if leads && proved {
			g.logServedWithin()
		}
		evidence := g.proofEvidence()
		g.mu.Unlock()
		if !leads {
			return readEvidence{}, false
		}
		if proved {
			return evidence, true
		}
		signal(g.proofRequests)
		if !awaitChange(changed, deadline) {
			return readEvidence{}, false
		}
	}
}

// awaitCommitProof waits until m is proved to lead the term after it has acknowledged a commit. It returns false as
// awaitProof does. The acknowledgement alone does not prove it: the replica that received the commit may be one that no
// promoter knows. It is true at once if commits wait for no replica.
func (g *group) awaitCommitProof(m *member, term uint64, deadline time.Time) bool {
	g.mu.Lock()
	replicated := g.limits.SyncReplicas > 0
	g.mu.Unlock()
	return !replicated || g.awaitProof(m, term, clock.SinceBoot(), deadline)
}

// recordProof records that the primary was proved to lead at askedAt. The caller holds the lock.
func (g *group) recordProof(origin proofOrigin, askedAt time.Duration) {
	until := askedAt + leadership.ProofValidity
	if until <= g.provenUntil {
		return
	}
	lapsedAt := g.provenUntil
	g.provenUntil, g.proofOrigin = until, origin
	if clock.SinceBoot() < until {
		for _, m := range g.members {
			m.knownWithinProof = true
		}
	}
	g.logProof(lapsedAt)
	g.broadcast()
}

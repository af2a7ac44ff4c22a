package engine

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/primaryposition"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

const (
	// minProofInterval is the least time between two requests for a leadership proof.
	minProofInterval = 20 * time.Millisecond
	// renewalReserve is the time before the end of a proof at which a statement asks for the next one, so that it is
	// answered while the chain of proofs holds.
	renewalReserve = 100 * time.Millisecond
	// keepAliveReserve is the same for a chain that could not start again: it is looked at once in proofCheckInterval,
	// and a call that is not answered takes statusTimeout.
	keepAliveReserve   = 250 * time.Millisecond
	proofCheckInterval = 100 * time.Millisecond
	// unsettledUnusedAfter is the time without statements that need proofs after which the chain of proofs is given up
	// while the entries of the targets are not followed: it cannot start from the targets then.
	unsettledUnusedAfter = 10 * time.Second
	// maxUnlistedChain is the time without the entries of the targets after which the word of one replica no longer
	// continues a chain of proofs: elsewhere its own entry may have lapsed, and a promoter goes on without it
	// takeover.LostReplicaTimeout after that.
	maxUnlistedChain = takeover.LostReplicaTimeout * 2 / 3
)

// serveProofs fetches leadership proofs for the statements that need one, until ctx ends, and keeps a chain of proofs
// that could not start again. It does not wait for an unresponsive primary. It calls settle when the record of the
// promotion lock is to be completed.
func (g *group) serveProofs(ctx context.Context, settle func()) {
	ticker := time.NewTicker(proofCheckInterval)
	defer ticker.Stop()
	for {
		needed := true
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if g.beginSettling() {
				settle()
			}
			needed = g.needsProof()
		case <-g.proofRequests:
		}
		if !needed {
			continue
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

// needsProof reports whether a proof is to be fetched although no statement has asked for it just now: one waits for
// it, or the group is used, its proof is about to lapse, and the targets could not start another chain of proofs.
func (g *group) needsProof() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.SinceBoot()
	if g.provenUntil <= now {
		return g.proofWaits > 0
	}
	usedWithin := unusedAfter
	if !g.directorySettled() {
		usedWithin = unsettledUnusedAfter
	}
	isDue := g.provenUntil-now < keepAliveReserve && now-g.proofUsedAt < usedWithin
	mayStart := g.directorySettled() && g.mayStartChain(now)
	return isDue && g.keepsProofs(g.members[g.primary]) && !mayStart
}

// mayStartChain reports whether a status call to each target is expected to start a chain of proofs. The caller holds
// the lock.
func (g *group) mayStartChain(now time.Duration) bool {
	if !g.proofBasis(now).MayStart() {
		return false
	}
	for name, m := range g.members {
		if s, known := g.statuses[name]; m.gaveNoStatus || known && s.IsPaused() {
			return false
		}
	}
	return true
}

// proofBasis returns what leadership proofs of the presumed primary rest on beside statuses. A chain that goes on for
// maxUnlistedChain without the entries of the targets needs the statuses of all. The caller holds the lock.
func (g *group) proofBasis(now time.Duration) leadership.Basis {
	isChained, isComplete := now < g.provenUntil, g.directorySettled()
	if isChained && g.directoryFailingFor() >= maxUnlistedChain {
		isChained, isComplete = false, true
	}
	return leadership.Basis{
		Members: slices.Collect(maps.Keys(g.members)), IsChained: isChained,
		IsComplete: isComplete, NeedsReplica: g.limits.SyncReplicas > 0,
	}
}

// renewProof requests the statuses of the primary and a witness, of all targets if those have to start a chain of
// proofs, or of all replicas while the primary is unresponsive, and reports whether they prove that the primary still
// leads.
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
	if !renewed && g.provenUntil <= clock.SinceBoot() {
		g.requestPeerProof()
	}
	if !renewed {
		g.logProofMissing(len(targets), len(statuses))
	}
	return renewed
}

// proofTargets returns the targets that are asked for a leadership proof: the primary and one witness while the chain
// of proofs holds, or if the targets cannot start another one, and otherwise all. It returns all except the primary
// while that is unresponsive or unknown.
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
	witness := g.proofWitness(now)
	if witness == "" || !g.proofBasis(now).IsChained && g.mayStartChain(now) {
		return maps.Clone(g.members)
	}
	return map[string]*member{g.primary: primary, witness: g.members[witness]}
}

// proofWitness returns the name of a replica whose last status proved the term, and that did not fail recently and does
// not leave; empty for none. It prefers one that answered the last call with a status, and then one in the daemon's own
// zone. The caller holds the lock.
func (g *group) proofWitness(now time.Duration) string {
	witness := ""
	for name, m := range g.members {
		if name == g.primary || now < m.recentFailureUntil || m.target.Leaving || !g.statuses[name].Proves(g.term) {
			continue
		}
		if best, ok := g.members[witness]; !ok || g.isBetterWitness(m, best) {
			witness = name
		}
	}
	return witness
}

// isBetterWitness reports whether proofWitness prefers m to other.
func (g *group) isBetterWitness(m, other *member) bool {
	if m.gaveNoStatus != other.gaveNoStatus {
		return !m.gaveNoStatus
	}
	if isNear := m.target.Zone == g.zone; isNear != (other.target.Zone == g.zone) {
		return isNear
	}
	return m.name < other.name
}

// applyProof records the leadership proof that the newest statuses of the members contain, and the position of the
// primary. The caller holds the lock.
func (g *group) applyProof() {
	proof, ok := leadership.ProvenAt(g.proofStatuses(), g.primary, g.term, g.proofBasis(clock.SinceBoot()))
	if !ok {
		return
	}
	g.recordProof(proofOrigin{proofOfStatus, proof.Witness}, proof.At)
	g.sampleStatus()
}

// proofStatuses returns the newest statuses of the targets. That of the primary counts from the last commit that it has
// acknowledged, if that was sent later: no target acknowledges one that does not lead. The caller holds the lock.
func (g *group) proofStatuses() map[string]leadership.Status {
	own, ok := g.statuses[g.primary]
	if !ok || own.AskedAt >= g.ledAt {
		return g.statuses
	}
	statuses := maps.Clone(g.statuses)
	own.AskedAt = g.ledAt
	statuses[g.primary] = own
	return statuses
}

// sampleStatus records the position of the primary in its last status if that was asked for within the present proof.
// The caller holds the lock.
func (g *group) sampleStatus() {
	if own := g.statuses[g.primary]; own.AskedAt < g.provenUntil {
		source := primaryposition.Source{Kind: primaryposition.OfStatus, Target: g.primary}
		g.samples.Add(own.AskedAt, own.Received, source)
	}
}

// fetchesProofs reports whether this daemon fetches the proofs of a primary itself, because no other one holds it. The
// caller holds the lock.
func (g *group) fetchesProofs(m *member) bool {
	return m != nil && (m.gate != nil || !g.mayUseHolders(m))
}

// renewProofIfExpired asks for a leadership proof if the last one has expired or is about to, so that the proof is
// fetched while the statement runs at m. When another daemon holds m, that daemon fetches the proof.
func (g *group) renewProofIfExpired(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.useProof(m)
}

// useProof records that a statement at m needs a proof, and asks for one in time. The caller holds the lock.
func (g *group) useProof(m *member) {
	g.proofUsedAt = clock.SinceBoot()
	if g.provenUntil-g.proofUsedAt < renewalReserve && g.fetchesProofs(m) {
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
		var evidence readEvidence
		if leads && proved {
			g.logServedWithin()
			g.useProof(m)
			evidence = g.proofEvidence()
		}
		g.mu.Unlock()
		if !leads {
			return readEvidence{}, false
		}
		if proved {
			return evidence, true
		}
		if !g.awaitProofChange(changed, deadline) {
			return readEvidence{}, false
		}
	}
}

// awaitProofChange asks for a proof and waits until the group changes. It returns false at the deadline.
func (g *group) awaitProofChange(changed <-chan struct{}, deadline time.Time) bool {
	g.mu.Lock()
	g.proofWaits++
	g.proofUsedAt = clock.SinceBoot()
	g.mu.Unlock()
	signal(g.proofRequests)
	hasChanged := awaitChange(changed, deadline)
	g.mu.Lock()
	g.proofWaits--
	g.mu.Unlock()
	return hasChanged
}

// recordProof records that the primary was proved to lead at askedAt, and reports whether that is the latest proof. The
// caller holds the lock.
func (g *group) recordProof(origin proofOrigin, askedAt time.Duration) bool {
	until := askedAt + leadership.ProofValidity
	if until <= g.provenUntil {
		return false
	}
	lapsedAt := g.provenUntil
	g.provenUntil, g.proofOrigin = until, origin
	g.logProof(lapsedAt)
	g.broadcast()
	return true
}

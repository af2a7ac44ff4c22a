package engine

import (
	"context"
	"maps"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/leadership"
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

// renewProof requests the status of one replica, or of all while the primary is unresponsive, and reports whether
// that proved that the primary still leads.
func (g *group) renewProof() bool {
	targets := g.proofTargets()
	if len(targets) == 0 {
		return false
	}
	statuses := g.askAll(targets, statusTimeout)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordStatuses(statuses)
	g.updatePrimary()
	g.recordReplicaSample(statuses)
	return g.applyProof(statuses)
}

// proofTargets returns the targets that are asked for a leadership proof: one replica that did not fail recently and
// does not leave, in the daemon's own zone if there is one there, or the primary if there is no such replica. While the
// primary is unresponsive or unknown, it returns all members except the primary.
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
		if name == g.primary || now < m.recentFailureUntil || m.target.Leaving {
			continue
		}
		if best, ok := g.members[replica]; !ok || m.target.Zone == g.zone || best.target.Zone != g.zone && name < replica {
			replica = name
		}
	}
	if replica == "" {
		return map[string]*member{g.primary: primary}
	}
	return map[string]*member{replica: g.members[replica]}
}

// applyProof records the leadership proof that the statuses of a round contain, and reports whether they contain
// one. The caller holds the lock.
func (g *group) applyProof(statuses map[string]leadership.Status) bool {
	proof, ok := leadership.ProvenAt(statuses, g.primary, g.term, len(g.members))
	if !ok {
		return false
	}
	g.recordProof(proofOrigin{proofOfStatus, proof.Witness}, proof.At)
	if own, ok := statuses[g.primary]; ok && own.Role == leadership.RolePrimary {
		g.samples.Add(own.AskedAt, own.Received)
	}
	return true
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

// awaitProof waits until m is proved to have been the primary at since. It returns false when m is not the
// presumed primary any more, or at the deadline.
func (g *group) awaitProof(m *member, since time.Duration, deadline time.Time) bool {
	for {
		g.mu.Lock()
		leads, proved, changed := g.members[g.primary] == m, g.provenUntil > since, g.changed
		if leads && proved {
			g.logServedWithin()
		}
		g.mu.Unlock()
		if !leads {
			return false
		}
		if proved {
			return true
		}
		signal(g.proofRequests)
		if !awaitChange(changed, deadline) {
			return false
		}
	}
}

// recordProof records that the primary was proved to lead at askedAt. The caller holds the lock.
func (g *group) recordProof(origin proofOrigin, askedAt time.Duration) {
	until := askedAt + leadership.ProofValidity
	if until <= g.provenUntil {
		return
	}
	lapsedAt := g.provenUntil
	g.provenUntil, g.proofOrigin = until, origin
	g.logProof(lapsedAt)
	g.broadcast()
}

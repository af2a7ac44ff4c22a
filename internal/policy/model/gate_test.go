package model

import (
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/confirm"
	"github.com/papayacove/papayacove/internal/policy/staleness"
)

// statusCall requests the state of a target.
type statusCall struct{ askedAt time.Time }

// maxPending bounds the unacknowledged writes of a gate.
const maxPending = 4

// historyCapacity is small, so that samples are thinned out during a run.
const historyCapacity = 8

// outcomeTimeout is the time after which a gate reports the outcome of a write as unknown.
const outcomeTimeout = 3 * time.Second

// gate writes for callers and acknowledges by the production rule. It can pause between any two steps.
type gate struct {
	simulation *simulation
	target     *target
	tracker    *confirm.Tracker
	history    *staleness.History
	pending    []write
	// pausedUntil is the end of a pause, during which the gate sends no status calls and decides nothing.
	pausedUntil time.Time

	// minPositionRequestedAt is the time at which a session requested its minimum position; zero if none is
	// outstanding. requiredPosition is the lowest answer that is correct.
	minPositionRequestedAt time.Time
	requiredPosition       api.Position
}

// attach starts tracking the term whose primary the target presumes to be, unless the gate tracks it already. Writes of
// an earlier term are no longer pending then.
func (g *gate) attach() {
	if g.tracker != nil && g.tracker.Term() == g.target.term {
		return
	}
	g.tracker = g.simulation.rule.NewTracker(g.target.name, g.target.term, len(g.simulation.targets), confirm.Validity)
	g.pending = nil
	g.minPositionRequestedAt = time.Time{}
	if g.history == nil {
		g.history = staleness.NewHistory(historyCapacity)
	}
}

// write writes at the target if the target presumes to be the primary.
func (g *gate) write() {
	t := g.target
	if t.down || t.role != confirm.RolePrimary || len(g.pending) == maxPending {
		return
	}
	g.attach()
	t.log = append(t.log, record{term: t.term, id: g.simulation.newID()})
	g.simulation.stats.writes++
	g.pending = append(g.pending, write{id: g.simulation.nextID, position: t.position(), committedAt: g.simulation.now})
}

func (g *gate) requestStatus(t *target) {
	tracker := g.tracker
	g.simulation.send(t.name, statusCall{askedAt: g.simulation.now}, func(answer any) {
		if tracker != nil && tracker == g.tracker {
			g.observe(answer.(confirm.Status))
		}
	})
}

func (g *gate) observe(status confirm.Status) {
	g.tracker.Observe(status)
	if status.Target == g.tracker.Primary() && status.Term == g.tracker.Term() && g.tracker.HasMajority(status.AskedAt) {
		g.history.Add(staleness.Sample{AskedAt: status.AskedAt, Position: status.Received})
	}
}

// decide applies the rule to all pending writes, based on the status answers received so far.
func (g *gate) decide() {
	var waiting []write
	for _, p := range g.pending {
		if g.simulation.now.Sub(p.committedAt) > outcomeTimeout {
			continue
		}
		d := g.tracker.Decide(p.position, p.committedAt, g.simulation.now)
		switch d.Outcome {
		case confirm.Confirmed:
			g.acknowledge(p)
		case confirm.FenceOnly:
			g.simulation.stats.fenceOnly++
			g.checkFenceOnly(p)
			waiting = append(waiting, p)
		case confirm.Refused:
			g.simulation.stats.refused++
		default:
			waiting = append(waiting, p)
		}
	}
	g.pending = waiting
}

// checkFenceOnly makes the check of an acknowledged write for the outcome FenceOnly too, but only under the complete
// rule: incomplete rules must be caught by an acknowledgement.
func (g *gate) checkFenceOnly(p write) {
	if g.simulation.rule == confirm.DefaultRule {
		g.simulation.checkAcknowledged(p, confirm.FenceOnly)
	}
}

func (g *gate) acknowledge(p write) {
	p.ackedAt = g.simulation.now
	g.simulation.stats.acked++
	g.simulation.checkAcknowledged(p, confirm.Confirmed)
	g.simulation.checkMajorityHolds(p)
	g.simulation.acked = append(g.simulation.acked, p)
}

// requestMinPosition starts a session, which must see every write acknowledged so far.
func (g *gate) requestMinPosition() {
	if g.tracker == nil || !g.minPositionRequestedAt.IsZero() {
		return
	}
	g.minPositionRequestedAt = g.simulation.now
	g.requiredPosition = api.Position{}
	for _, a := range g.simulation.acked {
		g.requiredPosition = g.requiredPosition.Max(a.position)
	}
}

func (g *gate) decideMinPosition() {
	if g.minPositionRequestedAt.IsZero() {
		return
	}
	d := g.tracker.MinPosition(g.minPositionRequestedAt, g.simulation.now)
	if d.Outcome != confirm.Confirmed && d.Outcome != confirm.FenceOnly {
		return
	}
	g.simulation.stats.minPositions++
	if d.Commit.Compare(g.requiredPosition) < 0 {
		g.simulation.fail("got minimum position %s, want at least the acknowledged %s", d.Commit, g.requiredPosition)
	}
	g.minPositionRequestedAt = time.Time{}
}

// checkAge checks that a target holds every write that was acknowledged more than the age bound of its data before now.
func (g *gate) checkAge(t *target) {
	if g.history == nil {
		return
	}
	bound := g.history.Bound(t.position(), g.simulation.now)
	if !bound.Known {
		return
	}
	g.simulation.stats.ageBounds++
	asOf := g.simulation.now.Add(-bound.Age)
	for _, a := range g.simulation.acked {
		if a.ackedAt.Before(asOf) && !t.holds(a) {
			g.simulation.fail("%s has age %s but lacks write %d", t.name, bound.Age, a.id)
		}
	}
}

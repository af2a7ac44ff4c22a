package model

import (
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/confirm"
	"github.com/papayacove/papayacove/internal/policy/staleness"
)

// statusCall asks a target for its state.
type statusCall struct{ askedAt time.Time }

// maxPending bounds the writes of a gate that wait for their acknowledgement.
const maxPending = 4

// historyCapacity is small, so that samples are thinned out in a run.
const historyCapacity = 8

// outcomeTimeout is the time after which the outcome of a write is told as unknown.
const outcomeTimeout = 3 * time.Second

// gate writes for callers and acknowledges by the real rule. It can pause between any two steps.
type gate struct {
	world   *world
	target  *target
	tracker *confirm.Tracker
	history *staleness.History
	pending []write
	// pausedUntil is the end of a pause, in which the gate neither asks nor decides.
	pausedUntil time.Time

	// floorAsked is when a session asked for its floor, and least what it must rely on.
	floorAsked time.Time
	floorLeast api.Position
}

// lead attaches the gate to the term that its target believes to lead.
func (g *gate) lead() {
	if g.tracker != nil && g.tracker.Term() == g.target.term {
		return
	}
	g.tracker = g.world.rule.NewTracker(g.target.name, g.target.term, len(g.world.targets), confirm.Validity)
	g.pending = nil
	g.floorAsked = time.Time{}
	if g.history == nil {
		g.history = staleness.NewHistory(historyCapacity)
	}
}

// write writes at the target when it believes that it leads.
func (g *gate) write() {
	t := g.target
	if t.down || t.role != confirm.RolePrimary || len(g.pending) == maxPending {
		return
	}
	g.lead()
	t.log = append(t.log, record{term: t.term, id: g.world.newID()})
	g.world.stats.writes++
	g.pending = append(g.pending, write{id: g.world.nextID, position: t.position(), committedAt: g.world.now})
}

func (g *gate) ask(t *target) {
	tracker := g.tracker
	g.world.send(t.name, statusCall{askedAt: g.world.now}, func(answer any) {
		if tracker != nil && tracker == g.tracker {
			g.observe(answer.(confirm.Answer))
		}
	})
}

func (g *gate) observe(a confirm.Answer) {
	g.tracker.Observe(a)
	if a.Target == g.tracker.Primary() && a.Term == g.tracker.Term() && g.tracker.IsBacked(a.AskedAt) {
		g.history.Add(staleness.Sample{AskedAt: a.AskedAt, Position: a.Received})
	}
}

// decide applies the rule to all pending writes, with the looks that it has by now.
func (g *gate) decide() {
	var waiting []write
	for _, p := range g.pending {
		if g.world.now.Sub(p.committedAt) > outcomeTimeout {
			continue
		}
		d := g.tracker.Decide(p.position, p.committedAt, g.world.now)
		switch d.Outcome {
		case confirm.Confirmed:
			g.acknowledge(p)
		case confirm.FenceOnly:
			g.world.stats.fenceOnly++
			g.checkFenceOnly(p)
			waiting = append(waiting, p)
		case confirm.Refused:
			g.world.stats.refused++
		default:
			waiting = append(waiting, p)
		}
	}
	g.pending = waiting
}

// checkFenceOnly asserts the same of the fallback, under the complete rule alone: incomplete ones
// have to fail by an acknowledgement.
func (g *gate) checkFenceOnly(p write) {
	if g.world.rule == confirm.DefaultRule {
		g.world.checkAcknowledged(p, confirm.FenceOnly)
	}
}

func (g *gate) acknowledge(p write) {
	p.ackedAt = g.world.now
	g.world.stats.acked++
	g.world.checkAcknowledged(p, confirm.Confirmed)
	g.world.checkMajorityHolds(p)
	g.world.acked = append(g.world.acked, p)
}

// askFloor starts a session, which must see every write acknowledged so far.
func (g *gate) askFloor() {
	if g.tracker == nil || !g.floorAsked.IsZero() {
		return
	}
	g.floorAsked = g.world.now
	g.floorLeast = api.Position{}
	for _, a := range g.world.acked {
		g.floorLeast = g.floorLeast.Max(a.position)
	}
}

func (g *gate) decideFloor() {
	if g.floorAsked.IsZero() {
		return
	}
	d := g.tracker.Floor(g.floorAsked, g.world.now)
	if d.Outcome != confirm.Confirmed && d.Outcome != confirm.FenceOnly {
		return
	}
	g.world.stats.floors++
	if d.Commit.Compare(g.floorLeast) < 0 {
		g.world.fail("floor %s lies before acknowledged %s", d.Commit, g.floorLeast)
	}
	g.floorAsked = time.Time{}
}

// checkAge asserts that data of a bounded age holds every write acknowledged before that.
func (g *gate) checkAge(t *target) {
	if g.history == nil {
		return
	}
	bound := g.history.Bound(t.position(), g.world.now)
	if !bound.Known {
		return
	}
	g.world.stats.bounds++
	asOf := g.world.now.Add(-bound.Age)
	for _, a := range g.world.acked {
		if a.ackedAt.Before(asOf) && !t.holds(a) {
			g.world.fail("%s has age %s but lacks write %d", t.name, bound.Age, a.id)
		}
	}
}

package model

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/policy/confirm"
	"github.com/papayacove/papayacove/internal/policy/promotion"
)

const (
	// recoveryRuns is the number of disturbed runs after each of which the group must recover.
	recoveryRuns = 200
	// recoveryStep is the time between two status rounds after the disturbance.
	recoveryStep = 10 * time.Millisecond
	// recoveryLimit bounds the time from the end of the disturbance to the next acknowledgement.
	recoveryLimit = promotion.DefaultOpenTermTimeout + time.Second
)

// endDisturbance ends the disturbance: all targets are up and reachable, gates run without pending writes, promoters
// have lost the state of their promotions, and messages in transit are lost.
func (sim *simulation) endDisturbance() {
	sim.messages = nil
	for _, t := range sim.targets {
		t.down, t.partitioned = false, false
	}
	for _, g := range sim.gates {
		g.pausedUntil = time.Time{}
		g.pending = nil
	}
	for _, p := range sim.promoters {
		p.crash()
	}
}

func (sim *simulation) advanceAll() {
	for len(sim.messages) > 0 {
		m := sim.messages[0]
		sim.messages = sim.messages[1:]
		sim.advance(m)
	}
}

// runController makes one daemon control the group with the production trigger.
func (sim *simulation) runController(p *promoter, termSince time.Time) {
	if p.current != nil {
		p.handle(promotion.Tick{})
		return
	}
	primary := sim.find(sim.record.Primary)
	state := promotion.GroupState{
		Term:          sim.record.Term,
		Primary:       sim.record.Primary,
		TermAge:       sim.now.Sub(termSince),
		IsController:  true,
		CertainlyLost: primary != nil && !primary.leads(sim.record.Term),
		Members:       len(sim.targets),
		Reached:       len(sim.targets),
	}
	if (promotion.Trigger{}).Decide(state).Action == promotion.ActionPromote {
		p.begin()
	}
}

func (sim *simulation) replicateAll() {
	for _, t := range sim.targets {
		state := promotion.TargetState{Target: t.name, Term: t.term, Role: t.role, Follows: t.follows}
		for _, o := range promotion.Repair(sim.record, []promotion.TargetState{state}) {
			sim.send(o.Target, o, nil)
		}
		primary := sim.find(t.follows)
		if primary == nil {
			continue
		}
		t.rewind(primary)
		for range primary.log {
			t.replicate(primary)
		}
	}
}

// recover ends the disturbance and returns the time until a write of the recorded term is acknowledged; false if that
// takes longer than recoveryLimit.
func (sim *simulation) recover() (time.Duration, bool) {
	sim.endDisturbance()
	startedAt, version, acked := sim.now, sim.version, len(sim.acked)
	termSince := startedAt
	for sim.now.Sub(startedAt) < recoveryLimit {
		sim.now = sim.now.Add(recoveryStep)
		if sim.version != version {
			version, termSince = sim.version, sim.now
		}
		sim.runController(sim.promoters[0], termSince)
		sim.replicateAll()
		for _, g := range sim.gates {
			if len(g.pending) == 0 && g.target.leads(sim.record.Term) {
				g.write()
			}
			for _, t := range sim.targets {
				g.requestStatus(t)
			}
			sim.advanceAll()
			g.decide()
		}
		for _, a := range sim.acked[acked:] {
			if a.position.Term == sim.record.Term {
				return sim.now.Sub(startedAt), true
			}
		}
	}
	return recoveryLimit, false
}

func TestGroupRecoversFromAnyDisturbance(t *testing.T) {
	t.Parallel()
	for _, members := range []int{3, 5} {
		longest, sum := time.Duration(0), time.Duration(0)
		for seed := range uint64(recoveryRuns) {
			sim := run(members, runSteps, confirm.DefaultRule, newSeededChooser(seed))
			took, ok := sim.recover()
			if !ok || sim.violation != nil {
				t.Fatalf("members=%d seed=%d: got recovered=%t, violation %v, record %+v, want recovery without violation", members, seed, ok, sim.violation, sim.record)
			}
			longest, sum = max(longest, took), sum+took
		}
		t.Logf("members=%d runs=%d longest=%s mean=%s", members, recoveryRuns, longest, sum/recoveryRuns)
	}
}

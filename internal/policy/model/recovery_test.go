package model

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/policy/confirm"
	"github.com/papayacove/papayacove/internal/policy/promotion"
)

const (
	// recoveryRuns is the number of disturbed runs after which a group has to recover.
	recoveryRuns = 200
	// recoveryStep is the time that passes between two looks after the disturbance.
	recoveryStep = 10 * time.Millisecond
	// recoveryLimit bounds the time from the end of the disturbance to the next acknowledgement.
	recoveryLimit = promotion.DefaultOpenTermTimeout + time.Second
)

// calm ends the disturbance: targets are up and reached, gates run, and promoters have forgotten
// what they did.
func (w *world) calm() {
	w.messages = nil
	for _, t := range w.targets {
		t.down, t.cut = false, false
	}
	for _, g := range w.gates {
		g.pausedUntil = time.Time{}
		g.pending = nil
	}
	for _, p := range w.promoters {
		p.crash()
	}
}

func (w *world) passAll() {
	for len(w.messages) > 0 {
		m := w.messages[0]
		w.messages = w.messages[1:]
		w.pass(m)
	}
}

// control lets one daemon control the group by the real trigger.
func (w *world) control(p *promoter, termSince time.Time) {
	if p.current != nil {
		p.handle(promotion.Tick{})
		return
	}
	primary := w.find(w.record.Primary)
	state := promotion.GroupState{
		Term:         w.record.Term,
		Primary:      w.record.Primary,
		TermAge:      w.now.Sub(termSince),
		IsController: true,
		SurelyGone:   primary != nil && !primary.leads(w.record.Term),
		Members:      len(w.targets),
		Reached:      len(w.targets),
	}
	if (promotion.Trigger{}).Decide(state).Action == promotion.ActionPromote {
		p.begin()
	}
}

func (w *world) replicateAll() {
	for _, t := range w.targets {
		state := promotion.TargetState{Target: t.name, Term: t.term, Role: t.role, Follows: t.follows}
		for _, o := range promotion.Repair(w.record, []promotion.TargetState{state}) {
			w.send(o.Target, o, nil)
		}
		primary := w.find(t.follows)
		if primary == nil {
			continue
		}
		t.rewind(primary)
		for range primary.log {
			t.replicate(primary)
		}
	}
}

// recover returns the time until a write of the recorded term is acknowledged.
func (w *world) recover() (time.Duration, bool) {
	w.calm()
	began, version, acked := w.now, w.version, len(w.acked)
	termSince := began
	for w.now.Sub(began) < recoveryLimit {
		w.now = w.now.Add(recoveryStep)
		if w.version != version {
			version, termSince = w.version, w.now
		}
		w.control(w.promoters[0], termSince)
		w.replicateAll()
		for _, g := range w.gates {
			if len(g.pending) == 0 && g.target.leads(w.record.Term) {
				g.write()
			}
			for _, t := range w.targets {
				g.ask(t)
			}
			w.passAll()
			g.decide()
		}
		for _, a := range w.acked[acked:] {
			if a.position.Term == w.record.Term {
				return w.now.Sub(began), true
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
			w := run(members, runSteps, confirm.DefaultRule, newSeeded(seed))
			took, ok := w.recover()
			if !ok || w.violation != nil {
				t.Fatalf("members=%d seed=%d: recovered=%t, %v, record %+v", members, seed, ok, w.violation, w.record)
			}
			longest, sum = max(longest, took), sum+took
		}
		t.Logf("members=%d runs=%d longest=%s mean=%s", members, recoveryRuns, longest, sum/recoveryRuns)
	}
}

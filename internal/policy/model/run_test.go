package model

import (
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/confirm"
	"github.com/papayacove/papayacove/internal/policy/promotion"
)

// action is one kind of step and its usual weight among all steps.
type action struct {
	name   string
	weight int
	run    func(w *world, c chooser)
}

var actions = []action{
	{"write", 24, actWrite},
	{"ask", 8, actAsk},
	{"deliver", 60, actDeliver},
	{"repeat_message", 2, actRepeat},
	{"lose_message", 2, actLose},
	{"decide", 40, func(w *world, c chooser) { w.pickGate(c).decide() }},
	{"ask_floor", 3, func(w *world, c chooser) { w.pickGate(c).askFloor() }},
	{"decide_floor", 4, func(w *world, c chooser) { w.pickGate(c).decideFloor() }},
	{"check_age", 4, actCheckAge},
	{"replicate", 100, actReplicate},
	{"rewind", 2, actRewind},
	{"pass_time", 24, actPassTime},
	{"begin_promotion", 2, func(w *world, c chooser) { w.promoters[c.intn(len(w.promoters))].begin() }},
	{"tick", 24, func(w *world, c chooser) { w.promoters[c.intn(len(w.promoters))].handle(promotion.Tick{}) }},
	{"lose_record_answer", 1, func(w *world, c chooser) { w.promoters[c.intn(len(w.promoters))].handle(promotion.RecordUnknown{}) }},
	{"crash_promoter", 1, func(w *world, c chooser) { w.promoters[c.intn(len(w.promoters))].crash() }},
	{"crash_target", 1, func(w *world, c chooser) { w.targets[c.intn(len(w.targets))].down = true }},
	{"restart_target", 20, func(w *world, c chooser) { w.targets[c.intn(len(w.targets))].down = false }},
	{"partition", 4, actPartition},
	{"heal", 4, actHeal},
	{"pause_gate", 16, actPauseGate},
	{"complete_record", 1, actCompleteRecord},
	{"repair", 8, actRepair},
}

// weightFactors are the factors, in quarters, by which a run changes the weights of its actions.
// Runs that do much of one thing and little of another reach states that an even mix does not.
var weightFactors = []int{2, 4, 4, 4, 8}

// drawWeights gives a run its own weights.
func (w *world) drawWeights(c chooser) {
	w.weights = make([]int, len(actions))
	for i, a := range actions {
		w.weights[i] = (a.weight*weightFactors[c.intn(len(weightFactors))] + 3) / 4
		w.totalWeight += w.weights[i]
	}
}

// step runs one random action.
func (w *world) step(c chooser) {
	w.stats.steps++
	n := c.intn(w.totalWeight)
	for i, a := range actions {
		if n < w.weights[i] {
			a.run(w, c)
			return
		}
		n -= w.weights[i]
	}
}

// actPartition cuts a random part of the targets off from the promoters.
func actPartition(w *world, c chooser) {
	for _, t := range w.targets {
		t.cut = c.intn(2) == 0
	}
}

func actHeal(w *world, _ chooser) {
	for _, t := range w.targets {
		t.cut = false
	}
}

func actPauseGate(w *world, c chooser) {
	milliseconds := 100 + c.intn(500)
	w.pickGate(c).pausedUntil = w.now.Add(time.Duration(milliseconds) * time.Millisecond)
}

// pickGate returns a gate that has something to do: its target believes that it leads, or writes
// wait for their acknowledgement.
func (w *world) pickGate(c chooser) *gate {
	first := c.intn(len(w.gates))
	for i := range w.gates {
		g := w.gates[(first+i)%len(w.gates)]
		if w.now.Before(g.pausedUntil) {
			continue
		}
		if g.target.role == confirm.RolePrimary || len(g.pending) > 0 {
			return g
		}
	}
	return w.gates[first]
}

func actWrite(w *world, c chooser) {
	w.pickGate(c).write()
}

// actAsk lets a gate look at all targets; the answers come one by one.
func actAsk(w *world, c chooser) {
	g := w.pickGate(c)
	for _, t := range w.targets {
		g.ask(t)
	}
}

// actDeliver passes several messages in any order, as many as a look at all targets makes.
func actDeliver(w *world, c chooser) {
	for range len(w.targets) {
		if len(w.messages) == 0 {
			return
		}
		i := c.intn(len(w.messages))
		m := w.messages[i]
		w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
		w.pass(m)
	}
}

// actRepeat delivers a message that stays on its way.
func actRepeat(w *world, c chooser) {
	if len(w.messages) > 0 {
		w.pass(w.messages[c.intn(len(w.messages))])
	}
}

func actLose(w *world, c chooser) {
	if len(w.messages) == 0 {
		return
	}
	i := c.intn(len(w.messages))
	w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
}

func actCheckAge(w *world, c chooser) {
	w.pickGate(c).checkAge(w.targets[c.intn(len(w.targets))])
}

func actReplicate(w *world, c chooser) {
	t := w.targets[c.intn(len(w.targets))]
	if primary := w.find(t.follows); primary != nil {
		t.replicate(primary)
	}
}

func actRewind(w *world, c chooser) {
	t := w.targets[c.intn(len(w.targets))]
	if primary := w.find(t.follows); primary != nil {
		t.rewind(primary)
	}
}

// actPassTime mostly passes less than the validity of a confirmation and sometimes more.
func actPassTime(w *world, c chooser) {
	milliseconds := 1 + c.intn(10)
	if c.intn(10) == 0 {
		milliseconds += 100
	}
	w.now = w.now.Add(time.Duration(milliseconds) * time.Millisecond)
}

// actCompleteRecord lets a daemon to which the primary was announced name it in an open record.
func actCompleteRecord(w *world, _ chooser) {
	known := api.GroupTerm{Term: w.record.Term, Primary: w.promotedAt[w.record.Term]}
	if order, ok := promotion.CompleteRecord(known, w.record, w.version); ok {
		w.send("platform", order, nil)
	}
}

// actRepair lets a daemon that knows the record make one target follow.
func actRepair(w *world, c chooser) {
	t := w.targets[c.intn(len(w.targets))]
	state := promotion.TargetState{Target: t.name, Term: t.term, Role: t.role, Follows: t.follows}
	for _, o := range promotion.Repair(w.record, []promotion.TargetState{state}) {
		w.send(o.Target, o, nil)
	}
}

// run makes steps until a violation or the given number.
func (w *world) run(steps int, c chooser) {
	w.drawWeights(c)
	for range steps {
		w.step(c)
		if w.violation != nil {
			return
		}
	}
}

// run makes a new world and its steps.
func run(members, steps int, rule confirm.Rule, c chooser) *world {
	w := newWorld(members, rule)
	w.run(steps, c)
	return w
}

package model

import (
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/confirm"
	"github.com/papayacove/papayacove/internal/policy/promotion"
)

// action is one kind of step and its default weight among all steps.
type action struct {
	name   string
	weight int
	run    func(sim *simulation, c chooser)
}

var actions = []action{
	{"write", 24, actWrite},
	{"request_status", 8, actRequestStatus},
	{"deliver", 60, actDeliver},
	{"repeat_message", 2, actRepeat},
	{"lose_message", 2, actLose},
	{"decide", 40, func(sim *simulation, c chooser) { sim.pickGate(c).decide() }},
	{"request_min_position", 3, func(sim *simulation, c chooser) { sim.pickGate(c).requestMinPosition() }},
	{"decide_min_position", 4, func(sim *simulation, c chooser) { sim.pickGate(c).decideMinPosition() }},
	{"check_age", 4, actCheckAge},
	{"replicate", 100, actReplicate},
	{"rewind", 2, actRewind},
	{"pass_time", 24, actAdvanceTime},
	{"begin_promotion", 2, func(sim *simulation, c chooser) { sim.promoters[c.intn(len(sim.promoters))].begin() }},
	{"tick", 24, func(sim *simulation, c chooser) { sim.promoters[c.intn(len(sim.promoters))].handle(promotion.Tick{}) }},
	{"lose_record_answer", 1, func(sim *simulation, c chooser) {
		sim.promoters[c.intn(len(sim.promoters))].handle(promotion.RecordUnknown{})
	}},
	{"crash_promoter", 1, func(sim *simulation, c chooser) { sim.promoters[c.intn(len(sim.promoters))].crash() }},
	{"crash_target", 1, func(sim *simulation, c chooser) { sim.targets[c.intn(len(sim.targets))].down = true }},
	{"restart_target", 20, func(sim *simulation, c chooser) { sim.targets[c.intn(len(sim.targets))].down = false }},
	{"partition", 4, actPartition},
	{"heal", 4, actHeal},
	{"pause_gate", 16, actPauseGate},
	{"complete_record", 1, actCompleteRecord},
	{"repair", 8, actRepair},
}

// weightFactors are the factors, in quarters, by which a run scales the weights of its actions.
// Runs with uneven weights reach states that runs with the default weights do not.
var weightFactors = []int{2, 4, 4, 4, 8}

// drawWeights draws the weights of this run.
func (sim *simulation) drawWeights(c chooser) {
	sim.weights = make([]int, len(actions))
	for i, a := range actions {
		sim.weights[i] = (a.weight*weightFactors[c.intn(len(weightFactors))] + 3) / 4
		sim.totalWeight += sim.weights[i]
	}
}

// step runs one random action.
func (sim *simulation) step(c chooser) {
	sim.stats.steps++
	n := c.intn(sim.totalWeight)
	for i, a := range actions {
		if n < sim.weights[i] {
			a.run(sim, c)
			return
		}
		n -= sim.weights[i]
	}
}

// actPartition partitions a random subset of the targets from the promoters.
func actPartition(sim *simulation, c chooser) {
	for _, t := range sim.targets {
		t.partitioned = c.intn(2) == 0
	}
}

func actHeal(sim *simulation, _ chooser) {
	for _, t := range sim.targets {
		t.partitioned = false
	}
}

func actPauseGate(sim *simulation, c chooser) {
	milliseconds := 100 + c.intn(500)
	sim.pickGate(c).pausedUntil = sim.now.Add(time.Duration(milliseconds) * time.Millisecond)
}

// pickGate returns a random gate that is not paused and has work: its target presumes to be the primary, or writes are
// pending. If there is none it returns any gate.
func (sim *simulation) pickGate(c chooser) *gate {
	first := c.intn(len(sim.gates))
	for i := range sim.gates {
		g := sim.gates[(first+i)%len(sim.gates)]
		if sim.now.Before(g.pausedUntil) {
			continue
		}
		if g.target.role == confirm.RolePrimary || len(g.pending) > 0 {
			return g
		}
	}
	return sim.gates[first]
}

func actWrite(sim *simulation, c chooser) {
	sim.pickGate(c).write()
}

// actRequestStatus makes a gate send a status call to every target; each answer arrives on its own.
func actRequestStatus(sim *simulation, c chooser) {
	g := sim.pickGate(c)
	for _, t := range sim.targets {
		g.requestStatus(t)
	}
}

// actDeliver advances as many messages as a status round sends, in random order.
func actDeliver(sim *simulation, c chooser) {
	for range len(sim.targets) {
		if len(sim.messages) == 0 {
			return
		}
		i := c.intn(len(sim.messages))
		m := sim.messages[i]
		sim.messages = append(sim.messages[:i:i], sim.messages[i+1:]...)
		sim.advance(m)
	}
}

// actRepeat advances a message that is also kept, so that it may be delivered again.
func actRepeat(sim *simulation, c chooser) {
	if len(sim.messages) > 0 {
		sim.advance(sim.messages[c.intn(len(sim.messages))])
	}
}

func actLose(sim *simulation, c chooser) {
	if len(sim.messages) == 0 {
		return
	}
	i := c.intn(len(sim.messages))
	sim.messages = append(sim.messages[:i:i], sim.messages[i+1:]...)
}

func actCheckAge(sim *simulation, c chooser) {
	sim.pickGate(c).checkAge(sim.targets[c.intn(len(sim.targets))])
}

func actReplicate(sim *simulation, c chooser) {
	t := sim.targets[c.intn(len(sim.targets))]
	if primary := sim.find(t.follows); primary != nil {
		t.replicate(primary)
	}
}

func actRewind(sim *simulation, c chooser) {
	t := sim.targets[c.intn(len(sim.targets))]
	if primary := sim.find(t.follows); primary != nil {
		t.rewind(primary)
	}
}

// actAdvanceTime advances the time by 1 ms to 10 ms, and in one of ten cases by 100 ms more, which exceeds the
// validity of a confirmation.
func actAdvanceTime(sim *simulation, c chooser) {
	milliseconds := 1 + c.intn(10)
	if c.intn(10) == 0 {
		milliseconds += 100
	}
	sim.now = sim.now.Add(time.Duration(milliseconds) * time.Millisecond)
}

// actCompleteRecord makes a daemon that was notified of the primary complete an open record with its name.
func actCompleteRecord(sim *simulation, _ chooser) {
	known := api.GroupTerm{Term: sim.record.Term, Primary: sim.primaryByTerm[sim.record.Term]}
	if order, ok := promotion.CompleteRecord(known, sim.record, sim.version); ok {
		sim.send("platform", order, nil)
	}
}

// actRepair makes a daemon that knows the record order one target to follow the primary.
func actRepair(sim *simulation, c chooser) {
	t := sim.targets[c.intn(len(sim.targets))]
	state := promotion.TargetState{Target: t.name, Term: t.term, Role: t.role, Follows: t.follows}
	for _, o := range promotion.Repair(sim.record, []promotion.TargetState{state}) {
		sim.send(o.Target, o, nil)
	}
}

// run makes the given number of steps, or fewer if a violation occurs.
func (sim *simulation) run(steps int, c chooser) {
	sim.drawWeights(c)
	for range steps {
		sim.step(c)
		if sim.violation != nil {
			return
		}
	}
}

// run makes the given number of steps in a new simulation, which it returns.
func run(members, steps int, rule confirm.Rule, c chooser) *simulation {
	sim := newSimulation(members, rule)
	sim.run(steps, c)
	return sim
}

package model

import (
	"fmt"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/confirm"
	"github.com/papayacove/papayacove/internal/policy/promotion"
)

// chooser makes the random choices of a run.
type chooser interface {
	// intn returns a number from 0 to n-1.
	intn(n int) int
}

// write is a record that a gate wrote for a caller.
type write struct {
	id          int
	position    api.Position
	committedAt time.Time
	ackedAt     time.Time
}

// message is a call in transit to a target or the platform, or its answer in transit to the sender.
type message struct {
	to      string
	call    any
	answer  any
	deliver func(answer any)
}

// stats counts the events of a run, to show that it exercised the rules.
type stats struct {
	steps, writes, acked, fenceOnly, refused, minPositions, ageBounds int
	promoted, finished, abandoned                                     int
}

// simulation is a group with its gates and promoters.
type simulation struct {
	rule      confirm.Rule
	now       time.Time
	targets   []*target
	gates     []*gate
	promoters []*promoter
	messages  []*message

	record  api.TermRecord
	version uint64

	// underReplicated is an acknowledged write that was found on fewer targets than a majority; nil if there is none.
	underReplicated *write
	// waitAfterFence is the time that promoters wait after fencing a majority.
	waitAfterFence time.Duration
	// weights holds the weights of actions in this run.
	weights     []int
	totalWeight int

	nextID        int
	acked         []write
	primaryByTerm map[uint64]string
	highestTerm   uint64
	stats         stats
	violation     error
}

const (
	// gatesPerTarget is above 1 because two daemons can presume to hold the same target.
	gatesPerTarget = 2
	promoterCount  = 2
	// maxMessages bounds the messages in transit; when it is exceeded, the oldest message is lost.
	maxMessages = 40
)

func newSimulation(members int, rule confirm.Rule) *simulation {
	sim := &simulation{rule: rule, waitAfterFence: confirm.Validity, now: time.Unix(1_000_000, 0), primaryByTerm: map[uint64]string{}}
	for i := range members {
		sim.targets = append(sim.targets, &target{name: fmt.Sprintf("target-%d", i), term: 1, role: confirm.RoleReplica, follows: "target-0"})
	}
	sim.targets[0].role, sim.targets[0].follows = confirm.RolePrimary, ""
	sim.targets[0].log = []record{{term: 1, id: sim.newID()}}
	sim.primaryByTerm[1], sim.highestTerm = "target-0", 1
	sim.record = api.TermRecord{Term: 1, Primary: "target-0"}
	sim.version = 1
	for i := range gatesPerTarget * members {
		sim.gates = append(sim.gates, &gate{simulation: sim, target: sim.targets[i%members]})
	}
	for i := range promoterCount {
		sim.promoters = append(sim.promoters, &promoter{simulation: sim, name: fmt.Sprintf("daemon-%d", i)})
	}
	return sim
}

func (sim *simulation) newID() int {
	sim.nextID++
	return sim.nextID
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == nil {
		sim.violation = fmt.Errorf("step %d: "+format, append([]any{sim.stats.steps}, args...)...)
	}
}

func (sim *simulation) names() []string {
	names := make([]string, len(sim.targets))
	for i, t := range sim.targets {
		names[i] = t.name
	}
	return names
}

func (sim *simulation) find(name string) *target {
	for _, t := range sim.targets {
		if t.name == name {
			return t
		}
	}
	return nil
}

func (sim *simulation) send(to string, call any, deliver func(answer any)) {
	if len(sim.messages) == maxMessages {
		sim.messages = sim.messages[1:]
	}
	sim.messages = append(sim.messages, &message{to: to, call: call, deliver: deliver})
}

// advance delivers one message. A call that is received is executed and its answer is sent; an answer is passed to
// the sender.
func (sim *simulation) advance(m *message) {
	if m.answer != nil {
		m.deliver(m.answer)
		return
	}
	t := sim.find(m.to)
	if t != nil && !t.receives(m.call) {
		return
	}
	answer := sim.execute(m.call, t)
	if m.deliver != nil {
		sim.messages = append(sim.messages, &message{to: m.to, answer: answer, deliver: m.deliver})
	}
}

func (sim *simulation) execute(call any, t *target) any {
	switch c := call.(type) {
	case statusCall:
		return confirm.Status{Target: t.name, AskedAt: c.askedAt, Term: t.term, Role: t.role, Received: t.position()}
	case promotion.Fence:
		return t.fence(c)
	case promotion.Promote:
		answer, isNew := t.promote(c, sim.newID())
		if isNew {
			sim.checkPromoted(t)
		}
		return answer
	case promotion.Follow:
		return t.follow(c)
	case promotion.WriteRecord:
		return sim.writeRecord(c)
	default:
		return promotion.RecordRead{Record: sim.record, Version: sim.version}
	}
}

func (sim *simulation) writeRecord(o promotion.WriteRecord) promotion.Event {
	if o.Version != sim.version {
		return promotion.RecordConflict{}
	}
	sim.record = o.Record
	sim.version++
	return promotion.RecordWritten{Version: sim.version}
}

// checkPromoted checks that a term has one primary and that it holds every acknowledged write.
func (sim *simulation) checkPromoted(t *target) {
	sim.stats.promoted++
	if other := sim.primaryByTerm[t.term]; other != "" && other != t.name {
		sim.fail("term %d has two primaries, %s and %s, want one", t.term, other, t.name)
	}
	sim.primaryByTerm[t.term] = t.name
	sim.highestTerm = max(sim.highestTerm, t.term)
	for _, a := range sim.acked {
		if a.position.Term < t.term && !t.holds(a) {
			sim.fail("acknowledged write %d at %s is lost in term %d on %s", a.id, a.position, t.term, t.name)
		}
	}
}

// checkAcknowledged checks that no later term has a primary when a write is acknowledged.
func (sim *simulation) checkAcknowledged(a write, outcome confirm.Outcome) {
	if a.position.Term < sim.highestTerm {
		sim.fail("write %d of term %d got %s after the promotion of term %d", a.id, a.position.Term, outcome, sim.highestTerm)
	}
}

// checkMajorityHolds checks that a majority holds a write when it is acknowledged.
func (sim *simulation) checkMajorityHolds(a write) {
	holding := 0
	for _, t := range sim.targets {
		if t.holds(a) {
			holding++
		}
	}
	if holding < confirm.Majority(len(sim.targets)) {
		sim.underReplicated = &a
		sim.fail("acknowledged write %d at %s is on %d of %d targets, want a majority", a.id, a.position, holding, len(sim.targets))
	}
}

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

// write is a record that a gate has written for a caller.
type write struct {
	id          int
	position    api.Position
	committedAt time.Time
	ackedAt     time.Time
}

// message is a call on its way to a target or the platform, or its answer on the way back.
type message struct {
	to      string
	call    any
	answer  any
	deliver func(answer any)
}

// stats counts what happened in a run, to show that it exercised the rules.
type stats struct {
	steps, writes, acked, fenceOnly, refused, floors, bounds int
	promoted, finished, abandoned                            int
}

// world is a group with its gates and promoters.
type world struct {
	rule      confirm.Rule
	now       time.Time
	targets   []*target
	gates     []*gate
	promoters []*promoter
	messages  []*message

	record  api.TermRecord
	version uint64

	// exposed is the acknowledged write that was found on too few targets.
	exposed *write
	// settle is the time that promoters wait after they have fenced a majority.
	settle time.Duration
	// weights are the weights of the actions in this run.
	weights     []int
	totalWeight int

	nextID     int
	acked      []write
	promotedAt map[uint64]string
	highest    uint64
	stats      stats
	violation  error
}

const (
	// gatesPerTarget is above one because two daemons can believe that they hold a target.
	gatesPerTarget = 2
	promoterCount  = 2
	// maxMessages bounds the messages on their way; the oldest is lost beyond it.
	maxMessages = 40
)

func newWorld(members int, rule confirm.Rule) *world {
	w := &world{rule: rule, settle: confirm.Validity, now: time.Unix(1_000_000, 0), promotedAt: map[uint64]string{}}
	for i := range members {
		w.targets = append(w.targets, &target{name: fmt.Sprintf("target-%d", i), term: 1, role: confirm.RoleReplica, follows: "target-0"})
	}
	w.targets[0].role, w.targets[0].follows = confirm.RolePrimary, ""
	w.targets[0].log = []record{{term: 1, id: w.newID()}}
	w.promotedAt[1], w.highest = "target-0", 1
	w.record = api.TermRecord{Term: 1, Primary: "target-0"}
	w.version = 1
	for i := range gatesPerTarget * members {
		w.gates = append(w.gates, &gate{world: w, target: w.targets[i%members]})
	}
	for i := range promoterCount {
		w.promoters = append(w.promoters, &promoter{world: w, name: fmt.Sprintf("daemon-%d", i)})
	}
	return w
}

func (w *world) newID() int {
	w.nextID++
	return w.nextID
}

func (w *world) fail(format string, args ...any) {
	if w.violation == nil {
		w.violation = fmt.Errorf("step %d: "+format, append([]any{w.stats.steps}, args...)...)
	}
}

func (w *world) names() []string {
	names := make([]string, len(w.targets))
	for i, t := range w.targets {
		names[i] = t.name
	}
	return names
}

func (w *world) find(name string) *target {
	for _, t := range w.targets {
		if t.name == name {
			return t
		}
	}
	return nil
}

func (w *world) send(to string, call any, deliver func(answer any)) {
	if len(w.messages) == maxMessages {
		w.messages = w.messages[1:]
	}
	w.messages = append(w.messages, &message{to: to, call: call, deliver: deliver})
}

// pass moves one message on: a call is carried out and its answer sets out, an answer arrives.
func (w *world) pass(m *message) {
	if m.answer != nil {
		m.deliver(m.answer)
		return
	}
	t := w.find(m.to)
	if t != nil && !t.receives(m.call) {
		return
	}
	answer := w.carryOut(m.call, t)
	if m.deliver != nil {
		w.messages = append(w.messages, &message{to: m.to, answer: answer, deliver: m.deliver})
	}
}

func (w *world) carryOut(call any, t *target) any {
	switch c := call.(type) {
	case statusCall:
		return confirm.Answer{Target: t.name, AskedAt: c.askedAt, Term: t.term, Role: t.role, Received: t.position()}
	case promotion.Fence:
		return t.fence(c)
	case promotion.Promote:
		answer, isNew := t.promote(c, w.newID())
		if isNew {
			w.checkPromoted(t)
		}
		return answer
	case promotion.Follow:
		return t.follow(c)
	case promotion.WriteRecord:
		return w.writeRecord(c)
	default:
		return promotion.RecordRead{Record: w.record, Version: w.version}
	}
}

func (w *world) writeRecord(o promotion.WriteRecord) promotion.Event {
	if o.Version != w.version {
		return promotion.RecordConflict{}
	}
	w.record = o.Record
	w.version++
	return promotion.RecordWritten{Version: w.version}
}

// checkPromoted asserts that a term has one primary and that it holds every acknowledged write.
func (w *world) checkPromoted(t *target) {
	w.stats.promoted++
	if other := w.promotedAt[t.term]; other != "" && other != t.name {
		w.fail("term %d promoted %s and %s", t.term, other, t.name)
	}
	w.promotedAt[t.term] = t.name
	w.highest = max(w.highest, t.term)
	for _, a := range w.acked {
		if a.position.Term < t.term && !t.holds(a) {
			w.fail("acknowledged write %d at %s is lost in term %d on %s", a.id, a.position, t.term, t.name)
		}
	}
}

// checkAcknowledged asserts that no later term has a primary when a write is acknowledged.
func (w *world) checkAcknowledged(a write, outcome confirm.Outcome) {
	if a.position.Term < w.highest {
		w.fail("write %d of term %d got %s after the promotion of term %d", a.id, a.position.Term, outcome, w.highest)
	}
}

// checkMajorityHolds asserts that a write is on a majority when it is acknowledged.
func (w *world) checkMajorityHolds(a write) {
	holding := 0
	for _, t := range w.targets {
		if t.holds(a) {
			holding++
		}
	}
	if holding < confirm.Majority(len(w.targets)) {
		w.exposed = &a
		w.fail("acknowledged write %d at %s is on %d of %d targets", a.id, a.position, holding, len(w.targets))
	}
}

package admission

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// workspaceLimits are the numbers of slots that the workspaces may use concurrently; 0 means all.
var workspaceLimits = [...]int{0, 0, 1, 2}

// batchState is the expected state of a batch.
type batchState int

const (
	waiting batchState = iota
	running
	finished
)

// queueModel runs a queue and keeps the expected state of each batch.
type queueModel struct {
	q      *Queue
	slots  int
	now    time.Time
	states map[uint64]batchState
	items  map[uint64]Item
}

func (m *queueModel) start(t *rapid.T, starts []Start) {
	for _, s := range starts {
		if m.states[s.ID] != waiting {
			t.Fatalf("batch %d started without waiting", s.ID)
		}
		if !m.now.Before(m.items[s.ID].Deadline) {
			t.Fatalf("batch %d started after its deadline", s.ID)
		}
		if s.Running > m.slots {
			t.Fatalf("start of batch %d: got %d running, want at most %d", s.ID, s.Running, m.slots)
		}
		m.states[s.ID] = running
	}
}

func (m *queueModel) offer(t *rapid.T) {
	number := rapid.IntRange(0, 3).Draw(t, "workspace")
	i := Item{
		ID:        uint64(len(m.items) + 1),
		Workspace: fmt.Sprintf("workspace-%d", number),
		Limit:     workspaceLimits[number],
		Class:     Class(rapid.IntRange(0, 2).Draw(t, "class")),
		Deadline:  m.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "time")) * time.Millisecond),
	}
	m.items[i.ID] = i
	d := m.q.Offer(i, m.now)
	m.states[i.ID] = map[Outcome]batchState{Started: running, Queued: waiting, Refused: finished}[d.Outcome]
	if (d.Outcome == Refused) != (d.RetryAfter > 0) || (d.Outcome == Refused) != d.Code.IsNotRun() {
		t.Fatalf("want a code and a retry-after time exactly on refusals, got %v", d.Fields())
	}
	if d.Displaced != nil {
		m.refuse(t, *d.Displaced)
	}
}

func (m *queueModel) refuse(t *rapid.T, r Refusal) {
	if m.states[r.ID] != waiting {
		t.Fatalf("batch %d refused without waiting", r.ID)
	}
	m.states[r.ID] = finished
}

func (m *queueModel) release(t *rapid.T) {
	for id := uint64(1); id <= uint64(len(m.items)); id++ {
		if m.states[id] == running {
			m.states[id] = finished
			served := time.Duration(rapid.IntRange(0, 20).Draw(t, "served")) * time.Millisecond
			if rapid.Bool().Draw(t, "kind known") {
				m.start(t, m.q.End(m.items[id], m.now, served))
			} else {
				m.start(t, m.q.Release(m.items[id].Workspace, m.now, served))
			}
			return
		}
	}
}

func (m *queueModel) expire(t *rapid.T) {
	for _, r := range m.q.Expire(m.now) {
		m.refuse(t, r)
	}
	for id, state := range m.states {
		if state == waiting && !m.now.Before(m.items[id].Deadline) {
			t.Fatalf("batch %d still waits after its deadline", id)
		}
	}
}

func (m *queueModel) remove(t *rapid.T) {
	id := rapid.Uint64Range(0, uint64(len(m.items))).Draw(t, "id")
	state, known := m.states[id]
	if removed := m.q.Remove(id); removed != (known && state == waiting) {
		t.Fatalf("remove of batch %d: got %t, want true exactly for a waiting batch", id, removed)
	} else if removed {
		m.states[id] = finished
	}
}

func (m *queueModel) resize(t *rapid.T) {
	m.slots = rapid.IntRange(1, 4).Draw(t, "slots")
	m.start(t, m.q.Resize(m.slots, m.now))
}

func (m *queueModel) check(t *rapid.T) {
	count := map[batchState]int{}
	held := map[string]int{}
	for id, state := range m.states {
		if state == running {
			held[m.items[id].Workspace]++
		}
	}
	idle := true
	for id, state := range m.states {
		count[state]++
		i := m.items[id]
		if i.Limit > 0 && held[i.Workspace] > i.Limit {
			t.Fatalf("%s: got %d slots in use, want at most %d", i.Workspace, held[i.Workspace], i.Limit)
		}
		mayStart := i.Limit == 0 || held[i.Workspace] < i.Limit
		if state == waiting && mayStart && m.now.Before(i.Deadline) {
			idle = false
		}
	}
	if count[running] != m.q.Running() || count[waiting] != m.q.Waiting() {
		t.Fatalf("got %d running and %d waiting, want %d and %d", m.q.Running(), m.q.Waiting(), count[running], count[waiting])
	}
	if m.q.Waiting() > 6 {
		t.Fatalf("got %d waiting batches, want at most 6", m.q.Waiting())
	}
	if !idle && m.q.Running() < m.slots {
		t.Fatalf("got %d of %d slots in use while startable batches wait, want all", m.q.Running(), m.slots)
	}
}

func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{slots: 2, now: at(0), states: map[uint64]batchState{}, items: map[uint64]Item{}}
		m.q = New(Config{Slots: m.slots, QueueLength: 6, ByUsualLoad: rapid.Bool().Draw(t, "by usual load")})
		t.Repeat(map[string]func(*rapid.T){
			"offer":   m.offer,
			"release": m.release,
			"expire":  m.expire,
			"remove":  m.remove,
			"resize":  m.resize,
			"pass": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "ms")) * time.Millisecond)
			},
			"": m.check,
		})
	})
}

// TestNoWorkspaceStarves has one workspace offer a batch before each release while another has one waiting batch, which
// must start within MaxBypasses+2 releases.
func TestNoWorkspaceStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{Slots: 1, QueueLength: 64, ByUsualLoad: rapid.Bool().Draw(t, "by usual load")})
		id := uint64(1)
		ahead := rapid.Uint64Range(1, 40).Draw(t, "ahead")
		for ; id <= ahead; id++ {
			q.Offer(item(id, "greedy"), at(0))
		}
		quiet := item(10_000, "quiet")
		quiet.Class = Class(rapid.IntRange(0, 2).Draw(t, "class"))
		if q.Offer(quiet, at(0)).Outcome == Started {
			return
		}
		for starts := 1; starts <= MaxBypasses+2; starts++ {
			id++
			q.Offer(item(id, "greedy"), at(0))
			for _, s := range q.Release("", at(0), time.Millisecond) {
				if s.ID == quiet.ID {
					return
				}
			}
		}
		t.Fatal("batch of the quiet workspace has not started after MaxBypasses+2 releases")
	})
}

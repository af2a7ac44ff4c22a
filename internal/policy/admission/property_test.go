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

// workspaceLimits are the slots that the workspaces may use at a time; 0 for all.
var workspaceLimits = [...]int{0, 0, 1, 2}

// place is where a batch is.
type place int

const (
	waiting place = iota
	running
	gone
)

// machine runs a queue beside a plain record of where each batch is.
type machine struct {
	q      *Queue
	slots  int
	now    time.Time
	places map[uint64]place
	items  map[uint64]Item
}

func (m *machine) start(t *rapid.T, starts []Start) {
	for _, s := range starts {
		if m.places[s.ID] != waiting {
			t.Fatalf("batch %d starts but does not wait", s.ID)
		}
		if !m.now.Before(m.items[s.ID].Deadline) {
			t.Fatalf("batch %d starts after its deadline", s.ID)
		}
		if s.Running > m.slots {
			t.Fatalf("batch %d starts as number %d of %d slots", s.ID, s.Running, m.slots)
		}
		m.places[s.ID] = running
	}
}

func (m *machine) offer(t *rapid.T) {
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
	m.places[i.ID] = map[Outcome]place{Started: running, Queued: waiting, Rejected: gone}[d.Outcome]
	if (d.Outcome == Rejected) != (d.RetryAfter > 0) || (d.Outcome == Rejected) != d.Code.IsNotRun() {
		t.Fatalf("refusal without a code or a time to come back: %v", d.Fields())
	}
	if d.Displaced != nil {
		m.refuse(t, *d.Displaced)
	}
}

func (m *machine) refuse(t *rapid.T, r Refused) {
	if m.places[r.ID] != waiting {
		t.Fatalf("batch %d is refused but does not wait", r.ID)
	}
	m.places[r.ID] = gone
}

func (m *machine) release(t *rapid.T) {
	for id := uint64(1); id <= uint64(len(m.items)); id++ {
		if m.places[id] == running {
			m.places[id] = gone
			m.start(t, m.q.Release(m.items[id].Workspace, m.now, time.Duration(rapid.IntRange(0, 20).Draw(t, "served"))*time.Millisecond))
			return
		}
	}
}

func (m *machine) expire(t *rapid.T) {
	for _, r := range m.q.Expire(m.now) {
		m.refuse(t, r)
	}
	for id, p := range m.places {
		if p == waiting && !m.now.Before(m.items[id].Deadline) {
			t.Fatalf("batch %d waits after its deadline", id)
		}
	}
}

func (m *machine) remove(t *rapid.T) {
	id := rapid.Uint64Range(0, uint64(len(m.items))).Draw(t, "id")
	p, known := m.places[id]
	if removed := m.q.Remove(id); removed != (known && p == waiting) {
		t.Fatalf("batch %d removed=%t", id, removed)
	} else if removed {
		m.places[id] = gone
	}
}

func (m *machine) resize(t *rapid.T) {
	m.slots = rapid.IntRange(1, 4).Draw(t, "slots")
	m.start(t, m.q.Resize(m.slots, m.now))
}

func (m *machine) check(t *rapid.T) {
	count := map[place]int{}
	held := map[string]int{}
	for id, p := range m.places {
		if p == running {
			held[m.items[id].Workspace]++
		}
	}
	idle := true
	for id, p := range m.places {
		count[p]++
		i := m.items[id]
		if i.Limit > 0 && held[i.Workspace] > i.Limit {
			t.Fatalf("%s uses %d slots, its limit is %d", i.Workspace, held[i.Workspace], i.Limit)
		}
		mayStart := i.Limit == 0 || held[i.Workspace] < i.Limit
		if p == waiting && mayStart && m.now.Before(i.Deadline) {
			idle = false
		}
	}
	if count[running] != m.q.Running() || count[waiting] != m.q.Waiting() {
		t.Fatalf("queue counts %d and %d, want %d and %d", m.q.Running(), m.q.Waiting(), count[running], count[waiting])
	}
	if m.q.Waiting() > 6 {
		t.Fatalf("%d batches wait", m.q.Waiting())
	}
	if !idle && m.q.Running() < m.slots {
		t.Fatalf("%d of %d slots are used while batches wait", m.q.Running(), m.slots)
	}
}

func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{slots: 2, now: at(0), places: map[uint64]place{}, items: map[uint64]Item{}}
		m.q = New(Config{Slots: m.slots, QueueLength: 6})
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

// TestNoWorkspaceStarves lets one workspace offer as much as it can while another has one batch.
func TestNoWorkspaceStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{Slots: 1, QueueLength: 64})
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
		t.Fatal("the quiet workspace waits on")
	})
}

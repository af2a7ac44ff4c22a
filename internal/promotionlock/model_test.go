package promotionlock

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

// lockModel runs three daemons on one store that loses answers, carries out lost changes later and comes back from
// copies.
type lockModel struct {
	t      *rapid.T
	now    time.Duration
	store  *memoryStore
	copies []storeCopy
	late   []api.Object
	locks  []*Locks
	// holds are the holds that were given out, with the time at which each ends; a release ends it.
	holds  []modelHold
	tokens []uint64
	// counts of what the run reached.
	acquired, restored, lateWrites int
}

type storeCopy struct {
	version uint64
	data    json.RawMessage
	takenAt time.Duration
}

type modelHold struct {
	daemon int
	until  time.Duration
}

const (
	// maxCopyAge is the longest time that a restored copy is old.
	maxCopyAge = 6 * time.Second
	// maxLateness is the longest time after which a change without an answer is carried out. It is below takeoverDelay.
	maxLateness = 4 * time.Second
)

func newLockModel(t *rapid.T) *lockModel {
	m := &lockModel{t: t, now: time.Minute, store: &memoryStore{era: 1, eraSince: time.Second}}
	for i := range 3 {
		m.locks = append(m.locks, New(&modelClient{memoryStore: m.store, model: m}, m.store, fmt.Sprintf("daemon-%d", i)))
		m.locks[i].now = func() time.Duration { return m.now }
	}
	return m
}

// modelClient is one daemon's connection to the store.
type modelClient struct {
	*memoryStore
	model *lockModel
}

// Update carries an update out, loses it, or loses it and keeps it to be carried out later.
func (c *modelClient) Update(ctx context.Context, o api.Object) (api.Object, error) {
	c.model.betweenCalls()
	switch rapid.SampledFrom([]string{"done", "done", "done", "lost", "late"}).Draw(c.model.t, "update") {
	case "lost":
		return api.Object{}, errLost
	case "late":
		c.model.late = append(c.model.late, o)
		return api.Object{}, errLost
	}
	return c.memoryStore.Update(ctx, o)
}

// errLost fails an acquisition for good, like a call whose outcome stays unknown until its time is up.
var errLost = context.DeadlineExceeded

// betweenCalls lets the store be restored within an acquisition.
func (m *lockModel) betweenCalls() {
	if rapid.IntRange(0, 9).Draw(m.t, "restore_between") == 0 {
		m.restore()
	}
}

func (m *lockModel) takeCopy() {
	m.copies = append(m.copies, storeCopy{m.store.version, m.store.data, m.now})
}

// restore brings back a copy of at most maxCopyAge.
func (m *lockModel) restore() {
	m.copies = slices.DeleteFunc(m.copies, func(c storeCopy) bool { return m.now-c.takenAt > maxCopyAge })
	if len(m.copies) == 0 {
		return
	}
	c := rapid.SampledFrom(m.copies).Draw(m.t, "copy")
	m.store.version, m.store.data = c.version, c.data
	m.store.era++
	m.store.eraSince = m.now
	m.restored++
}

func (m *lockModel) acquire() {
	daemon := rapid.IntRange(0, len(m.locks)-1).Draw(m.t, "daemon")
	token, until, err := acquireLock(context.Background(), m.locks[daemon])
	if err != nil {
		return
	}
	m.acquired++
	for _, h := range m.holds {
		if h.daemon != daemon && m.now < h.until {
			m.t.Fatalf("daemon %d acquired the lock at %s while daemon %d holds it until %s", daemon, m.now, h.daemon, h.until)
		}
	}
	if n := len(m.tokens); n > 0 && token <= m.tokens[n-1] {
		m.t.Fatalf("got token %d after %d, want a higher one", token, m.tokens[n-1])
	}
	m.tokens = append(m.tokens, token)
	m.holds = append(m.holds, modelHold{daemon, until})
}

func (m *lockModel) release() {
	daemon := rapid.IntRange(0, len(m.locks)-1).Draw(m.t, "daemon")
	// The daemon stops its promotion before it releases the lock.
	for i := range m.holds {
		if m.holds[i].daemon == daemon {
			m.holds[i].until = min(m.holds[i].until, m.now)
		}
	}
	m.locks[daemon].Release(context.Background(), group, takeover.NothingOrdered)
}

// carryOutLate carries out a change whose answer was lost, if its condition still holds.
func (m *lockModel) carryOutLate() {
	if len(m.late) == 0 {
		return
	}
	if _, err := m.store.Update(context.Background(), m.late[0]); err == nil {
		m.lateWrites++
	}
	m.late = m.late[1:]
}

// TestNoTwoHoldersAcrossRestores checks that two daemons never hold the lock at the same time, and that no token is given
// out twice or falls, whenever the store comes back from a copy.
func TestNoTwoHoldersAcrossRestores(t *testing.T) {
	acquired, restored, late := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newLockModel(t)
		defer func() { acquired, restored, late = acquired+m.acquired, restored+m.restored, late+m.lateWrites }()
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(*rapid.T) { m.acquire() },
			"release": func(*rapid.T) { m.release() },
			"copy":    func(*rapid.T) { m.takeCopy() },
			"restore": func(*rapid.T) { m.restore() },
			"late":    func(*rapid.T) { m.carryOutLate() },
			"time": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, int(maxLateness/time.Millisecond)).Draw(t, "ms")) * time.Millisecond
			},
			"wait": func(*rapid.T) { m.now += takeoverDelay },
		})
	})
	if acquired == 0 || restored == 0 || late == 0 {
		t.Errorf("got %d acquisitions, %d restores and %d late changes, want each at least once", acquired, restored, late)
	}
	t.Logf("%d acquisitions, %d restores, %d late changes", acquired, restored, late)
}

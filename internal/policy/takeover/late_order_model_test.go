package takeover

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayacove/papayacove/internal/policy/leadership"
)

const (
	// modelHold is the time for which a promoter holds the promotion lock, and modelSuccession that after which
	// another one may hold it.
	modelHold       = 4 * time.Second
	modelSuccession = modelHold + time.Second
	// modelOrderReserve is the time before the end of a hold in which no order is sent.
	modelOrderReserve = 500 * time.Millisecond
	// modelTransit and modelEffect are the longest times until an order arrives, and from then until it takes effect.
	modelTransit = time.Second
	modelEffect  = time.Second
	// modelAwaited is the time for which a promoter waits for the effect of an order.
	modelAwaited = 3 * time.Second
)

// lateOrderModel is a modelGroup whose orders to promote take effect late, at times without an answer, and whose
// promoters freeze. One promoter at a time holds the lock. No target restarts, and the targets reach each other: a
// replica that the new primary does not reach is the subject of TestPromotionKeepsAcknowledgedCommits.
type lateOrderModel struct {
	*modelGroup
	// holder is the promotion that holds the lock; nil for none. The lock is free from freeAt on.
	holder *modelHolder
	freeAt time.Duration
	// frozen are promotions whose process runs again later.
	frozen []*modelHolder
	orders []modelOrder
	// unknown, resumed and late count promotions given up after an order, replicas resumed, and orders that took
	// effect after that.
	unknown, resumed, late int
}

// modelHolder is a promotion with its hold of the lock.
type modelHolder struct {
	*modelPromoter
	lockedUntil time.Duration
	// orderedAt is the time of its last order; 0 for none.
	orderedAt time.Duration
	givenUp   bool
}

// modelOrder is an order that takes effect at a time.
type modelOrder struct {
	holder *modelHolder
	target string
	at     time.Duration
}

func newLateOrderModel() *lateOrderModel {
	m := &lateOrderModel{modelGroup: newModelGroup()}
	m.now = time.Second
	return m
}

// pass lets time pass and the orders take effect.
func (m *lateOrderModel) pass(t *rapid.T, d time.Duration) {
	end := m.now + d
	for {
		due := slices.IndexFunc(m.orders, func(o modelOrder) bool {
			return o.at <= end && !slices.ContainsFunc(m.orders, func(other modelOrder) bool { return other.at < o.at })
		})
		if due < 0 {
			break
		}
		order := m.orders[due]
		m.orders = slices.Delete(m.orders, due, due+1)
		m.advance(max(0, order.at-m.now))
		if m.targets[order.target].role == leadership.RolePrimary {
			continue
		}
		if order.holder.givenUp {
			m.late++
		}
		m.takeEffect(t, order.target, 0)
	}
	m.advance(end - m.now)
}

// newestPrimary returns the primary of the newest term; empty for none.
func (m *lateOrderModel) newestPrimary() string {
	newest, term := "", uint64(0)
	for name, target := range m.targets {
		if target.role == leadership.RolePrimary && target.term > term {
			newest, term = name, target.term
		}
	}
	return newest
}

// take begins a promotion if the lock is free, and pauses all replicas that the promoter reaches. It knows of every
// promotion that has taken effect: one that does not is a fault of its own, which
// TestPromotionKeepsAcknowledgedCommits finds.
func (m *lateOrderModel) take(t *rapid.T) {
	if m.now < m.freeAt {
		return
	}
	m.beginAgainst(m.newestPrimary())
	for _, name := range m.promoter.replicas {
		m.pauseOne(name)
	}
	if rapid.Bool().Draw(t, "steps_down") {
		m.stepDown()
	}
	m.holder = &modelHolder{modelPromoter: m.promoter, lockedUntil: m.now + modelHold}
	m.freeAt = m.now + modelSuccession
}

// order orders the promotion while the lock is held and everything that it rests on holds.
func (m *lateOrderModel) order(t *rapid.T) {
	h := m.holder
	if h == nil || m.now >= h.lockedUntil-modelOrderReserve {
		return
	}
	m.promoter = h.modelPromoter
	if !m.choose() {
		return
	}
	transit, effect := drawUpTo(t, modelTransit, "transit"), drawUpTo(t, modelEffect, "effect")
	h.orderedAt = m.now
	m.orders = append(m.orders, modelOrder{h, h.choice.Target, min(m.now+transit, h.lockedUntil) + effect})
}

// drawUpTo draws whole milliseconds.
func drawUpTo(t *rapid.T, most time.Duration, label string) time.Duration {
	return time.Duration(rapid.IntRange(0, int(most/time.Millisecond)).Draw(t, label)) * time.Millisecond
}

// giveUp ends a promotion. It resumes its replicas only if it has sent no order, while its lock is held.
func (m *lateOrderModel) giveUp(h *modelHolder) {
	h.givenUp = true
	if h.orderedAt != 0 {
		m.unknown++
		m.release(h, h.orderedAt+modelAwaited)
		return
	}
	if m.now < h.lockedUntil {
		for _, name := range slices.Sorted(maps.Keys(h.paused)) {
			if m.isReached(name) {
				m.targets[name].paused = 0
				m.resumed++
			}
		}
	}
	m.release(h, m.now)
}

// freeze stops the process of the promoter.
func (m *lateOrderModel) freeze() {
	if m.holder != nil {
		m.frozen, m.holder = append(m.frozen, m.holder), nil
	}
}

// wake lets the processes that were frozen run again: their promotions have failed.
func (m *lateOrderModel) wake() {
	for _, h := range m.frozen {
		m.giveUp(h)
	}
	m.frozen = nil
}

// release makes the lock free at a time, unless the hold ends before.
func (m *lateOrderModel) release(h *modelHolder, at time.Duration) {
	if m.holder == h {
		m.holder, m.freeAt = nil, min(m.freeAt, max(at, m.now))
	}
}

// TestLateOrdersKeepAcknowledgedCommits interleaves commits and promotions whose orders take effect up to two seconds
// later, and promoters that freeze. It guards against replicas that a promoter resumes while an order is under way,
// its own or another's.
func TestLateOrdersKeepAcknowledgedCommits(t *testing.T) {
	promotions, unknown, resumed, late := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newLateOrderModel()
		defer func() {
			promotions, unknown = promotions+m.promotions, unknown+m.unknown
			resumed, late = resumed+m.resumed, late+m.late
		}()
		names := []string{"a", "b", "c"}
		pass := func(most time.Duration) func(*rapid.T) {
			return func(t *rapid.T) { m.pass(t, drawUpTo(t, most, "ms")) }
		}
		t.Repeat(map[string]func(*rapid.T){
			"commit": m.commit,
			"time":   pass(leadership.ProofValidity),
			"wait":   pass(modelHold),
			"unreached": func(t *rapid.T) {
				m.unreached[rapid.SampledFrom(names).Draw(t, "target")] = rapid.Bool().Draw(t, "unreached")
			},
			"take": m.take,
			"take and order": func(t *rapid.T) {
				m.take(t)
				m.pass(t, leadership.ProofValidity)
				m.order(t)
			},
			"order": m.order,
			"give up": func(*rapid.T) {
				if m.holder != nil {
					m.giveUp(m.holder)
				}
			},
			"freeze": func(*rapid.T) { m.freeze() },
			"wake":   func(*rapid.T) { m.wake() },
			// A promotion by the successor of a promoter that is frozen, which runs again before the order takes
			// effect.
			"succeed": func(t *rapid.T) {
				m.take(t)
				m.freeze()
				m.pass(t, modelSuccession)
				m.take(t)
				m.pass(t, leadership.ProofValidity)
				m.order(t)
				m.wake()
				m.commit(t)
			},
		})
	})
	if promotions == 0 || unknown == 0 || resumed == 0 || late == 0 {
		t.Errorf("got %d promotions, %d of unknown outcome, %d replicas resumed, %d late effects, want each at least once",
			promotions, unknown, resumed, late)
	}
	t.Logf("%d promotions, %d of unknown outcome, %d replicas resumed, %d late effects", promotions, unknown, resumed, late)
}

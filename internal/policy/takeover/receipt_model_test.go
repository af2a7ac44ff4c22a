package takeover

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/leadership"
)

// maxFeedDelay is the longest time from the listing of a target to when a daemon that follows the entries knows it.
const maxFeedDelay = leadership.ProofValidity

// receiptModel is a modelGroup with targets that receive the log before the store lists them. Promoters, one at a time,
// know the listed targets only. A daemon that knows a target some time after it is listed passes on the success of
// commits.
type receiptModel struct {
	*modelGroup
	// listedAt and knownAt are the times at which the store listed a target and the daemon learned of it.
	listedAt, knownAt map[string]time.Duration
	// waiting are the commits that a primary has acknowledged to the daemon and that are not confirmed.
	waiting []modelCommit
	// lockedUntil is the end of the promoter's hold of the lock, and lockFreeAt the time from which it may be taken.
	lockedUntil, lockFreeAt time.Duration
	// checked is true once the promoter has listed the targets, and found all of them still paused.
	checked bool
	// joined, confirmed, unconfirmed and alone count targets that joined, commits whose success was passed on, those that
	// were lost or given up, and those that only an unlisted target had received.
	joined, confirmed, unconfirmed, alone int
}

// modelCommit is a commit of a primary.
type modelCommit struct {
	primary  string
	position api.Position
}

func newReceiptModel() *receiptModel {
	m := &receiptModel{modelGroup: newModelGroup(), listedAt: map[string]time.Duration{}, knownAt: map[string]time.Duration{}}
	for name := range m.targets {
		m.listedAt[name], m.knownAt[name] = 0, 0
	}
	return m
}

func (m *receiptModel) names() []string { return slices.Sorted(maps.Keys(m.targets)) }

func (m *receiptModel) drawTarget(t *rapid.T, label string) string {
	return rapid.SampledFrom(m.names()).Draw(t, label)
}

// pass lets time pass, and the daemon learn of the targets that were listed maxFeedDelay ago.
func (m *receiptModel) pass(d time.Duration) {
	m.advance(d)
	for name, at := range m.listedAt {
		if m.now >= at+maxFeedDelay {
			m.learn(name)
		}
	}
}

func (m *receiptModel) learn(name string) {
	_, isListed := m.listedAt[name]
	if _, known := m.knownAt[name]; isListed && !known {
		m.knownAt[name] = m.now
	}
}

// join adds a target that receives from the primary and is not listed.
func (m *receiptModel) join(name string) {
	if m.targets[name] == nil {
		m.targets[name] = &modelTarget{role: leadership.RoleReplica, up: true}
		m.joined++
	}
}

func (m *receiptModel) list(name string) {
	if _, isListed := m.listedAt[name]; m.targets[name] != nil && !isListed {
		m.listedAt[name] = m.now
	}
}

func (m *receiptModel) cut(t *rapid.T) {
	a, b := m.drawTarget(t, "a"), m.drawTarget(t, "b")
	m.partitioned[[2]string{min(a, b), max(a, b)}] = rapid.Bool().Draw(t, "cut")
}

// commitAt writes a commit at every primary. Some of the replicas receive it; if one does, the primary acknowledges it.
func (m *receiptModel) commitAt(t *rapid.T) {
	receives := map[string]bool{}
	for _, name := range m.names() {
		receives[name] = rapid.Bool().Draw(t, "receives_"+name)
	}
	for _, name := range m.names() {
		p := m.targets[name]
		if p.role != leadership.RolePrimary {
			continue
		}
		m.next++
		position := api.Position{Term: p.term, Offset: m.next}
		p.log = append(slices.Clone(p.log), position)
		if !m.replicate(name, func(replica string) bool { return receives[replica] }) {
			continue
		}
		m.waiting = append(m.waiting, modelCommit{name, position})
		isListed := func(replica string) bool { _, ok := m.listedAt[replica]; return ok && receives[replica] }
		if !slices.ContainsFunc(m.names(), isListed) {
			m.alone++
		}
	}
}

// ask lets the daemon ask some of the targets that it knows for their status.
func (m *receiptModel) ask(t *rapid.T) {
	for _, name := range slices.Sorted(maps.Keys(m.knownAt)) {
		if m.targets[name].up && rapid.Bool().Draw(t, "answers_"+name) {
			m.statuses[name] = m.status(name)
		}
	}
	m.updatePrimary()
	m.applyProof(leadership.Basis{
		Members: slices.Sorted(maps.Keys(m.knownAt)), IsChained: m.now < m.proofUntil, IsComplete: true, NeedsReplica: true,
	})
}

// confirm passes on the success of the commits that are confirmed, and gives up those of an earlier term.
func (m *receiptModel) confirm() {
	replicas := map[string]Receiver{}
	for name := range m.knownAt {
		if name != m.proofFor {
			replicas[name] = Receiver{Status: m.statuses[name]}
		}
	}
	m.waiting = slices.DeleteFunc(m.waiting, func(c modelCommit) bool {
		if c.position.Term < m.proofTerm {
			m.unconfirmed++
			return true
		}
		isConfirmed := m.proofFor == c.primary && m.now < m.proofUntil && IsConfirmed(replicas, m.proofTerm, c.position, false)
		if isConfirmed {
			m.confirmed++
			m.acked = append(m.acked, c.position)
		}
		return isConfirmed
	})
}

// take begins a promotion if the lock is free, and pauses the listed replicas that the promoter reaches.
func (m *receiptModel) take(t *rapid.T) {
	if m.now < m.lockFreeAt || m.pending != nil {
		return
	}
	leader, _, led := leadership.Leader(m.reachedStatuses())
	if !led || rapid.Bool().Draw(t, "suspects_another") {
		leader = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "suspected")
	}
	m.beginAgainst(leader)
	m.promoter.replicas = nil
	m.checked = false
	m.lockedUntil, m.lockFreeAt = m.now+modelHold, m.now+modelSuccession
	m.addListed()
}

// addListed pauses the targets that are listed and that the promotion does not know, and returns their number.
func (m *receiptModel) addListed() int {
	p := m.promoter
	joined := Joined(slices.Collect(maps.Keys(m.listedAt)), append(slices.Clone(p.replicas), p.old))
	for _, name := range joined {
		p.replicas = append(p.replicas, name)
		m.pauseOne(name)
	}
	return len(joined)
}

// check lists the targets again once the wait is over, as right before an order.
func (m *receiptModel) check() {
	if m.promoter == nil {
		return
	}
	m.checked = m.now >= EarliestOrder(m.promoter.pausedAt, m.promoter.steppedDownAt) && m.addListed() == 0 && m.choose()
}

// send sends the order, also long after the check, but not near the end of the hold.
func (m *receiptModel) send(t *rapid.T) {
	if m.promoter == nil || !m.checked || m.pending != nil || m.now >= m.lockedUntil-modelOrderReserve {
		return
	}
	name := m.promoter.choice.Target
	m.promoter, m.checked = nil, false
	m.pending = &pendingPromotion{target: name, at: m.now + drawUpTo(t, modelEffect, "effect"), takeEffect: func() {
		m.takeEffect(t, name, 0)
		m.settled = m.targets[name].term
	}}
}

// TestConfirmedCommitsAreInEachPromotedTarget interleaves commits, partitions, targets that receive before they are
// listed, and promotions whose promoter freezes between its last look and the order. It guards against the success of a
// commit that only a target has received which no promoter knows.
func TestConfirmedCommitsAreInEachPromotedTarget(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := newReceiptModel()
		defer func() {
			for what, count := range map[string]int{
				"promotions": m.promotions, "targets that joined": m.joined, "confirmed commits": m.confirmed,
				"commits that were not confirmed": m.unconfirmed, "commits that only an unlisted target received": m.alone,
			} {
				counts[what] += count
			}
		}()
		drawNew := func(t *rapid.T) string { return rapid.SampledFrom([]string{"d", "e"}).Draw(t, "new") }
		t.Repeat(map[string]func(*rapid.T){
			"commit":    m.commitAt,
			"time":      func(t *rapid.T) { m.pass(drawUpTo(t, leadership.ProofValidity, "ms")) },
			"wait":      func(t *rapid.T) { m.pass(drawUpTo(t, modelHold, "ms")) },
			"cut":       m.cut,
			"unreached": func(t *rapid.T) { m.unreached[m.drawTarget(t, "target")] = rapid.Bool().Draw(t, "unreached") },
			"join":      func(t *rapid.T) { m.join(drawNew(t)) },
			"list":      func(t *rapid.T) { m.list(drawNew(t)) },
			"learn":     func(t *rapid.T) { m.learn(drawNew(t)) },
			"ask":       m.ask,
			"confirm":   func(*rapid.T) { m.confirm() },
			"take":      m.take,
			"check":     func(*rapid.T) { m.check() },
			"send":      m.send,
			"step down": func(*rapid.T) {
				if m.promoter != nil {
					m.stepDown()
				}
			},
			"give up": func(*rapid.T) {
				if m.promoter != nil {
					m.giveUp()
					m.lockFreeAt = m.now
				}
			},
			// A promotion as a whole beside a target that joins, and commits in each of its steps.
			"promote beside a join": func(t *rapid.T) {
				serve := func() { m.ask(t); m.commitAt(t); m.ask(t); m.confirm() }
				listsAt := rapid.IntRange(0, 5).Draw(t, "lists_at")
				name := drawNew(t)
				step := func(number int) {
					if number == listsAt {
						m.list(name)
						if rapid.Bool().Draw(t, "learns") {
							m.learn(name)
						}
					}
					serve()
				}
				step(0)
				m.join(name)
				step(1)
				m.take(t)
				step(2)
				if m.promoter != nil && rapid.Bool().Draw(t, "steps_down") {
					m.stepDown()
				}
				m.pass(leadership.ProofValidity)
				m.check()
				step(3)
				m.pass(drawUpTo(t, leadership.ProofValidity, "frozen"))
				step(4)
				m.send(t)
				step(5)
			},
		})
	})
	for _, what := range slices.Sorted(maps.Keys(counts)) {
		if counts[what] == 0 {
			t.Errorf("got no %s, want some", what)
		}
		t.Logf("%d %s", counts[what], what)
	}
}

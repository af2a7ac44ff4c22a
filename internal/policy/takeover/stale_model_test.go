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

// staleModel is a modelGroup with a daemon that reads, and passes the success of commits on, within leadership proofs. A
// fourth target joins, whose entry the store lists at once and of which the daemon learns later.
type staleModel struct {
	*modelGroup
	// known are the targets that the daemon knows.
	known map[string]bool
	// joined counts the targets that joined, the last of them at joinedAt.
	joined   int
	joinedAt time.Duration
}

func newStaleModel() *staleModel {
	return &staleModel{modelGroup: newModelGroup(), known: map[string]bool{"a": true, "b": true, "c": true}}
}

func (m *staleModel) drawTarget(t *rapid.T, label string) string {
	return rapid.SampledFrom(slices.Sorted(maps.Keys(m.targets))).Draw(t, label)
}

func (m *staleModel) cut(t *rapid.T) {
	a, b := m.drawTarget(t, "a"), m.drawTarget(t, "b")
	m.partitioned[[2]string{min(a, b), max(a, b)}] = rapid.Bool().Draw(t, "cut")
}

// join adds a target that has nothing of the log yet.
func (m *staleModel) join() {
	if m.targets["d"] == nil {
		m.targets["d"] = &modelTarget{role: leadership.RoleReplica, up: true}
		m.joined++
		m.joinedAt = m.now
	}
}

// reachesOnly cuts a target off from all others but one.
func (m *staleModel) reachesOnly(name, reached string) {
	for _, other := range []string{"a", "b", "c"} {
		m.partitioned[[2]string{min(name, other), max(name, other)}] = other != reached
	}
}

// learn lets the daemon learn of the target that has joined.
func (m *staleModel) learn() {
	if m.targets["d"] != nil {
		m.known["d"] = true
	}
}

// commitAt writes a commit at every primary, which some of the replicas receive. The daemon passes its success on within a proof
// only; at the primary of the newest term another daemon does.
func (m *staleModel) commitAt(t *rapid.T) {
	receives := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(m.targets)) {
		receives[name] = rapid.Bool().Draw(t, "receives_"+name)
	}
	for _, name := range slices.Sorted(maps.Keys(m.targets)) {
		p := m.targets[name]
		if p.role != leadership.RolePrimary {
			continue
		}
		m.next++
		position := api.Position{Term: p.term, Offset: m.next}
		p.log = append(slices.Clone(p.log), position)
		received := m.replicate(name, func(replica string) bool { return receives[replica] })
		if received && (m.isProved(name) || p.term == m.newestTerm()) {
			m.acked = append(m.acked, position)
		}
	}
}

// promoteListed promotes the chosen target unless the list right before the order has a target that the promotion does not
// know. That one is paused, and the wait begins anew.
func (m *staleModel) promoteListed(t *rapid.T) {
	p := m.promoter
	if p == nil {
		return
	}
	joined := Joined(slices.Collect(maps.Keys(m.targets)), append(slices.Clone(p.replicas), p.old))
	for _, name := range joined {
		p.replicas = append(p.replicas, name)
		m.pauseOne(name)
	}
	if len(joined) == 0 {
		m.promote(t, 0)
	}
}

// prove lets the daemon ask some of the targets that it knows for their status.
func (m *staleModel) prove(t *rapid.T) {
	for _, name := range slices.Sorted(maps.Keys(m.known)) {
		if rapid.Bool().Draw(t, "answers_"+name) {
			m.statuses[name] = m.status(name)
		}
	}
	m.updatePrimary()
	m.applyProof(m.basis())
}

// basis returns what the daemon knows. It learns of a target while the entries are followed, and so before a promotion
// that began after the target joined can be complete.
func (m *staleModel) basis() leadership.Basis {
	return leadership.Basis{
		Members: slices.Sorted(maps.Keys(m.known)), IsChained: m.now < m.proofUntil, NeedsReplica: true,
		IsComplete: len(m.known) == len(m.targets) || m.now < m.joinedAt+leadership.ProofValidity,
	}
}

// read checks that a read that begins within a valid proof sees every commit acknowledged before.
func (m *staleModel) read(t rapid.TB) {
	target, ok := m.targets[m.proofFor]
	if !ok || m.now >= m.proofUntil {
		return
	}
	m.reads++
	for _, position := range m.acked {
		if !slices.Contains(target.log, position) {
			t.Fatalf("read at %s within a proof of term %d: acknowledged commit %v is missing", m.proofFor, m.proofTerm, position)
		}
	}
}

// replaceByStepDown begins a promotion that does not reach one of the replicas, and orders the old primary to step down.
func (m *staleModel) replaceByStepDown(t *rapid.T) {
	leader, term, ok := leadership.Leader(m.reachedStatuses())
	if !ok || term < m.newestTerm() {
		return
	}
	m.beginAgainst(leader)
	unpaused := rapid.SampledFrom(m.promoter.replicas).Draw(t, "unpaused")
	for _, name := range m.promoter.replicas {
		if name != unpaused {
			m.pauseOne(name)
		}
	}
	m.advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "until_step_down")) * time.Millisecond)
	// A proof between the pauses and the step-down is later than the last pause.
	m.prove(t)
	m.stepDown()
}

// TestReadsWithinProofsSeeAcknowledgedCommits interleaves commits, partitions, promotions by pauses and by a step-down,
// a target that joins, status rounds and reads. It guards against a read at an old primary, and against the success of a commit
// there, within a proof by a replica that no promoter has paused.
func TestReadsWithinProofsSeeAcknowledgedCommits(t *testing.T) {
	promotions, reads, joined := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newStaleModel()
		defer func() { promotions, reads, joined = promotions+m.promotions, reads+m.reads, joined+m.joined }()
		t.Repeat(map[string]func(*rapid.T){
			"commit":    m.commitAt,
			"time":      func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * time.Millisecond) },
			"cut":       m.cut,
			"unreached": func(t *rapid.T) { m.unreached[m.drawTarget(t, "target")] = rapid.Bool().Draw(t, "unreached") },
			"replace":   m.replaceByStepDown,
			// A promotion as a whole beside reads, so that runs reach those at the old primary.
			"replace and read": func(t *rapid.T) {
				m.prove(t)
				m.replaceByStepDown(t)
				m.advance(time.Duration(rapid.IntRange(0, 600).Draw(t, "until_proof")) * time.Millisecond)
				m.prove(t)
				m.advance(time.Duration(rapid.IntRange(0, 600).Draw(t, "until_order")) * time.Millisecond)
				m.promoteListed(t)
				m.commitAt(t)
				m.read(t)
			},
			// A promotion as a whole beside a target that joins and commits.
			"take over beside a join": func(t *rapid.T) {
				m.prove(t)
				m.begin(t)
				old := m.promoter.old
				for _, name := range m.promoter.replicas {
					m.pauseOne(name)
				}
				joinsBefore := rapid.Bool().Draw(t, "joins_before_the_order")
				if joinsBefore {
					m.join()
					m.learn()
				}
				m.commitAt(t)
				m.advance(leadership.ProofValidity)
				m.promoteListed(t)
				if !joinsBefore {
					m.join()
					m.learn()
					m.reachesOnly("d", old)
				}
				m.commitAt(t)
				m.prove(t)
				m.commitAt(t)
				m.read(t)
			},
			"take over": func(t *rapid.T) {
				m.begin(t)
				for _, name := range m.promoter.replicas {
					m.pauseOne(name)
				}
				m.advance(leadership.ProofValidity)
				m.promoteListed(t)
			},
			"join":    func(*rapid.T) { m.join() },
			"learn":   func(*rapid.T) { m.learn() },
			"wait":    func(*rapid.T) { m.advance(leadership.ProofValidity) },
			"promote": m.promoteListed,
			"prove":   m.prove,
			"read":    func(t *rapid.T) { m.read(t) },
		})
	})
	if promotions == 0 || reads == 0 || joined == 0 {
		t.Errorf("got %d promotions, %d reads within proofs, %d targets that joined, want each at least once", promotions, reads, joined)
	}
	t.Logf("%d promotions, %d reads within proofs, %d targets that joined", promotions, reads, joined)
}

package takeover

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayacove/papayacove/internal/policy/leadership"
)

// staleModel is a modelGroup with a daemon that reads within leadership proofs. A promotion ends the pauses of those
// replicas only that the new primary reaches; the others are the subject of TestPromotionKeepsAcknowledgedCommits.
type staleModel struct {
	*modelGroup
}

func newStaleModel() *staleModel {
	m := &staleModel{modelGroup: newModelGroup()}
	m.keepsUnreachedPauses = true
	return m
}

func (m *staleModel) drawTarget(t *rapid.T, label string) string {
	return rapid.SampledFrom(slices.Sorted(maps.Keys(m.targets))).Draw(t, label)
}

func (m *staleModel) cut(t *rapid.T) {
	a, b := m.drawTarget(t, "a"), m.drawTarget(t, "b")
	m.partitioned[[2]string{min(a, b), max(a, b)}] = rapid.Bool().Draw(t, "cut")
}

// prove lets the daemon ask some targets for their status.
func (m *staleModel) prove(t *rapid.T) {
	for _, name := range slices.Sorted(maps.Keys(m.targets)) {
		if m.targets[name].up && rapid.Bool().Draw(t, "answers_"+name) {
			m.statuses[name] = m.status(name)
		}
	}
	m.applyStatuses()
}

// applyStatuses does what a daemon does after a status round.
func (m *staleModel) applyStatuses() {
	leader, term, ok := leadership.Leader(m.statuses)
	if !ok {
		m.proofFor = ""
		return
	}
	if term != m.proofTerm {
		m.proofUntil = 0
	}
	m.proofFor, m.proofTerm = leader, term
	if proof, proved := leadership.ProvenAt(m.statuses, leader, term, m.witnesses()); proved {
		m.proofUntil = max(m.proofUntil, proof.At+leadership.ProofValidity)
	}
}

// read checks that a read that begins within a valid proof sees every commit acknowledged before.
func (m *staleModel) read(t rapid.TB) {
	target, ok := m.targets[m.proofFor]
	if !ok || m.now >= m.proofUntil || !target.up {
		return
	}
	m.reads++
	for _, position := range m.acked {
		if !slices.Contains(target.log, position) {
			t.Fatalf("read at %s within a proof of term %d: acknowledged commit %v is missing", m.proofFor, m.proofTerm, position)
		}
	}
}

// newestTerm returns the newest term, which the promoter has seen: it made all promotions.
func (m *staleModel) newestTerm() uint64 {
	var term uint64
	for _, target := range m.targets {
		term = max(term, target.term)
	}
	return term
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
// status rounds and reads. It guards against a read at an old primary within a proof that a replica gave which no
// promoter had paused.
func TestReadsWithinProofsSeeAcknowledgedCommits(t *testing.T) {
	promotions, reads := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newStaleModel()
		defer func() { promotions, reads = promotions+m.promotions, reads+m.reads }()
		promote := func(t *rapid.T) {
			if m.promoter != nil {
				m.promote(t, 0)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"commit":    m.commit,
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
				promote(t)
				m.commit(t)
				m.read(t)
			},
			"take over": func(t *rapid.T) {
				m.begin(t)
				for _, name := range m.promoter.replicas {
					m.pauseOne(name)
				}
				m.advance(leadership.ProofValidity)
				promote(t)
			},
			"wait":    func(*rapid.T) { m.advance(leadership.ProofValidity) },
			"promote": promote,
			"prove":   m.prove,
			"read":    func(t *rapid.T) { m.read(t) },
		})
	})
	if promotions == 0 || reads == 0 {
		t.Errorf("got %d promotions and %d reads within proofs, want each at least once", promotions, reads)
	}
	t.Logf("%d promotions, %d reads within proofs", promotions, reads)
}

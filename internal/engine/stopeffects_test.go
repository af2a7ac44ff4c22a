package engine

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/result"
)

// stopDuring runs the steps of a planned stop just before the numbered exchanges with the target: transactions end, and
// then the last statement in progress gets its final answer.
func stopDuring(e *Engine, target *fakeTarget, endTransactions, conclude int) {
	exchange, count := target.exchange, 0
	target.exchange = func(conn *fakeConnection, c Command) (Reply, error) {
		if count++; count == endTransactions {
			e.endTransactions()
		}
		if count == conclude {
			e.concluding.Store(true)
			for _, s := range e.openSessions() {
				s.conclude()
				for s.isConcluded() && len(e.openSessions()) > 0 {
					time.Sleep(time.Millisecond)
				}
			}
		}
		return exchange(conn, c)
	}
}

// TestAnswersMatchEffectsDuringAStop guards against answers of a planned stop that are not true, whatever becomes of
// the statement at its target.
func TestAnswersMatchEffectsDuringAStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := &randomTarget{t: t, committed: map[string]int{}, open: map[*fakeConnection][]string{}}
		target := &fakeTarget{exchange: random.exchange}
		caller := &scriptedCaller{statements: drawStatements(t)}
		e := newTestEngine(target)
		endTransactions := rapid.IntRange(1, 20).Draw(t, "end of transactions")
		stopDuring(e, target, endTransactions, endTransactions+rapid.IntRange(0, 10).Draw(t, "end"))
		e.Serve(caller, "d", callers.Identity{})
		checkStopAnswers(t, caller, random)
	})
}

// checkStopAnswers compares the answers to the caller with what took effect, also if the last statements were not read.
func checkStopAnswers(t *rapid.T, caller *scriptedCaller, random *randomTarget) {
	var inside []string
	open := false
	for i, a := range caller.answers {
		s := caller.statements[i]
		isWrite := s.Op == OpWrite || s.Op == OpExecute
		switch {
		case isWrite && random.committed[s.ID] > 1:
			t.Fatalf("%s took effect %d times, want at most once", s.ID, random.committed[s.ID])
		case isWrite && !open:
			checkWrite(t, s, a, random.committed[s.ID])
		case isWrite:
			inside = append(inside, s.ID)
		case open && s.Op == OpCommit:
			checkEnd(t, s, a, inside, random)
		}
		if open && a.Refusal != nil && (a.Refusal.Code.IsNotRun() || a.Refusal.Code == result.TransactionLost) {
			checkEnd(t, Statement{Op: OpRollback}, a, inside, random)
		}
		if open = a.State == StateOpen; !open {
			inside = nil
		}
	}
}

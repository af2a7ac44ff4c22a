package engine

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/result"
)

// racingCaller sends one statement, which arrives in the instant of a call of arrives.
type racingCaller struct {
	scriptedCaller
	arrives func()
}

func (c *racingCaller) Next(deadline time.Time) (Statement, error) {
	if c.arrives != nil {
		c.arrives()
	}
	return c.scriptedCaller.Next(deadline)
}

// TestStatementThatArrivesAsItsSessionIsClosedIsAnswered guards against a statement that is read and dropped.
func TestStatementThatArrivesAsItsSessionIsClosedIsAnswered(t *testing.T) {
	target := &fakeTarget{exchange: func(*fakeConnection, Command) (Reply, error) {
		return Reply{Signature: "s", Position: firstCommit}, nil
	}}
	for _, reason := range []string{"stop", "isolation"} {
		e := newTestEngine(target)
		caller := &racingCaller{scriptedCaller: scriptedCaller{statements: []Statement{{ID: "w", Op: OpWrite, Text: "w"}}}}
		caller.arrives = sync.OnceFunc(func() {
			if reason == "stop" {
				e.closing.Store(true)
				e.CloseIdleSessions()
				return
			}
			e.closeIdleSessions(context.Background(), 0, func() bool { return true })
		})
		e.Serve(caller, "d", callers.Identity{})
		if len(caller.answers) != 1 || codeIn(caller.answers[0]) != result.OK {
			t.Errorf("%s: got answers %+v, want one with success", reason, caller.answers)
		}
	}
}

// openTransactionsTarget answers as a target with a transaction on each connection, and counts rollbacks and commits.
type openTransactionsTarget struct {
	fakeTarget
	rollbacks, commits atomic.Int64
	// wait, if not nil, delays the reply to a write until it is closed; reached gets an element when one has arrived.
	wait, reached chan struct{}
}

func newOpenTransactionsTarget() *openTransactionsTarget {
	target := &openTransactionsTarget{reached: make(chan struct{}, 10)}
	target.exchange = func(_ *fakeConnection, c Command) (Reply, error) {
		switch c.Op {
		case OpRollback:
			target.rollbacks.Add(1)
			return Reply{Signature: "s", Position: firstCommit}, nil
		case OpCommit:
			target.commits.Add(1)
			return Reply{Signature: "s", Position: firstCommit}, nil
		case OpWrite:
			target.reached <- struct{}{}
			if target.wait != nil {
				<-target.wait
			}
		}
		return Reply{Signature: "s", Position: firstCommit, State: StateOpen}, nil
	}
	return target
}

// TestStopEndsIdleTransactionsAtHalfOfTheGracePeriod guards against a transaction that keeps its session until the end
// of the grace period.
func TestStopEndsIdleTransactionsAtHalfOfTheGracePeriod(t *testing.T) {
	for _, op := range []Operation{OpWrite, OpCommit, OpSet, OpRollback} {
		target := newOpenTransactionsTarget()
		e := newTestEngine(&target.fakeTarget)
		close(e.configured)
		caller, ended := serveLive(t, e, "")
		caller.ask(Statement{ID: "1", Op: OpBegin, Text: "BEGIN"})
		caller.ask(Statement{ID: "2", Op: OpWrite, Text: "w"})
		e.closing.Store(true)
		e.endTransactions()
		awaitTrue(t, "the transaction is rolled back", func() bool { return target.rollbacks.Load() == 1 })
		caller.statements <- Statement{ID: "3", Op: op, Text: "t"}
		want := result.TransactionLost
		if op == OpRollback {
			want = result.OK
		}
		if answer := <-caller.answers; codeIn(answer) != want || answer.State != StateIdle {
			t.Errorf("%s after the end of the transaction: got %v in state %d, want %v in the idle state", op, codeIn(answer), answer.State, want)
		}
		awaitEnd(t, ended)
		if target.commits.Load() != 0 {
			t.Errorf("%s: got a commit at the target, want none", op)
		}
	}
}

// TestStopEndsTransactionAfterTheStatementInProgress guards against a transaction that is rolled back before its
// statement is answered.
func TestStopEndsTransactionAfterTheStatementInProgress(t *testing.T) {
	target := newOpenTransactionsTarget()
	target.wait = make(chan struct{})
	e := newTestEngine(&target.fakeTarget)
	close(e.configured)
	caller, ended := serveLive(t, e, "")
	caller.ask(Statement{ID: "1", Op: OpBegin, Text: "BEGIN"})
	caller.statements <- Statement{ID: "2", Op: OpWrite, Text: "w"}
	<-target.reached
	e.closing.Store(true)
	e.endTransactions()
	if rolledBack := target.rollbacks.Load(); rolledBack != 0 {
		t.Errorf("got %d rollbacks while a statement is at the target, want none", rolledBack)
	}
	close(target.wait)
	if answer := <-caller.answers; codeIn(answer) != result.OK || answer.State != StateOpen {
		t.Errorf("got %v in state %d, want success in the open transaction", codeIn(answer), answer.State)
	}
	if code := caller.ask(Statement{ID: "3", Op: OpCommit, Text: "COMMIT"}); code != result.TransactionLost {
		t.Errorf("commit: got %v, want %v", code, result.TransactionLost)
	}
	awaitEnd(t, ended)
	if target.rollbacks.Load() != 1 || target.commits.Load() != 0 {
		t.Errorf("got %d rollbacks and %d commits, want one rollback", target.rollbacks.Load(), target.commits.Load())
	}
}

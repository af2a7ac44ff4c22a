package engine

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/result"
)

// TestStoppingHolderEndsTransactionsOfOthers guards against a planned stop of a holder that open transactions of other
// daemons last until its end, where their commits are cut.
func TestStoppingHolderEndsTransactionsOfOthers(t *testing.T) {
	for _, c := range []struct {
		name       string
		statements []Operation
		// after is the number of statements before the transactions are ended.
		after int
		want  []result.Code
	}{
		{"write next", []Operation{OpBegin, OpWrite, OpWrite, OpRollback}, 2, []result.Code{result.OK, result.OK, result.TransactionLost, result.OK}},
		{"commit next", []Operation{OpBegin, OpWrite, OpCommit, OpBegin, OpWrite}, 2, []result.Code{result.OK, result.OK, result.TransactionLost, result.OK, result.OK}},
		{"rollback next", []Operation{OpBegin, OpWrite, OpRollback, OpBegin, OpWrite}, 2, []result.Code{result.OK, result.OK, result.OK, result.OK, result.OK}},
		{"begun later", []Operation{OpBegin, OpWrite, OpCommit}, 0, []result.Code{result.OK, result.OK, result.OK}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newPinnedWorld(true, 10*time.Second)
			holder := w.network.engines["daemon-1"]
			holder.configuration.IdleTransaction = time.Hour
			caller := w.open("a")
			var got []result.Code
			for i, op := range c.statements {
				if i == c.after {
					holder.EndRelayedTransactions()
					awaitNoRelayed(t, holder)
				}
				got = append(got, w.step(caller, op))
			}
			w.close(caller)
			for i, code := range got {
				if code != c.want[i] {
					t.Errorf("statement %d: got %s, want %s", i+1, code, c.want[i])
				}
			}
			w.failOnBreach(t)
		})
	}
}

// awaitNoRelayed waits until nothing of other daemons holds the stop of a daemon.
func awaitNoRelayed(t *testing.T, holder *Engine) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); holder.relayed.Load() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got %d statements and transactions of other daemons, want none", holder.relayed.Load())
		}
	}
}

// TestStatementInProgressIsAnsweredBeforeItsTransactionEnds guards against a statement that is cut because its
// transaction is ended by the stop of the holder.
func TestStatementInProgressIsAnsweredBeforeItsTransactionEnds(t *testing.T) {
	w := newHeldWrites()
	w.holder.configuration.IdleTransaction = time.Hour
	begun := <-w.send("begin", OpBegin, 0)
	write := w.send("write", OpWrite, begun.Transaction)
	<-w.reached
	w.holder.EndRelayedTransactions()
	close(w.release)
	if r := <-write; r.Signature != "write" {
		t.Errorf("got %+v for the statement in progress, want its reply", r)
	}
	awaitNoRelayed(t, w.holder)
	if r := <-w.send("later", OpCommit, begun.Transaction); result.Code(r.NotRunCode) != result.NotRunNotHolder {
		t.Errorf("got %+v for the commit after the end, want %s", r, result.NotRunNotHolder)
	}
	if r := <-w.send("next", OpBegin, 0); result.Code(r.NotRunCode) != result.NotRunDraining {
		t.Errorf("got %+v for a transaction that begins later, want %s", r, result.NotRunDraining)
	}
	for end := time.Now().Add(10 * time.Second); w.openConnections() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got %d connections in transactions after the end, want none", w.openConnections())
		}
	}
}

func (w *heldWrites) openConnections() int {
	w.target.mu.Lock()
	defer w.target.mu.Unlock()
	return w.target.open
}

// TestStoppingHoldersTellTheStatusOfTheirTargets guards against writes without a proof of leadership while all holders
// of a target stop.
func TestStoppingHoldersTellTheStatusOfTheirTargets(t *testing.T) {
	target := &fakeTarget{exchange: func(_ *fakeConnection, c Command) (Reply, error) {
		if c.Op != OpStatus {
			return Reply{Signature: "s", Position: api.Position{Term: 1, Offset: 1}}, nil
		}
		return Reply{Status: leadership.Status{Role: leadership.RolePrimary, Term: 1}}, nil
	}}
	n, engines := newRelayedEngines(target, 10, scarceLimits, strictRoute)
	holders := map[string]bool{}
	for _, h := range engines[0].groups["g"].holdersOf(engines[0].groups["g"].members["a"]) {
		holders[h.address] = true
		n.engines[h.address].stopping.Store(true)
	}
	full := &fakeTarget{err: &TargetFailure{Kind: FailureTooManyConnections, Code: "TOOMANY"}}
	for _, e := range engines {
		if holders[e.options.Name] {
			continue
		}
		e.Serve(&scriptedCaller{statements: []Statement{{ID: "1", Op: OpWrite, Text: "w"}}}, "d", callers.Identity{})
		g := e.groups["g"]
		g.judgeRank, g.zones = 100, 1
		g.members["a"].control.dialer = full
		if status, err := g.status(g.members["a"], time.Second); err != nil || status.Role != leadership.RolePrimary {
			t.Errorf("%s: got %+v, %v, want the status of the target", e.options.Name, status, err)
		}
	}
}

// TestTransactionsOutliveTheEntriesOfTheirDaemons guards against a transaction or statement that is lost because its
// sender, its holder or all daemons are marked as left, as at the begin of a planned stop.
func TestTransactionsOutliveTheEntriesOfTheirDaemons(t *testing.T) {
	for name, remaining := range map[string][]Daemon{
		"without the holder": {{Name: "daemon-0", Zone: "z", Address: "daemon-0"}},
		"without the sender": {{Name: "daemon-1", Zone: "z", Address: "daemon-1"}},
		"without any":        nil,
	} {
		t.Run(name, func(t *testing.T) {
			w := newPinnedWorld(true, 10*time.Second)
			caller := w.open("a")
			for i, op := range []Operation{OpBegin, OpWrite, OpWrite, OpCommit, OpBegin, OpWrite, OpCommit} {
				if i == 2 {
					for _, e := range w.network.engines {
						e.SetDaemons(remaining)
					}
				}
				if code := w.step(caller, op); code != result.OK {
					t.Errorf("statement %d: got %s, want success", i+1, code)
				}
			}
			w.close(caller)
			w.failOnBreach(t)
		})
	}
}

package engine

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/policy/stopping"
	"github.com/papayacove/papayacove/internal/result"
)

// stopSince puts an engine into a planned stop that began a time ago, and closes sessions.
func stopSince(e *Engine, ago time.Duration) {
	e.plannedStop.Store(&plannedStop{schedule: stopping.ScheduleOf(time.Minute), began: time.Now().Add(-ago)})
	e.stopping.Store(true)
	e.closing.Store(true)
}

// TestStatementsThatArriveDuringAStop guards against statements that begin although they cannot end before the daemon
// does.
func TestStatementsThatArriveDuringAStop(t *testing.T) {
	for _, c := range []struct {
		what string
		ago  time.Duration
		op   Operation
		want result.Code
	}{
		{"a write while sessions are closed", 10 * time.Second, OpWrite, result.OK},
		{"a begin while sessions are closed", 10 * time.Second, OpBegin, result.NotRunDraining},
		{"a read-only begin while sessions are closed", 10 * time.Second, OpBeginReadOnly, result.NotRunDraining},
		{"a write at the end", 59 * time.Second, OpWrite, result.NotRunDraining},
		{"a read at the end", 59 * time.Second, OpRead, result.NotRunDraining},
		{"a session value at the end", 59 * time.Second, OpSet, result.OK},
	} {
		sent := false
		e := newPatientEngine(&fakeTarget{exchange: func(_ *fakeConnection, command Command) (Reply, error) {
			sent = sent || command.ID == "id"
			return Reply{Signature: "s", Position: firstCommit}, nil
		}})
		stopSince(e, c.ago)
		caller := &scriptedCaller{statements: []Statement{{ID: "id", Op: c.op, Text: "t"}}}
		e.Serve(caller, "d", callers.Identity{})
		if len(caller.answers) != 1 || codeIn(caller.answers[0]) != c.want {
			t.Errorf("%s: got answers %+v, want %v", c.what, caller.answers, c.want)
		}
		if want := c.op == OpWrite && c.want == result.OK; sent != want {
			t.Errorf("%s: got sent to the target %t, want %t", c.what, sent, want)
		}
	}
}

// TestWaitForAPrimaryEndsBeforeTheStop guards against a statement that waits until the daemon gives it up.
func TestWaitForAPrimaryEndsBeforeTheStop(t *testing.T) {
	e := newPatientEngine(&fakeTarget{})
	e.groups["g"].primary = ""
	stop := &plannedStop{schedule: stopping.ScheduleOf(time.Minute), began: time.Now()}
	stop.schedule.StartUntil = 50 * time.Millisecond
	e.plannedStop.Store(stop)
	caller := &scriptedCaller{statements: []Statement{{ID: "id", Op: OpWrite, Text: "t"}}}
	ended := make(chan struct{})
	go func() {
		e.Serve(caller, "d", callers.Identity{})
		close(ended)
	}()
	awaitEnd(t, ended)
	if len(caller.answers) != 1 || !codeIn(caller.answers[0]).IsNotRun() {
		t.Errorf("got answers %+v, want one that says that nothing ran", caller.answers)
	}
}

// TestStopWaitsForTheNextStatementOfAnOperation guards against a session that a stop closes after its opening, or after
// a statement that sets a value for the next one.
func TestStopWaitsForTheNextStatementOfAnOperation(t *testing.T) {
	e := newTestEngine(&fakeTarget{})
	close(e.configured)
	stopSince(e, 10*time.Second)
	caller, ended := serveLive(t, e, "")
	s := e.openSessions()[0]
	has := func(flag *bool) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return *flag
	}
	for _, next := range []Statement{{ID: "first", Op: OpSet, Name: "zone", Argument: "1"}, {ID: "second", Op: OpWrite, Text: "w"}} {
		awaitTrue(t, "the session waits for a statement", func() bool { return !has(&s.busy) })
		e.CloseIdleSessions()
		if has(&s.ending) {
			t.Fatalf("before the %s statement: got a session that ends, want it kept", next.ID)
		}
		if code := caller.ask(next); code != result.OK {
			t.Errorf("%s statement: got %v, want success", next.ID, code)
		}
	}
	awaitEnd(t, ended)
}

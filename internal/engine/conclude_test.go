package engine

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/policy/stopping"
	"github.com/papayacove/papayacove/internal/result"
)

// heldTarget keeps the commands of callers, and records their ids, until it is released. Then it loses the connections.
type heldTarget struct {
	fakeTarget
	release chan struct{}
	mu      sync.Mutex
	ids     map[string]bool
}

func newHeldTarget() *heldTarget {
	h := &heldTarget{release: make(chan struct{}), ids: map[string]bool{}}
	h.exchange = func(_ *fakeConnection, c Command) (Reply, error) {
		h.mu.Lock()
		h.ids[c.ID] = true
		h.mu.Unlock()
		switch c.Op {
		case OpBegin, OpBeginReadOnly:
			return Reply{Signature: "s", Position: firstCommit, State: StateOpen}, nil
		case OpRollback:
			return Reply{Signature: "s", Position: firstCommit}, nil
		}
		if c.Text == "at once" {
			return Reply{Signature: "s", Position: firstCommit, State: StateOpen}, nil
		}
		<-h.release
		return Reply{}, errLost
	}
	return h
}

// has reports whether one of the ids has arrived.
func (h *heldTarget) has(ids ...string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(ids, func(id string) bool { return h.ids[id] })
}

// newPatientEngine returns a test engine whose statements wait for long.
func newPatientEngine(target *fakeTarget) *Engine {
	e := newTestEngine(target)
	route := e.configuration.Routes["d"]
	route.Timeout, route.Objective = time.Minute, time.Minute
	e.configuration.Routes["d"] = route
	close(e.configured)
	return e
}

// finishNow brings a planned stop to its end.
func finishNow(e *Engine) {
	over, cancel := context.WithCancel(context.Background())
	cancel()
	e.Drain(over, stopping.ScheduleOf(time.Minute))
	e.FinishSessions(over)
}

// TestEndOfStopAnswersTheStatementAtItsTarget guards against a connection that is closed at the end of the grace period
// while its caller waits for an answer.
func TestEndOfStopAnswersTheStatementAtItsTarget(t *testing.T) {
	for _, c := range []struct {
		name   string
		before []Statement
		last   Statement
		want   result.Code
	}{
		{"single read", nil, Statement{Op: OpRead, Text: "r"}, result.StatementTimeout},
		{"single write", nil, Statement{Op: OpWrite, Text: "w"}, result.OutcomeUnknown},
		{"write in a transaction", []Statement{{Op: OpBegin}}, Statement{Op: OpWrite, Text: "w"}, result.TransactionLost},
		{"commit of a write", []Statement{{Op: OpBegin}, {Op: OpWrite, Text: "at once"}}, Statement{Op: OpCommit}, result.OutcomeUnknown},
		{"commit of a read", []Statement{{Op: OpBegin}, {Op: OpRead, Text: "at once"}}, Statement{Op: OpCommit}, result.TransactionLost},
	} {
		target := newHeldTarget()
		e := newPatientEngine(&target.fakeTarget)
		caller, ended := serveLive(t, e, "")
		for _, s := range c.before {
			if code := caller.ask(s); code != result.OK {
				t.Fatalf("%s: got %v before the last statement, want success", c.name, code)
			}
		}
		c.last.ID = "last"
		caller.statements <- c.last
		awaitTrue(t, "the statement is at its target", func() bool { return target.has("last") })
		finishNow(e)
		select {
		case <-caller.closed:
		default:
			t.Errorf("%s: the connection is open after the end of the stop", c.name)
		}
		if len(caller.answers) != 1 {
			t.Fatalf("%s: got %d answers, want one", c.name, len(caller.answers))
		}
		if answer := <-caller.answers; codeIn(answer) != c.want || answer.State != StateIdle {
			t.Errorf("%s: got %v in state %d, want %v in the idle state", c.name, codeIn(answer), answer.State, c.want)
		}
		close(target.release)
		awaitEnd(t, ended)
		if len(caller.answers) != 0 {
			t.Errorf("%s: got another answer after the final one", c.name)
		}
	}
}

// TestStatementToldAsNotRunIsNotSentLater guards against a final answer that becomes false when a connection to a
// target gets free.
func TestStatementToldAsNotRunIsNotSentLater(t *testing.T) {
	for _, op := range []Operation{OpRead, OpWrite} {
		target := newHeldTarget()
		e := newPatientEngine(&target.fakeTarget)
		var callers []*liveCaller
		var ends []chan struct{}
		for range 12 {
			caller, ended := serveLive(t, e, "")
			callers, ends = append(callers, caller), append(ends, ended)
		}
		ids := map[*liveCaller]string{}
		for i, caller := range callers {
			ids[caller] = string(rune('a' + i))
			caller.statements <- Statement{ID: ids[caller], Op: op, Text: "t"}
		}
		awaitTrue(t, "a statement is at the target", func() bool { return target.has(slices.Collect(maps.Values(ids))...) })
		finishNow(e)
		answers := map[*liveCaller]result.Code{}
		for _, caller := range callers {
			answers[caller] = codeIn(<-caller.answers)
		}
		close(target.release)
		for _, ended := range ends {
			awaitEnd(t, ended)
		}
		notRun := 0
		for caller, code := range answers {
			if code.IsNotRun() {
				notRun++
			}
			if sent := target.has(ids[caller]); sent == code.IsNotRun() {
				t.Errorf("%s %s: got %v, and sent to the target: %t", op, ids[caller], code, sent)
			}
		}
		if notRun == 0 {
			t.Errorf("%s: got no statement that had to wait, want some", op)
		}
	}
}

// TestEndOfStopDoesNotDenyACommitThatAwaitsItsProof guards against a promise that nothing ran, after the target has
// acknowledged the write.
func TestEndOfStopDoesNotDenyACommitThatAwaitsItsProof(t *testing.T) {
	target := newOpenTransactionsTarget()
	e := newPatientEngine(&target.fakeTarget)
	e.groups["g"].provenUntil = 0
	caller, ended := serveLive(t, e, "")
	caller.statements <- Statement{ID: "w", Op: OpWrite, Text: "w"}
	<-target.reached
	s := e.openSessions()[0]
	awaitTrue(t, "the target has answered", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.progress.step != stepSent
	})
	finishNow(e)
	if code := codeIn(<-caller.answers); code != result.OutcomeUnknown {
		t.Errorf("got %v, want %v", code, result.OutcomeUnknown)
	}
	awaitEnd(t, ended)
}

// deafCaller takes no answer until its connection is closed.
type deafCaller struct {
	liveCaller
	answering chan struct{}
}

func (c *deafCaller) Answer(Answer) error {
	close(c.answering)
	<-c.closed
	return errLost
}

// TestCallerThatTakesNoAnswerDoesNotHoldUpTheStop guards against a stop that lasts until the process is killed.
func TestCallerThatTakesNoAnswerDoesNotHoldUpTheStop(t *testing.T) {
	for _, op := range []Operation{OpSet, OpWrite} {
		target := newHeldTarget()
		e := newPatientEngine(&target.fakeTarget)
		caller := &deafCaller{answering: make(chan struct{})}
		caller.statements, caller.interrupted, caller.closed = make(chan Statement), make(chan struct{}, 1), make(chan struct{})
		ended := make(chan struct{})
		go func() {
			e.Serve(caller, "d", callers.Identity{})
			close(ended)
		}()
		caller.statements <- Statement{ID: "id", Op: op, Text: "t"}
		if op == OpSet {
			<-caller.answering
		} else {
			awaitTrue(t, "the statement is at its target", func() bool { return target.has("id") })
		}
		over, cancel := context.WithCancel(context.Background())
		cancel()
		e.Drain(over, stopping.ScheduleOf(100*time.Millisecond))
		e.FinishSessions(over)
		<-caller.closed
		close(target.release)
		awaitEnd(t, ended)
	}
}

// slowCaller takes a moment for an answer, which is lost if the connection is closed meanwhile.
type slowCaller struct{ liveCaller }

func (c *slowCaller) Answer(a Answer) error {
	select {
	case <-c.closed:
		return errLost
	case <-time.After(10 * time.Millisecond):
		return c.liveCaller.Answer(a)
	}
}

// TestStopThatRunsLateSendsItsFinalAnswers guards against connections that a busy machine closes before the answers are
// sent.
func TestStopThatRunsLateSendsItsFinalAnswers(t *testing.T) {
	target := newHeldTarget()
	e := newPatientEngine(&target.fakeTarget)
	caller := &slowCaller{}
	caller.statements, caller.answers = make(chan Statement), make(chan Answer, 1)
	caller.interrupted, caller.closed = make(chan struct{}, 1), make(chan struct{})
	ended := make(chan struct{})
	go func() {
		e.Serve(caller, "d", callers.Identity{})
		close(ended)
	}()
	caller.statements <- Statement{ID: "id", Op: OpWrite, Text: "t"}
	awaitTrue(t, "the statement is at its target", func() bool { return target.has("id") })
	over, cancel := context.WithCancel(context.Background())
	cancel()
	e.Drain(over, stopping.Schedule{Conclude: -100 * time.Millisecond})
	e.FinishSessions(over)
	close(target.release)
	awaitEnd(t, ended)
	if len(caller.answers) != 1 {
		t.Errorf("got %d answers, want one", len(caller.answers))
	}
}

// TestFinalAnswersEndTheWaitsOfOtherDaemons guards against statements of other daemons that wait here until there is no
// time left to answer them.
func TestFinalAnswersEndTheWaitsOfOtherDaemons(t *testing.T) {
	e := newPatientEngine(&fakeTarget{})
	if e.relayWaits.Err() != nil {
		t.Fatal("got waits that have ended before the stop, want them to go on")
	}
	finishNow(e)
	if e.relayWaits.Err() == nil {
		t.Error("got waits that go on after the final answers, want them ended")
	}
}

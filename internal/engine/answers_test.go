package engine

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/result"
)

// scriptedCaller sends the given statements and records the answers.
type scriptedCaller struct {
	statements []Statement
	answers    []Answer
}

func (c *scriptedCaller) Next(time.Time) (Statement, error) {
	if len(c.answers) == len(c.statements) {
		return Statement{}, io.EOF
	}
	return c.statements[len(c.answers)], nil
}

func (c *scriptedCaller) Answer(a Answer) error {
	c.answers = append(c.answers, a)
	return nil
}

func (c *scriptedCaller) NextArrived() (Statement, error) { return c.Next(time.Time{}) }

func (c *scriptedCaller) Interrupt() {}

func (c *scriptedCaller) Close() error { return nil }

// randomTarget runs commands with random outcomes, and records their effects.
type randomTarget struct {
	t *rapid.T
	// mu guards the rest: pools close lost connections in goroutines of their own.
	mu     sync.Mutex
	offset uint64
	// committed counts how often each write was committed.
	committed map[string]int
	// open holds the writes of the open transactions by connection.
	open map[*fakeConnection][]string
}

var errLost = errors.New("connection lost")

// exchange draws whether a command runs, and whether its reply arrives.
func (d *randomTarget) exchange(conn *fakeConnection, command Command) (Reply, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch command.Op {
	case OpSet, OpPrepare, OpDiscard:
		return Reply{}, nil
	}
	outcome := rapid.SampledFrom([]string{"ok", "ok", "ok", "ok", "busy", "read only", "unknown", "lost before", "lost after"}).Draw(d.t, command.Op.String())
	state := d.state(conn)
	switch outcome {
	case "busy":
		return d.refuse(FailureBusy, state), nil
	case "read only":
		return d.refuse(FailureReadOnly, state), nil
	case "unknown":
		if command.Op == OpExecute {
			return d.refuse(FailureUnknownStatement, state), nil
		}
	case "lost before":
		delete(d.open, conn)
		return Reply{}, errLost
	}
	d.run(conn, command)
	if outcome == "lost after" {
		delete(d.open, conn)
		return Reply{}, errLost
	}
	return Reply{Signature: "s", State: d.state(conn), Position: api.Position{Term: 1, Offset: d.offset}}, nil
}

// forget rolls back what is open on a connection that is closed.
func (d *randomTarget) forget(conn *fakeConnection) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.open, conn)
}

func (d *randomTarget) state(conn *fakeConnection) TransactionState {
	if _, open := d.open[conn]; open {
		return StateOpen
	}
	return StateIdle
}

// refuse replies that nothing ran. A transaction that is open fails with it.
func (d *randomTarget) refuse(kind FailureKind, state TransactionState) Reply {
	if state == StateOpen {
		state = StateFailed
	}
	return Reply{Failure: &TargetFailure{Kind: kind}, State: state, Position: api.Position{Term: 1, Offset: d.offset}}
}

func (d *randomTarget) run(conn *fakeConnection, command Command) {
	writes, open := d.open[conn]
	switch command.Op {
	case OpBegin, OpBeginReadOnly:
		d.open[conn] = nil
		return
	case OpRollback:
		delete(d.open, conn)
		return
	case OpCommit:
		for _, id := range writes {
			d.committed[id]++
		}
		d.offset++
		delete(d.open, conn)
		return
	}
	if command.Op != OpWrite && command.Op != OpExecute {
		return
	}
	if open {
		d.open[conn] = append(writes, command.ID)
		return
	}
	d.offset++
	d.committed[command.ID]++
}

// newTestEngine returns an engine whose group has one target, which is the primary.
func newTestEngine(target *fakeTarget) *Engine {
	e := New(Options{Zone: "z", Dialer: target, DrainTimeout: time.Hour})
	e.Close()
	g := newGroup("g", e.options, func() bool { return true })
	e.use(Configuration{Version: 1, Routes: map[string]Route{
		"d": {Name: "r", Database: "d", Group: "g", Consistency: ConsistencyStrict, Timeout: 50 * time.Millisecond, Objective: 20 * time.Millisecond},
	}}, g)
	g.setLimits(GroupLimits{MaxConnections: 4, SyncReplicas: 1}, daemonsNamed(1))
	g.setTarget(Target{Name: "a", Group: "g", Slots: 2, Zone: "z"})
	now := clock.SinceBoot()
	g.applyStatusRound(map[string]leadership.Status{"a": leads(1, 0, now)}, now)
	g.addReceiver()
	g.provenUntil = now + time.Hour
	return e
}

// use sets the configuration and adds a group, whose goroutines do not run. A goroutine of the engine that Close has
// told to end may still read both.
func (e *Engine) use(c Configuration, g *group) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.configuration, e.isConfigured = c, true
	e.groups[g.name] = g
}

// TestAnswersMatchEffects runs sessions against a target that refuses, loses commands and loses replies at any
// time: a write takes effect at most once, one answered with success exactly once, and one answered with the
// guarantee that nothing ran never.
func TestAnswersMatchEffects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := &randomTarget{t: t, committed: map[string]int{}, open: map[*fakeConnection][]string{}}
		target := &fakeTarget{exchange: random.exchange}
		caller := &scriptedCaller{statements: drawStatements(t)}
		newTestEngine(target).Serve(caller, "d", callers.Identity{})
		if len(caller.answers) != len(caller.statements) {
			t.Fatalf("got %d answers, want one to each of %d statements", len(caller.answers), len(caller.statements))
		}
		checkAnswers(t, caller, random)
	})
}

// drawStatements returns a random sequence of single statements and transactions.
func drawStatements(t *rapid.T) []Statement {
	statements := []Statement{{ID: "p", Op: OpPrepare, Name: "w", Prepares: OpWrite, Argument: "w"}}
	add := func(op Operation) {
		id := fmt.Sprintf("id-%d", len(statements))
		s := Statement{ID: id, Op: op, Text: id}
		if op == OpExecute {
			s.Name, s.Text = "w", ""
		}
		statements = append(statements, s)
	}
	for range rapid.IntRange(1, 6).Draw(t, "operations") {
		single := rapid.SampledFrom([]Operation{OpRead, OpWrite, OpExecute, OpBegin}).Draw(t, "operation")
		add(single)
		if single != OpBegin {
			continue
		}
		for range rapid.IntRange(0, 3).Draw(t, "inside") {
			add(rapid.SampledFrom([]Operation{OpRead, OpWrite, OpExecute}).Draw(t, "statement"))
		}
		add(rapid.SampledFrom([]Operation{OpCommit, OpCommit, OpRollback}).Draw(t, "end"))
	}
	return statements
}

// checkAnswers compares the answers to the caller with what took effect.
func checkAnswers(t *rapid.T, caller *scriptedCaller, random *randomTarget) {
	var inside []string
	inTransaction := false
	for i, s := range caller.statements {
		a := caller.answers[i]
		isWrite := s.Op == OpWrite || s.Op == OpExecute
		if isWrite && random.committed[s.ID] > 1 {
			t.Fatalf("%s took effect %d times, want at most once", s.ID, random.committed[s.ID])
		}
		switch {
		case s.Op == OpBegin:
			inTransaction, inside = true, nil
		case s.Op == OpCommit || s.Op == OpRollback:
			checkEnd(t, s, a, inside, random)
			inTransaction = false
		case inTransaction && isWrite && a.Refusal == nil:
			inside = append(inside, s.ID)
		case !inTransaction && isWrite:
			checkWrite(t, s, a, random.committed[s.ID])
		}
	}
}

func checkWrite(t *rapid.T, s Statement, a Answer, committed int) {
	if a.Refusal == nil && committed != 1 || a.Refusal != nil && a.Refusal.Code.IsNotRun() && committed != 0 {
		t.Fatalf("%s: refusal %+v does not match the effect: committed %d times", s.ID, a.Refusal, committed)
	}
}

func checkEnd(t *rapid.T, s Statement, a Answer, inside []string, random *randomTarget) {
	notKept := s.Op == OpRollback || a.Refusal != nil && (a.Refusal.Code.IsNotRun() || a.Refusal.Code == 3002)
	for _, id := range inside {
		switch committed := random.committed[id]; {
		case notKept && committed != 0:
			t.Fatalf("%s took effect although the answer guaranteed that nothing is kept: refusal %+v", id, a.Refusal)
		case s.Op == OpCommit && a.Refusal == nil && committed != 1:
			t.Fatalf("%s was committed and took effect %d times, want once", id, committed)
		}
	}
}

// idleCaller sends the given statements and lets the transaction expire before one of them.
type idleCaller struct {
	scriptedCaller
	idleBefore int
	expired    bool
}

func (c *idleCaller) Next(deadline time.Time) (Statement, error) {
	if len(c.answers) == c.idleBefore && !c.expired {
		c.expired = true
		return Statement{}, ErrIdle
	}
	return c.scriptedCaller.Next(deadline)
}

// TestExpiredTransactionIsReportedOnce lets a transaction expire: the next statement must be answered with the
// guarantee that nothing is kept, and the following ones with a request to end the transaction.
func TestExpiredTransactionIsReportedOnce(t *testing.T) {
	for _, op := range []Operation{OpRead, OpWrite, OpSet} {
		target := &fakeTarget{exchange: func(_ *fakeConnection, command Command) (Reply, error) {
			state := StateOpen
			if command.Op == OpRollback {
				state = StateIdle
			}
			return Reply{State: state, Signature: "s", Position: api.Position{Term: 1}}, nil
		}}
		caller := &idleCaller{idleBefore: 2, scriptedCaller: scriptedCaller{statements: []Statement{
			{ID: "1", Op: OpBegin}, {ID: "2", Op: OpWrite, Text: "w"}, {ID: "3", Op: op, Text: "x"}, {ID: "4", Op: OpRead, Text: "r"}, {ID: "5", Op: OpRollback},
		}}}
		newTestEngine(target).Serve(caller, "d", callers.Identity{})
		codes := make([]result.Code, len(caller.answers))
		for i, a := range caller.answers {
			if a.Refusal != nil {
				codes[i] = a.Refusal.Code
			}
		}
		want := []result.Code{0, 0, result.TransactionLost, result.ProtocolViolation, 0}
		if !slices.Equal(codes, want) {
			t.Errorf("%s: codes %v, want %v", op, codes, want)
		}
	}
}

// TestFullPrimaryIsNotDialedAgainAtOnce sends statements that only the primary serves while it accepts no
// connection. Connection attempts must be separated by delays.
func TestFullPrimaryIsNotDialedAgainAtOnce(t *testing.T) {
	for name, statements := range map[string][]Statement{
		"read":        {{ID: "1", Op: OpRead, Text: "r"}},
		"write":       {{ID: "1", Op: OpWrite, Text: "w"}},
		"transaction": {{ID: "1", Op: OpBegin}, {ID: "2", Op: OpRead, Text: "r"}, {ID: "3", Op: OpRollback}},
	} {
		target := &fakeTarget{err: &TargetFailure{Kind: FailureTooManyConnections, Code: "TOOMANY"}}
		caller := &scriptedCaller{statements: statements}
		e := newTestEngine(target)
		route := e.configuration.Routes["d"]
		route.Timeout, route.Objective = 5*maxRetryDelay, 5*maxRetryDelay
		e.configuration.Routes["d"] = route
		e.Serve(caller, "d", callers.Identity{})
		// A statement may start within lateSharePercent of its time limit, and each retry is delayed by at least
		// half of maxRetryDelay.
		if most := 2*5*lateSharePercent/100 + 1; target.dialed > most {
			t.Errorf("%s: %d connection attempts, want at most %d", name, target.dialed, most)
		}
		refused := caller.answers[min(1, len(caller.answers)-1)].Refusal
		if refused == nil || refused.Code != result.NotRunNoSlot {
			t.Errorf("%s: got refusal %+v, want NotRunNoSlot", name, refused)
		}
	}
}

package engine

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayacove/papayacove/internal/policy/callers"
)

// statefulTarget keeps session values and prepared statements for each connection, as targets do.
type statefulTarget struct {
	*fakeTarget
	connections map[*fakeConnection]*connectionState
	// forgets is true if the next prepared statement that is executed is unknown, revertsValues if a rollback takes back the
	// values that were set in the transaction.
	forgets, revertsValues bool
	// ran is the state in which the last statement of a caller ran.
	ran ranIn
}

type connectionState struct {
	values, before map[string]string
	shapes         map[string]string
	open           TransactionState
}

type ranIn struct {
	id     string
	values map[string]string
	shape  string
}

func newStatefulTarget() *statefulTarget {
	t := &statefulTarget{fakeTarget: &fakeTarget{}, connections: make(map[*fakeConnection]*connectionState)}
	t.exchange = t.run
	return t
}

func (t *statefulTarget) run(c *fakeConnection, command Command) (Reply, error) {
	s := t.connections[c]
	if s == nil {
		s = &connectionState{values: map[string]string{}, shapes: map[string]string{}}
		t.connections[c] = s
	}
	if s.open == StateFailed && command.Op != OpRollback {
		return Reply{Failure: &TargetFailure{Kind: FailureRejected, Code: "MALFORMED"}, State: s.open}, nil
	}
	switch command.Op {
	case OpBegin, OpBeginReadOnly:
		s.open, s.before = StateOpen, maps.Clone(s.values)
	case OpCommit:
		s.open = StateIdle
	case OpRollback:
		s.open = StateIdle
		if t.revertsValues {
			s.values = s.before
		}
	case OpSet:
		s.values[command.Name] = command.Argument
	case OpPrepare:
		s.shapes[command.Name] = command.Argument
	case OpDiscard:
		clear(s.values)
		clear(s.shapes)
	case OpExecute:
		return t.execute(s, command)
	case OpRead, OpWrite:
		t.ran = ranIn{id: command.ID, values: maps.Clone(s.values)}
	}
	return Reply{Signature: "s", Position: firstCommit, State: s.open}, nil
}

func (t *statefulTarget) execute(s *connectionState, command Command) (Reply, error) {
	if t.forgets {
		delete(s.shapes, command.Name)
		t.forgets = false
	}
	shape, ok := s.shapes[command.Name]
	if !ok {
		if s.open == StateOpen {
			s.open = StateFailed
		}
		return Reply{Failure: &TargetFailure{Kind: FailureUnknownStatement, Code: "NOSTMT"}, State: s.open}, nil
	}
	t.ran = ranIn{id: command.ID, values: maps.Clone(s.values), shape: shape}
	return Reply{Signature: "s", Position: firstCommit, State: s.open}, nil
}

// modelSession is a session with what was acknowledged to its caller.
type modelSession struct {
	*session
	values, shapes map[string]string
}

func newModelSession(e *Engine) *modelSession {
	return &modelSession{newSession(e, &scriptedCaller{}, "d", "s", callers.Identity{}), map[string]string{}, map[string]string{}}
}

// step serves a statement and fails if the target ran it in another state than the acknowledged one, or if the caller is told that
// a statement that it prepared is unknown.
func (m *modelSession) step(t interface {
	Errorf(format string, args ...any)
}, target *statefulTarget, statement Statement) {
	target.ran = ranIn{}
	answer := m.serve(statement, time.Now())
	if answer.Refusal != nil {
		if answer.Refusal.Target != nil && answer.Refusal.Target.Code == "NOSTMT" {
			t.Errorf("%s: the caller is told that its prepared statement %q is unknown", statement.ID, statement.Name)
		}
		return
	}
	switch statement.Op {
	case OpSet:
		m.values[statement.Name] = statement.Argument
	case OpPrepare:
		m.shapes[statement.Name] = statement.Argument
	case OpRead, OpWrite, OpExecute:
		if target.ran.id != statement.ID || !maps.Equal(target.ran.values, m.values) || target.ran.shape != m.shapes[statement.Name] {
			t.Errorf("%s: the target ran %+v, want values %v and shape %q", statement.ID, target.ran, m.values, m.shapes[statement.Name])
		}
	}
}

// drawStatement draws a statement of a session. Executed names are prepared ones.
func (m *modelSession) drawStatement(t *rapid.T, id string) Statement {
	text := rapid.SampledFrom([]string{"a", "b", "a\x00b", "b\x00a\x00b", "1:a", "", "x"})
	name := rapid.SampledFrom([]string{"s1", "s2", "a", "c\x00a"}).Draw(t, "name")
	statement := Statement{ID: id, Op: rapid.SampledFrom([]Operation{
		OpSet, OpSet, OpPrepare, OpExecute, OpExecute, OpRead, OpWrite, OpBegin, OpBeginReadOnly, OpCommit, OpRollback,
	}).Draw(t, "operation")}
	switch statement.Op {
	case OpSet:
		statement.Name, statement.Argument = name, text.Draw(t, "value")
	case OpPrepare:
		statement.Name, statement.Argument, statement.Prepares = name, text.Draw(t, "shape"), OpRead
	case OpExecute:
		if _, ok := m.shapes[name]; !ok {
			return Statement{ID: id, Op: OpRead, Text: "READ x"}
		}
		statement.Name, statement.Argument = name, "x"
	}
	return statement
}

// TestStatementsRunInTheStateOfTheirSession runs sessions that share connections to a target that forgets prepared statements now
// and then, and takes values back at a rollback or not.
func TestStatementsRunInTheStateOfTheirSession(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := newStatefulTarget()
		target.revertsValues = rapid.Bool().Draw(t, "reverts values")
		e := newTestEngine(target.fakeTarget)
		sessions := []*modelSession{newModelSession(e), newModelSession(e), newModelSession(e)}
		for i := range rapid.IntRange(1, 40).Draw(t, "statements") {
			m := sessions[rapid.IntRange(0, len(sessions)-1).Draw(t, "session")]
			target.forgets = rapid.IntRange(0, 9).Draw(t, "forgets") == 0
			m.step(t, target, m.drawStatement(t, fmt.Sprint("q", i)))
		}
	})
}

// TestValuesAreToldApart gives two sessions values that had the same encoding while names and values were joined with NUL.
func TestValuesAreToldApart(t *testing.T) {
	target := newStatefulTarget()
	e := newTestEngine(target.fakeTarget)
	for i, values := range []map[string]string{{"a": "b\x00c\x00d"}, {"a": "b", "c": "d"}} {
		m := newModelSession(e)
		for name, value := range values {
			m.step(t, target, Statement{ID: "set", Op: OpSet, Name: name, Argument: value})
		}
		m.step(t, target, Statement{ID: fmt.Sprint("read", i), Op: OpRead, Text: "READ x"})
	}
}

package engine

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/stopping"
)

// logged returns the entries of an event.
func logged(hook *logtest.Hook, event string) []*logrus.Entry {
	var entries []*logrus.Entry
	for _, entry := range hook.AllEntries() {
		if entry.Message == event {
			entries = append(entries, entry)
		}
	}
	return entries
}

// TestSessionCutNamesTheStatement guards against a line of a session that was cut which does not tell what was cut.
func TestSessionCutNamesTheStatement(t *testing.T) {
	hook := logtest.NewGlobal()
	defer logrus.StandardLogger().ReplaceHooks(make(logrus.LevelHooks))
	reached, release := make(chan struct{}), make(chan struct{})
	target := &fakeTarget{exchange: func(_ *fakeConnection, c Command) (Reply, error) {
		if c.Op != OpWrite {
			return Reply{Signature: "s", Position: firstCommit, State: StateOpen}, nil
		}
		close(reached)
		<-release
		return Reply{}, errLost
	}}
	e := newTestEngine(target)
	close(e.configured)
	caller, ended := serveLive(t, e, "")
	caller.ask(Statement{ID: "first", Op: OpBegin, Text: "BEGIN"})
	caller.statements <- Statement{ID: "second", Op: OpWrite, Text: "w"}
	<-reached
	over, cancel := context.WithCancel(context.Background())
	cancel()
	e.Drain(over, stopping.ScheduleOf(time.Second))
	e.FinishSessions(over)
	close(release)
	<-ended
	cuts := logged(hook, logevent.SessionCut)
	if len(cuts) != 1 {
		t.Fatalf("got %d lines of sessions that were cut, want 1", len(cuts))
	}
	for field, want := range map[string]string{
		logfield.Request: "second", logfield.Operation: "write", logfield.Step: "sent", logfield.Target: "a", logfield.InTransaction: "true",
	} {
		if got := fmt.Sprint(cuts[0].Data[field]); got != want {
			t.Errorf("got %s %q, want %q", field, got, want)
		}
	}
	for _, field := range []string{logfield.Elapsed, logfield.SinceStop} {
		if _, ok := cuts[0].Data[field].(time.Duration); !ok {
			t.Errorf("got %s %v, want a duration", field, cuts[0].Data[field])
		}
	}
}

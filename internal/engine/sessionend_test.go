package engine

import (
	"context"
	"sync"
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
	target := &fakeTarget{exchange: func(*fakeConnection, Command) (Reply, error) { return Reply{Signature: "s"}, nil }}
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

package engine

import (
	"testing"

	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/result"
)

// TestEndOfStopAnswersStatementsBehindTheOneInProgress guards against statements that have arrived and are dropped
// together with the connection of the statement before them.
func TestEndOfStopAnswersStatementsBehindTheOneInProgress(t *testing.T) {
	target := newHeldTarget()
	e := newPatientEngine(&target.fakeTarget)
	caller := &liveCaller{statements: make(chan Statement, 3), answers: make(chan Answer, 100), interrupted: make(chan struct{}, 1), closed: make(chan struct{})}
	for _, id := range []string{"first", "second", "third"} {
		caller.statements <- Statement{ID: id, Op: OpWrite, Text: "w"}
	}
	ended := make(chan struct{})
	go func() {
		e.Serve(caller, "d", callers.Identity{})
		close(ended)
	}()
	awaitTrue(t, "the first statement is at its target", func() bool { return target.has("first") })
	finishNow(e)
	<-caller.closed
	close(target.release)
	awaitEnd(t, ended)
	want := []result.Code{result.OutcomeUnknown, result.NotRunDraining, result.NotRunDraining}
	if len(caller.answers) != len(want) {
		t.Fatalf("got %d answers, want %d", len(caller.answers), len(want))
	}
	for i, code := range want {
		if got := codeIn(<-caller.answers); got != code {
			t.Errorf("statement %d: got %v, want %v", i+1, got, code)
		}
	}
	if target.has("second", "third") {
		t.Error("a statement that was refused as not run was sent to the target")
	}
}

package gate

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/standin/database"
)

// releaseLimit is the time in which callers of a replaced silent primary must be answered.
const releaseLimit = time.Second

// silence cuts the primary off and records another one.
func (g *testGroup) silence() {
	g.targets["a"].SetKnobs(database.Knobs{Cut: true})
}

func (g *testGroup) replace() {
	g.terms.Observe(api.GroupTerm{Group: "g", Term: 2, Primary: "b", Start: api.Position{Term: 2}})
}

func TestWriteAtSilentPrimaryEndsWhenItIsReplaced(t *testing.T) {
	g := startTestGroup(t)
	g.run(t, "a", "s1", "CREATE TABLE entries (entry text)", 0)
	g.silence()
	answered := make(chan *api.ExecuteReply, 1)
	go func() { answered <- g.run(t, "a", "s1", "INSERT INTO entries VALUES ('x')", 0) }()
	time.Sleep(50 * time.Millisecond)
	g.replace()
	select {
	case reply := <-answered:
		if result.Code(reply.Code) != result.OutcomeUnknown {
			t.Errorf("reply = %d %s, want outcome_unknown", reply.Code, reply.Reason)
		}
	case <-time.After(releaseLimit):
		t.Fatal("the caller of a replaced primary still waits")
	}
}

func TestTransactionAtSilentPrimaryEndsWhenItIsReplaced(t *testing.T) {
	g := startTestGroup(t)
	begun := g.run(t, "a", "s1", "BEGIN", 0)
	if begun.TransactionStatus != "T" {
		t.Fatalf("begin = %+v", begun)
	}
	transaction := g.next
	g.silence()
	g.replace()
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	reply := g.run(t, "a", "s1", "COMMIT", transaction)
	if result.Code(reply.Code) != result.TransactionLost {
		t.Errorf("reply = %d %s, want transaction_lost", reply.Code, reply.Reason)
	}
	if took := time.Since(began); took > releaseLimit {
		t.Errorf("answered after %v", took)
	}
}

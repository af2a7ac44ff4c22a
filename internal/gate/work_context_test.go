package gate

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/standin/database"
)

// releaseLimit is the time in which callers of a replaced unresponsive primary must be answered.
const releaseLimit = time.Second

// partitionPrimary partitions the primary from the network; its connections stay open.
func (g *testGroup) partitionPrimary() {
	g.targets["a"].SetFaults(database.Faults{Partitioned: true})
}

// recordNewPrimary records b as the primary of term 2.
func (g *testGroup) recordNewPrimary() {
	g.terms.Observe(api.GroupTerm{Group: "g", Term: 2, Primary: "b", Start: api.Position{Term: 2}})
}

func TestWriteAtUnresponsivePrimaryEndsWhenItIsReplaced(t *testing.T) {
	g := startTestGroup(t)
	g.run(t, "a", "s1", "CREATE TABLE entries (entry text)", 0)
	g.partitionPrimary()
	answered := make(chan *api.ExecuteReply, 1)
	go func() { answered <- g.run(t, "a", "s1", "INSERT INTO entries VALUES ('x')", 0) }()
	time.Sleep(50 * time.Millisecond)
	g.recordNewPrimary()
	select {
	case reply := <-answered:
		if result.Code(reply.Code) != result.OutcomeUnknown {
			t.Errorf("reply: got %d %s, want outcome_unknown", reply.Code, reply.Reason)
		}
	case <-time.After(releaseLimit):
		t.Fatal("write at a replaced primary: got no reply within releaseLimit, want outcome_unknown")
	}
}

func TestTransactionAtUnresponsivePrimaryEndsWhenItIsReplaced(t *testing.T) {
	g := startTestGroup(t)
	begun := g.run(t, "a", "s1", "BEGIN", 0)
	if begun.TransactionStatus != "T" {
		t.Fatalf("begin: got %+v, want transaction status T", begun)
	}
	transaction := g.next
	g.partitionPrimary()
	g.recordNewPrimary()
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	reply := g.run(t, "a", "s1", "COMMIT", transaction)
	if result.Code(reply.Code) != result.TransactionLost {
		t.Errorf("reply: got %d %s, want transaction_lost", reply.Code, reply.Reason)
	}
	if took := time.Since(began); took > releaseLimit {
		t.Errorf("COMMIT at a replaced primary: got a reply after %v, want it within releaseLimit", took)
	}
}

package gate

import (
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"

	"github.com/papayacove/papayacove/internal/result"
)

// Guards against a transaction that stays open until the idle limit: a daemon that resumes after a pause may read the
// release of a batch before the batch, and the batch then began a transaction that nobody ended.
func TestReleasedBatchDoesNotStart(t *testing.T) {
	g := startTestGroup(t)
	if reply := g.run(t, "a", "d/1", "CREATE TABLE log (entry text)", 0); reply.Code != 0 {
		t.Fatalf("create: got code %d %s, want 0", reply.Code, reply.Reason)
	}
	held, _ := g.manager.gate("a")
	held.Release("d/1", g.next+1)
	reply := g.run(t, "a", "d/1", "BEGIN", 0)
	if code := result.Code(reply.Code); code != result.NotRunDeadline {
		t.Errorf("batch after its release: got code %v, want %v", code, result.NotRunDeadline)
	}
	if open := held.transactions.count(); open != 0 {
		t.Errorf("got %d open transactions, want 0", open)
	}
	if reply := g.run(t, "a", "d/1", "BEGIN", 0); reply.TransactionStatus != "T" {
		t.Errorf("BEGIN after the released batch: got %+v, want transaction status T", reply)
	}
}

func TestReleaseLeavesLaterBatchesAlone(t *testing.T) {
	g := startTestGroup(t)
	if reply := g.run(t, "a", "d/1", "BEGIN", 0); reply.TransactionStatus != "T" {
		t.Fatalf("begin: got %+v, want transaction status T", reply)
	}
	began := g.next
	held, _ := g.manager.gate("a")
	held.Release("d/1", began-1)
	if reply := g.run(t, "a", "d/1", "COMMIT", began); reply.Code != 0 {
		t.Errorf("commit: got code %d %s, want 0", reply.Code, reply.Reason)
	}
}

// Releases a session at random times during a BEGIN, after which no transaction may stay open.
func TestReleaseAtAnyTimeLeavesNoTransactionOpen(t *testing.T) {
	g := startTestGroup(t)
	if reply := g.run(t, "a", "d/1", "CREATE TABLE log (entry text)", 0); reply.Code != 0 {
		t.Fatalf("create: got code %d %s, want 0", reply.Code, reply.Reason)
	}
	held, _ := g.manager.gate("a")
	random := rand.New(rand.NewSource(1))
	for i := range 300 {
		session := fmt.Sprintf("d/s%d", i)
		var both sync.WaitGroup
		both.Go(func() {
			g.manager.Execute(&api.ExecuteRequest{
				Workspace: "w", Group: "g", Target: "a", SessionID: session, Sequence: 1, Access: api.ExecuteRequestAccessWrite,
				MaxAgeMs: -1, TimeoutMs: 5000, ReplicationWaitMs: 60_000, Messages: appendQuery(nil, "BEGIN"),
			})
		})
		pause := time.Duration(random.Intn(600)) * time.Microsecond
		both.Go(func() {
			time.Sleep(pause)
			held.Release(session, 1)
		})
		both.Wait()
	}
	limit := time.Now().Add(5 * time.Second)
	for held.transactions.count() > 0 {
		if time.Now().After(limit) {
			t.Fatalf("got %d open transactions after 5 s, want 0", held.transactions.count())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

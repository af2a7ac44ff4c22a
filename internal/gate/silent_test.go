package gate

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/result"
)

// lockHeldLimit is the time in which a lock must be free again.
const lockHeldLimit = 15 * time.Second

// A transaction whose connection went silent held the lock of the target until the idle limit of the
// gate, and no write of the group was served (soak seed 15).
func TestSilentTransactionGivesItsLocksBack(t *testing.T) {
	g := startTestGroup(t)
	if reply := g.run(t, "a", "d/1", "CREATE TABLE log (entry text)", 0); reply.Code != 0 {
		t.Fatalf("create: %d %s", reply.Code, reply.Reason)
	}
	if reply := g.run(t, "a", "d/1", "BEGIN", 0); reply.TransactionStatus != "T" {
		t.Fatalf("begin: %+v", reply)
	}
	began := g.next
	g.targets["a"].Silence()
	limit := time.Now().Add(lockHeldLimit)
	for {
		reply := g.run(t, "a", "d/2", "INSERT INTO log VALUES ('x')", 0)
		if reply.Code == 0 && !reply.Position.IsZero() {
			break
		}
		if time.Now().After(limit) {
			t.Fatalf("no write is served %v after the connection went silent: %+v", lockHeldLimit, reply)
		}
	}
	reply := g.run(t, "a", "d/1", "COMMIT", began)
	if code := result.Code(reply.Code); code != result.TransactionLost {
		t.Errorf("commit on the silent connection: code %v, want %v", code, result.TransactionLost)
	}
}

// An idle transaction outlives the limits that end the connections of daemons that have gone.
func TestIdleTransactionIsKept(t *testing.T) {
	g := startTestGroup(t)
	if reply := g.run(t, "a", "d/1", "BEGIN", 0); reply.TransactionStatus != "T" {
		t.Fatalf("begin: %+v", reply)
	}
	began := g.next
	time.Sleep(6 * time.Second)
	if reply := g.run(t, "a", "d/1", "COMMIT", began); reply.Code != 0 {
		t.Errorf("commit after 6 s: %d %s", reply.Code, reply.Reason)
	}
}

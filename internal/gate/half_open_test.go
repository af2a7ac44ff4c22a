package gate

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/result"
)

// lockHeldLimit is the time within which the lock of a transaction on a half-open connection must be released.
const lockHeldLimit = 15 * time.Second

// Guards against a transaction whose connection became half-open and that kept its lock at the target until the idle
// limit of the gate, so that no write of the group was served (soak seed 15).
func TestTransactionOnHalfOpenConnectionReleasesItsLocks(t *testing.T) {
	g := startTestGroup(t)
	if reply := g.run(t, "a", "d/1", "CREATE TABLE log (entry text)", 0); reply.Code != 0 {
		t.Fatalf("create: got code %d %s, want 0", reply.Code, reply.Reason)
	}
	if reply := g.run(t, "a", "d/1", "BEGIN", 0); reply.TransactionStatus != "T" {
		t.Fatalf("begin: got %+v, want transaction status T", reply)
	}
	began := g.next
	g.targets["a"].MakeHalfOpen()
	limit := time.Now().Add(lockHeldLimit)
	for {
		reply := g.run(t, "a", "d/2", "INSERT INTO log VALUES ('x')", 0)
		if reply.Code == 0 && !reply.Position.IsZero() {
			break
		}
		if time.Now().After(limit) {
			t.Fatalf("write %v after the connection became half-open: got %+v, want a committed write", lockHeldLimit, reply)
		}
	}
	reply := g.run(t, "a", "d/1", "COMMIT", began)
	if code := result.Code(reply.Code); code != result.TransactionLost {
		t.Errorf("commit on the half-open connection: got code %v, want %v", code, result.TransactionLost)
	}
}

// An idle transaction outlives idleSessionTimeout and idleInTransactionTimeout, since the gate checks its connection.
func TestIdleTransactionIsKept(t *testing.T) {
	g := startTestGroup(t)
	if reply := g.run(t, "a", "d/1", "BEGIN", 0); reply.TransactionStatus != "T" {
		t.Fatalf("begin: got %+v, want transaction status T", reply)
	}
	began := g.next
	time.Sleep(6 * time.Second)
	if reply := g.run(t, "a", "d/1", "COMMIT", began); reply.Code != 0 {
		t.Errorf("commit after 6 s: got code %d %s, want 0", reply.Code, reply.Reason)
	}
}

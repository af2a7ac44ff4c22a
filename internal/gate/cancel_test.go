package gate

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
)

// runsBatch reports whether the gate runs a batch of a session.
func (g *Gate) runsBatch(session string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inflight[session] != nil
}

// TestLateCancelSparesTheNextBatch cancels a batch that has ended while the session runs its next one.
func TestLateCancelSparesTheNextBatch(t *testing.T) {
	g := startTestGroup(t)
	if reply := g.run(t, "a", "d/1", "SELECT 1", 0); reply.Code != 0 {
		t.Fatalf("first batch: got code %d %s, want 0", reply.Code, reply.Reason)
	}
	ended := g.next
	held, _ := g.manager.gate("a")
	replies := make(chan *api.ExecuteReply)
	go func() { replies <- g.run(t, "a", "d/1", "SELECT pg_sleep(10)", 0) }()
	for limit := time.Now().Add(10 * time.Second); !held.runsBatch("d/1"); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("the second batch does not run")
		}
	}
	if g.manager.Cancel(&api.CancelRequest{SessionID: "d/1", Sequence: ended}) {
		t.Error("a request to cancel the first batch cancelled the second")
	}
	for {
		g.manager.Cancel(&api.CancelRequest{SessionID: "d/1", Sequence: ended + 1})
		select {
		case <-replies:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

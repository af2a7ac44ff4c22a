package engine

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/policy/callers"
)

// TestRefusalOfTheQueueIsFinal offers a read to a primary whose queue takes no more in time: it is refused after one
// attempt. Before, it was offered twenty times in a row.
func TestRefusalOfTheQueueIsFinal(t *testing.T) {
	n, engines := newRelayedEngines(&fakeTarget{}, 4, GroupLimits{MaxConnections: 30, SyncReplicas: 1}, strictRoute)
	holder, _ := holderOf(engines[0])
	g := n.engines[holder].groups["g"]
	queue := g.gateOf(g.members["a"]).statements
	for queue.Running() < queue.Slots() {
		queue.Offer(connectionRequest{startBy: time.Now().Add(time.Hour), lateUntil: time.Now().Add(time.Hour)}.item(), time.Now())
	}
	s := newSession(engines[0], &scriptedCaller{}, "d", "s", callers.Identity{})
	r, refusal := s.request(Statement{ID: "1", Op: OpRead, Text: "r"}, OpRead, time.Now())
	if refusal != nil {
		t.Fatalf("request: %s", refusal.Reason)
	}
	// The slots are taken for longer than the time limit.
	r.route.Objective = time.Millisecond
	r.arrived = time.Now().Add(-r.route.Timeout * (lateSharePercent + 1) / 100)
	_, refusal = r.read()
	if refusal == nil || !refusal.Code.IsNotRun() || r.attempts != 1 {
		t.Errorf("read at a full queue: got refusal %v after %d attempts, want one that says that nothing ran, after 1", refusal, r.attempts)
	}
}

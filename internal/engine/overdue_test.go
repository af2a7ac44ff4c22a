package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/callers"
)

// slotsTakenTimeout bounds the wait until the statements of a test have taken all slots.
const slotsTakenTimeout = 10 * time.Second

// TestLostAnswersLeaveTheSlots loses the answers of as many statements as a holder keeps at a target, as when a target runs
// statements and its answers are lost. Other statements are served meanwhile; before, the slots stayed taken until the
// time limits of those without an answer, and everything else was refused.
func TestLostAnswersLeaveTheSlots(t *testing.T) {
	release := make(chan struct{})
	target := &fakeTarget{exchange: func(_ *fakeConnection, c Command) (Reply, error) {
		if c.Op == OpRead {
			<-release
			return Reply{}, errLost
		}
		return Reply{Signature: "s", Position: api.Position{Term: 1, Offset: 1}}, nil
	}}
	limits := GroupLimits{MaxConnections: 30, SyncReplicas: 1}
	n, engines := newRelayedEngines(target, 4, limits, strictRoute)
	holder, _ := holderOf(engines[0])
	g := n.engines[holder].groups["g"]
	queue := g.gateOf(g.members["a"]).statements
	slots := queue.Slots()
	lost := make(chan struct{})
	for i := range slots {
		go func() {
			engines[i%len(engines)].Serve(&scriptedCaller{statements: []Statement{{ID: fmt.Sprint("lost-", i), Op: OpRead, Text: "r"}}}, "d", callers.Identity{})
			lost <- struct{}{}
		}()
	}
	for started := time.Now(); queue.Running() < slots; time.Sleep(time.Millisecond) {
		if time.Since(started) > slotsTakenTimeout {
			t.Fatalf("got %d of %d slots taken", queue.Running(), slots)
		}
	}
	served := &scriptedCaller{statements: []Statement{{ID: "served", Op: OpWrite, Text: "w"}}}
	engines[0].Serve(served, "d", callers.Identity{})
	if refusal := served.answers[0].Refusal; refusal != nil {
		t.Errorf("statement beside %d whose answers are lost: got %s, want it served", slots, refusal.Reason)
	}
	close(release)
	for range slots {
		<-lost
	}
}

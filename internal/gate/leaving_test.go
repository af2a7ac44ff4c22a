package gate

import (
	"testing"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/standin/database"
)

// A replica that is leaving gets no new work, whether its own status says so or the platform lists its VM as leaving.
func TestLeavingReplicaGetsNoNewWork(t *testing.T) {
	cases := map[string]func(g *testGroup, held *Gate){
		"target says so": func(g *testGroup, _ *Gate) { g.targets["b"].SetFaults(database.Faults{Leaving: true}) },
		"platform lists": func(_ *testGroup, held *Gate) { held.options.IsLeaving = func(name string) bool { return name == "b" } },
	}
	for name, leave := range cases {
		t.Run(name, func(t *testing.T) {
			g := startTestGroup(t)
			held, _ := g.manager.gate("b")
			leave(g, held)
			for {
				reply := g.read(t, "b")
				if code := result.Code(reply.Code); code == result.NotRunTargetLeaving {
					return
				} else if code != result.OK && !code.IsNotRun() {
					t.Fatalf("read at a leaving replica: got code %v (%s), want NotRunTargetLeaving", code, reply.Reason)
				}
			}
		})
	}
}

// read runs a read without a minimum position at a target.
func (g *testGroup) read(t *testing.T, name string) *api.ExecuteReply {
	t.Helper()
	g.next++
	return g.manager.Execute(&api.ExecuteRequest{
		Workspace: "w", Group: "g", Target: name, SessionID: "d/r", Sequence: g.next,
		Access: api.ExecuteRequestAccessRead, MaxAgeMs: -1, TimeoutMs: 1000, Messages: appendQuery(nil, "SELECT 1"),
	})
}

package e2e

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/gate"
	"github.com/papayacove/papayacove/internal/policy/placement"
	"github.com/papayacove/papayacove/internal/target"
)

// slowCallerPause is longer than a gate waits for idle transactions when its target moves to another daemon.
const slowCallerPause = 2500 * time.Millisecond

// TestHandoverWaitsForOpenAnswer moves a target to another daemon while a slow caller fetches an answer of several
// chunks. The caller must get the whole answer, and the gate must close afterwards.
func TestHandoverWaitsForOpenAnswer(t *testing.T) {
	f := newGateFixture(t)
	var moved atomic.Bool
	manager := gate.NewManager(gate.ManagerOptions{
		Self: "d", Target: target.Options{User: "gate"}, Terms: f.terms,
		Limits: api.LimitSettings{QueueLength: 10, IdleTransactionTimeoutMs: eventTimeout.Milliseconds(), StatementTimeoutMs: eventTimeout.Milliseconds()},
		Members: func() []placement.Member {
			if moved.Load() {
				return []placement.Member{{Name: "d", Leaving: true}, {Name: "other"}}
			}
			return []placement.Member{{Name: "d"}}
		},
		Groups: func() []api.GroupSpec { return []api.GroupSpec{f.group} },
	})
	manager.Init(testContext(t))
	manager.Refresh()
	t.Cleanup(manager.Close)
	run := func(req *api.ExecuteRequest) *api.ExecuteReply {
		req.Target = "a"
		return manager.Execute(req)
	}
	await(t, "the gate serves a write", func() bool { return run(f.write("s", "SELECT 1")).Code == 0 })
	run(f.write("s", "CREATE TABLE photos (body text)"))
	for range 10 {
		run(f.write("s", fmt.Sprintf("INSERT INTO photos VALUES ('%0100000d')", 1)))
	}
	reply := run(f.request("s", api.ExecuteRequestAccessRead, &pgproto3.Query{String: "SELECT body FROM photos"}))
	moved.Store(true)
	manager.Refresh()
	time.Sleep(slowCallerPause)
	total := len(reply.Chunk)
	for number := uint64(1); reply.StreamID != 0; number++ {
		reply = manager.Fetch(&api.FetchRequest{Target: "a", StreamID: reply.StreamID, Number: number})
		if reply.Code != 0 {
			t.Fatalf("chunk %d: got code %d: %s; want no error", number, reply.Code, reply.Reason)
		}
		total += len(reply.Chunk)
	}
	if total < 10*100000 {
		t.Fatalf("got %d bytes, want at least those of ten rows of 100000", total)
	}
	await(t, "the gate is closed", func() bool { return len(manager.Gates()) == 0 })
}

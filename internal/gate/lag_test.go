package gate

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/standin/database"
)

const (
	// shortLag is shorter than appliedWait.
	shortLag = 50 * time.Millisecond
	lagReads = 10
	// lagPause is the pause between two reads, in which the observed positions of the targets become outdated.
	lagPause = 130 * time.Millisecond
)

// Guards against reads that are refused by a replica with a short lag: when the lag is computed from positions that
// were polled up to 200 ms before, it appears too long to wait for, and most reads go to the primary instead.
func TestReadWaitsForReplicaWithShortLag(t *testing.T) {
	g := startTestGroup(t)
	g.targets["b"].SetFaults(database.Faults{LagMs: shortLag.Milliseconds()})
	g.run(t, "a", "s1", "CREATE TABLE entries (entry text)", 0)
	for range lagReads {
		time.Sleep(lagPause)
		written := g.run(t, "a", "s1", "INSERT INTO entries VALUES ('x')", 0)
		g.next++
		reply := g.manager.Execute(&api.ExecuteRequest{
			Workspace: "w", Group: "g", Target: "b", SessionID: "s1", Sequence: g.next, Floor: written.Position,
			Access: api.ExecuteRequestAccessRead, MaxAgeMs: -1, TimeoutMs: 5000,
			Messages: appendQuery(nil, "SELECT count(*) FROM entries"),
		})
		if reply.Code != 0 {
			t.Errorf("read after %v: got code %d %s, want 0", written.Position, reply.Code, reply.Reason)
		}
	}
}

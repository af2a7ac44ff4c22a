package gate

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/standin/database"
)

const (
	// shortLag is less than a read waits for a replica.
	shortLag = 50 * time.Millisecond
	lagReads = 10
	// lagPause lets the known positions of the targets grow old between two reads.
	lagPause = 130 * time.Millisecond
)

// The lag was taken from positions that had been asked for up to 200 ms before, so that most reads
// on a replica with a short lag were sent on to the primary.
func TestReadWaitsForReplicaWithShortLag(t *testing.T) {
	g := startTestGroup(t)
	g.targets["b"].SetKnobs(database.Knobs{LagMs: shortLag.Milliseconds()})
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
			t.Errorf("read after %v: %d %s", written.Position, reply.Code, reply.Reason)
		}
	}
}

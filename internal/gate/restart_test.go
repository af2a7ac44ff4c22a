package gate

import (
	"testing"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
)

// TestFetchAfterRestartGetsNoOtherAnswer restarts a daemon while a session still fetches an answer: the number of the answer must not be
// that of an answer to another session.
func TestFetchAfterRestartGetsNoOtherAnswer(t *testing.T) {
	const large = "SELECT generate_series(1, 100000)"
	g := startTestGroup(t)
	begun := g.run(t, "a", "d/1", large, 0)
	if begun.StreamID == 0 {
		t.Fatalf("got code %d %s and no further part, want a part of an answer", begun.Code, begun.Reason)
	}
	options := g.manager.options
	g.manager.Close()
	g.manager = NewManager(options)
	g.manager.Init(t.Context())
	g.manager.Refresh()
	t.Cleanup(g.manager.Close)
	if other := g.run(t, "a", "d/2", large, 0); other.StreamID == 0 {
		t.Fatalf("after the restart: got code %d %s and no further part, want a part of an answer", other.Code, other.Reason)
	}
	reply := g.manager.Fetch(&api.FetchRequest{Target: "a", StreamID: begun.StreamID, Number: 1})
	if result.Code(reply.Code) != result.AnswerInterrupted {
		t.Errorf("got code %d and %d bytes of the answer to another session, want answer_interrupted", reply.Code, len(reply.Chunk))
	}
}

package engine

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/callers"
)

// collidingShapes have the same xxhash digest with "read " before them.
var collidingShapes = [...]string{
	"1pBnfg3scSM3Y5SqDf7AVaYUjj9kwz3khZhSfhfKLuIZjPYuLbhLTv2V0MN",
	"1pB5Lsc89ng3Y5SqDf7AVaYUjj9kwz3khZhEtU4pW4LZjPYuLbhLTv2V0MN",
}

// preparingTarget records the shapes that run. Prepared statements belong to a connection.
type preparingTarget struct {
	*fakeTarget
	shapes map[*fakeConnection]map[string]string
	ran    []string
}

func newPreparingTarget() *preparingTarget {
	t := &preparingTarget{fakeTarget: &fakeTarget{}, shapes: make(map[*fakeConnection]map[string]string)}
	t.exchange = func(c *fakeConnection, command Command) (Reply, error) {
		switch command.Op {
		case OpPrepare:
			if t.shapes[c] == nil {
				t.shapes[c] = make(map[string]string)
			}
			t.shapes[c][command.Name] = command.Argument
		case OpExecute:
			t.ran = append(t.ran, t.shapes[c][command.Name])
		}
		return Reply{Signature: "s", Position: firstCommit}, nil
	}
	return t
}

// TestShapesOfOneXxhashRunAsPrepared prepares two shapes whose names were the same while they were xxhash digests, so that
// the second session ran the shape of the first on their shared connection.
func TestShapesOfOneXxhashRunAsPrepared(t *testing.T) {
	target := newPreparingTarget()
	e := newTestEngine(target.fakeTarget)
	for i, shape := range collidingShapes {
		s := newSession(e, &scriptedCaller{}, "d", "s1", callers.Identity{})
		s.serve(Statement{ID: "p", Op: OpPrepare, Name: "s1", Prepares: OpRead, Argument: shape}, time.Now())
		answer := s.serve(Statement{ID: "e", Op: OpExecute, Name: "s1", Argument: "item"}, time.Now())
		if answer.Refusal != nil {
			t.Fatalf("session %d: got refusal %+v, want success", i, answer.Refusal)
		}
		if got := target.ran[len(target.ran)-1]; got != shape {
			t.Errorf("session %d: the target ran %q, want the prepared %q", i, got, shape)
		}
	}
}

// TestHolderNamesPreparedStatementsItself runs two shapes for a daemon of an older version, whose names of them are equal.
func TestHolderNamesPreparedStatementsItself(t *testing.T) {
	target := newPreparingTarget()
	_, engines := newRelayedEngines(target.fakeTarget, 10, scarceLimits, strictRoute)
	s := engines[0].NewRelaySession("peer")
	for i, shape := range collidingShapes {
		reply := s.Run(&api.RelayRequest{
			Group: "g", Target: "a", Operation: uint8(OpExecute), Name: "old", Argument: "item", ID: "e", TimeoutUs: 1e6, StartWithinUs: 1e6, LateWithinUs: 1e6,
			PreparedName: "old", PreparedOperation: uint8(OpRead), PreparedShape: shape,
		})
		if reply.NotRunCode != 0 || reply.NoReply {
			t.Fatalf("request %d: got %+v, want success", i, reply)
		}
		if got := target.ran[len(target.ran)-1]; got != shape {
			t.Errorf("request %d: the target ran %q, want the prepared %q", i, got, shape)
		}
	}
}

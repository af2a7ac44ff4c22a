package engine

import (
	"fmt"
	"testing"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/result"
)

// TestProofOfALaterTermDoesNotCoverEarlierStatements guards against an answer of a target that led, followed another one that led
// in between, and leads again when its answer arrives: its log may have lacked, or may have lost, what the proof stands for.
func TestProofOfALaterTermDoesNotCoverEarlierStatements(t *testing.T) {
	for _, changesAt := range []string{"read", "write", "commit", "none"} {
		var g *group
		target := &fakeTarget{}
		runs := 0
		target.exchange = func(_ *fakeConnection, c Command) (Reply, error) {
			runs++
			if c.ID == changesAt && g.term == 1 {
				now := clock.SinceBoot()
				g.applyStatusRound(map[string]leadership.Status{"a": leads(3, 1, now), "b": follows(3, 1, now)}, now)
			}
			state := StateIdle
			if c.Op == OpBegin || c.ID == "inside" {
				state = StateOpen
			}
			return Reply{Signature: fmt.Sprintf("run-%d", runs), State: state, Position: api.Position{Term: g.term, Offset: 1}}, nil
		}
		e := newTestEngine(target)
		g = e.groups["g"]
		g.setTarget(Target{Name: "b", Group: "g", Slots: 2, Zone: "z"})
		g.statuses["b"] = follows(1, 1, clock.SinceBoot())
		caller := &scriptedCaller{statements: []Statement{
			{ID: "read", Op: OpRead, Text: "r"}, {ID: "write", Op: OpWrite, Text: "w"},
			{ID: "begin", Op: OpBegin}, {ID: "inside", Op: OpWrite, Text: "w"}, {ID: "commit", Op: OpCommit},
		}}
		e.Serve(caller, "d", callers.Identity{})
		if got := caller.answers[0]; got.Refusal != nil || (got.Signature == "run-1") == (changesAt == "read") {
			t.Errorf("later term at %s: got the read answered with %q and refusal %+v, want the first run only in the same term",
				changesAt, got.Signature, got.Refusal)
		}
		for i, id := range map[int]string{1: "write", 4: "commit"} {
			refusal := caller.answers[i].Refusal
			isUnknown := refusal != nil && refusal.Code == result.OutcomeUnknown
			if isUnknown != (id == changesAt) || !isUnknown && refusal != nil {
				t.Errorf("later term at %s: got refusal %+v of the %s, want its outcome unknown only there", changesAt, refusal, id)
			}
		}
	}
}

package engine

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/leadership"
)

// TestUnpausedReplicaDoesNotProveAPrimaryThatSteppedDown guards against reads at an old primary within the proof of a
// replica that the promoter has not reached.
func TestUnpausedReplicaDoesNotProveAPrimaryThatSteppedDown(t *testing.T) {
	g := newTestGroup(&fakeTarget{})
	led, asked := g.statuses["a"].AskedAt, clock.SinceBoot()+time.Second
	g.applyStatusRound(map[string]leadership.Status{"c": follows(1, 10, asked)}, asked)
	if want := led + leadership.ProofValidity; g.provenUntil != want {
		t.Errorf("a replica answered %s after the primary: got a proof until %s, want %s", asked-led, g.provenUntil, want)
	}
	asked += time.Second
	g.applyStatusRound(map[string]leadership.Status{"a": leads(1, 10, asked)}, asked)
	if want := asked - time.Second + leadership.ProofValidity; g.provenUntil != want {
		t.Errorf("the primary answered a second after the replica: got a proof until %s, want %s", g.provenUntil, want)
	}
}

// TestProofIsRequestedFromThePrimaryAndAReplica checks the targets of the status calls for a proof.
func TestProofIsRequestedFromThePrimaryAndAReplica(t *testing.T) {
	g := newTestGroup(&fakeTarget{})
	targets := g.proofTargets()
	if _, asksPrimary := targets["a"]; !asksPrimary || len(targets) != 2 {
		t.Errorf("got status calls to %v, want to a and one replica", slices.Sorted(maps.Keys(targets)))
	}
	g.recordUnreachable(g.members["a"])
	if targets := slices.Sorted(maps.Keys(g.proofTargets())); !slices.Equal(targets, []string{"b", "c"}) {
		t.Errorf("the primary is not reached: got status calls to %v, want to all replicas", targets)
	}
}

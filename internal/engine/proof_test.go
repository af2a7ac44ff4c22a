package engine

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/result"
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

// strayConnection is a connection on which each reply is that of a target of another group.
type strayConnection struct{}

func (strayConnection) Run(*api.RelayRequest, time.Time) (*api.RelayReply, error) {
	return &api.RelayReply{
		Group: "h", Target: "x", Signature: "s", Position: api.Position{Term: 1, Offset: 90}, Transaction: 7, ProofTerm: 1, ProofChained: true,
	}, nil
}

// TestReplyOfAnotherTargetIsNotRecorded guards against a proof or a position of another group in the same term.
func TestReplyOfAnotherTargetIsNotRecorded(t *testing.T) {
	g := newTestGroup(&fakeTarget{})
	g.provenUntil = 0
	l := &relayedLease{group: g, member: g.members["a"], address: "daemon-1", connection: strayConnection{}, transaction: 7}
	outcome := l.run(execution{command: Command{Op: OpCommit}, commits: true, deadline: time.Now().Add(time.Second)})
	if outcome.err == nil || !outcome.sent || l.transaction != 0 {
		t.Errorf("got %+v with transaction %d, want an unknown outcome and no transaction", outcome, l.transaction)
	}
	if g.provenUntil != 0 {
		t.Errorf("got a proof until %s, want none", g.provenUntil)
	}
}

// TestPositionOfALaterTermIsNoSample guards against a minimum position that is not one of the primary.
func TestPositionOfALaterTermIsNoSample(t *testing.T) {
	g := newTestGroup(&fakeTarget{})
	asked := clock.SinceBoot() + 100*time.Millisecond
	g.provenUntil = asked + time.Second
	g.recordReply(g.members["a"], Reply{Position: api.Position{Term: 2, Offset: 3}}, asked)
	if position, ok := g.samples.Oldest(asked, 0); ok {
		t.Errorf("got %v as a position of the primary of term 1, want none", position)
	}
	g.recordReply(g.members["a"], Reply{Position: api.Position{Term: 1, Offset: 11}}, asked)
	if position, ok := g.samples.Oldest(asked, 0); !ok || position.Offset != 11 {
		t.Errorf("got %v, known %t, want a sample of the primary", position, ok)
	}
}

// TestReplicaThatJoinsWithoutAProofIsNoWitness guards against proofs by a replica that has joined an old primary after a
// promotion that the daemon does not know of.
func TestReplicaThatJoinsWithoutAProofIsNoWitness(t *testing.T) {
	g, asked := newUnprovedGroup()
	g.setTarget(Target{Name: "d", Group: "g", Slots: 5, Zone: "z"})
	g.applyStatusRound(map[string]leadership.Status{"a": leads(1, 10, asked), "d": follows(1, 10, asked)}, asked)
	if g.provenUntil >= asked+leadership.ProofValidity {
		t.Errorf("joined after the last proof lapsed: got a proof until %s, want none of %s", g.provenUntil, asked)
	}
	if targets := g.proofTargets(); len(targets) != len(g.members) {
		t.Errorf("got status calls to %v for a proof, want to all targets", slices.Sorted(maps.Keys(targets)))
	}
	g.applyStatusRound(map[string]leadership.Status{"a": leads(1, 10, asked), "b": follows(1, 10, asked), "c": follows(1, 10, asked)}, asked)
	asked = clock.SinceBoot()
	g.applyStatusRound(map[string]leadership.Status{"a": leads(1, 11, asked), "d": follows(1, 11, asked)}, asked)
	if want := asked + leadership.ProofValidity; g.provenUntil != want {
		t.Errorf("known within a proof by all: got a proof until %s, want %s", g.provenUntil, want)
	}
}

// TestCommitWithoutAProofIsAnUnknownOutcome guards against success for a commit that only a replica has received which no
// promoter knows: the proof lapses while the target commits, and cannot be renewed.
func TestCommitWithoutAProofIsAnUnknownOutcome(t *testing.T) {
	for _, replicas := range []int{0, 1} {
		var g *group
		target := &fakeTarget{}
		target.exchange = func(_ *fakeConnection, c Command) (Reply, error) {
			if c.Op == OpCommit || c.ID == "single" {
				g.mu.Lock()
				g.provenUntil = 0
				g.mu.Unlock()
			}
			state := StateIdle
			if c.Op == OpBegin || c.ID == "inside" {
				state = StateOpen
			}
			return Reply{Signature: "s", State: state, Position: api.Position{Term: 1, Offset: 1}}, nil
		}
		e := newTestEngine(target)
		g = e.groups["g"]
		g.setLimits(GroupLimits{MaxConnections: 4, SyncReplicas: replicas}, daemonsNamed(1))
		caller := &scriptedCaller{statements: []Statement{
			{ID: "begin", Op: OpBegin}, {ID: "inside", Op: OpWrite, Text: "w"}, {ID: "commit", Op: OpCommit}, {ID: "single", Op: OpWrite, Text: "w"},
		}}
		e.Serve(caller, "d", callers.Identity{})
		for i, id := range map[int]string{2: "commit", 3: "single"} {
			refusal := caller.answers[i].Refusal
			isUnknown := refusal != nil && refusal.Code == result.OutcomeUnknown
			if isUnknown != (replicas > 0) {
				t.Errorf("%d replicas, %s: got refusal %+v, want the outcome unknown only if a replica has to receive it", replicas, id, refusal)
			}
		}
	}
}

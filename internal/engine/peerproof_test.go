package engine

import (
	"context"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/policy/leadership"
)

// newStartedHolder returns the engine that holds the target, which has just started: it has no leadership proof and
// cannot start a chain of proofs. Its standby has one of the given age.
func newStartedHolder(t *testing.T, age time.Duration) (holder *Engine, n *relayNetwork) {
	t.Helper()
	target := &fakeTarget{exchange: func(_ *fakeConnection, c Command) (Reply, error) {
		if c.Op == OpStatus {
			return Reply{Failure: &TargetFailure{Kind: FailureBusy, Code: "BUSY"}}, nil
		}
		return Reply{Signature: "s", Position: firstCommit}, nil
	}}
	n, engines := newRelayedEngines(target, 4, scarceLimits, strictRoute)
	first, standby := holderOf(engines[0])
	now := clock.SinceBoot()
	for name, e := range n.engines {
		g := e.groups["g"]
		g.inBackground = func(f func()) { go f() }
		g.provenUntil = 0
		if name == standby {
			g.provenUntil = now - age + leadership.ProofValidity
		}
	}
	holder = n.engines[first]
	g := holder.groups["g"]
	g.directorySettled = func() bool { return false }
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go g.serveProofs(ctx, func() {})
	return holder, n
}

// TestStartedHolderUsesTheProofOfItsStandby guards against statements that are refused at a daemon that has just
// started, since it cannot prove yet that the primary leads, while the daemon that has served in its place can.
func TestStartedHolderUsesTheProofOfItsStandby(t *testing.T) {
	holder, _ := newStartedHolder(t, 0)
	for _, statement := range []Statement{{ID: "r", Op: OpRead, Text: "r"}, {ID: "w", Op: OpWrite, Text: "w"}} {
		caller := &scriptedCaller{statements: []Statement{statement}}
		holder.Serve(caller, "d", callers.Identity{})
		if refusal := caller.answers[0].Refusal; refusal != nil {
			t.Errorf("%s: got refusal %+v, want it served within the proof of the standby", statement.ID, refusal)
		}
	}
}

// TestProofOfAPeerThatHasEndedProvesNothing guards against a read within a proof of another daemon that has expired, or
// whose age does not count.
func TestProofOfAPeerThatHasEndedProvesNothing(t *testing.T) {
	holder, _ := newStartedHolder(t, leadership.ProofValidity)
	caller := &scriptedCaller{statements: []Statement{{ID: "r", Op: OpRead, Text: "r"}}}
	holder.Serve(caller, "d", callers.Identity{})
	if caller.answers[0].Refusal == nil {
		t.Error("got the read served, want it refused without a proof")
	}
	g := holder.groups["g"]
	at := clock.SinceBoot() - 200*time.Millisecond
	for _, c := range []struct {
		name, target string
		term         uint64
		want         bool
	}{{"its term", "a", 1, true}, {"no proof", "a", 0, false}, {"a later term", "a", 2, false}, {"another target", "receiver", 1, false}} {
		g.mu.Lock()
		g.provenUntil = 0
		g.recordPeerProof(g.members[c.target], "daemon-9", c.term, at)
		until := g.provenUntil
		g.mu.Unlock()
		if (until == at+leadership.ProofValidity) != c.want || !c.want && until != 0 {
			t.Errorf("%s: got a proof until %s, want one that counts from %s only for the primary and its term", c.name, until, at)
		}
	}
}

// TestProofIsToldWithoutACallToTheTarget covers what a daemon tells another one of its proof.
func TestProofIsToldWithoutACallToTheTarget(t *testing.T) {
	holder, n := newStartedHolder(t, 100*time.Millisecond)
	_, standby := holderOf(holder)
	for name, want := range map[string]uint64{standby: 1, holder.options.Name: 0} {
		reply := n.engines[name].NewRelaySession("daemon-9").Status(&api.RelayStatusRequest{Group: "g", Target: "a", ProofOnly: true})
		if reply.ProofTerm != want || want != 0 && reply.ProofAgeUs < 100_000 || reply.Answered {
			t.Errorf("%s: got %+v, want a proof of term %d with its age and no status", name, reply, want)
		}
	}
}

// TestOnlyHoldersAskForProofs guards against questions of all daemons at once while a primary does not answer, or while
// their holder has no proof.
func TestOnlyHoldersAskForProofs(t *testing.T) {
	holder, n := newStartedHolder(t, 0)
	for _, c := range []struct {
		name   string
		engine *Engine
		silent bool
		want   int
	}{
		{"the holder", holder, false, 2}, {"the holder, the primary does not answer", holder, true, 0}, {"another daemon", otherThanHolders(n), false, 0},
	} {
		g := c.engine.groups["g"]
		if c.engine == holder {
			g.gateOf(g.members["a"])
		}
		g.mu.Lock()
		if c.silent {
			g.members["a"].avoidUntil = clock.SinceBoot() + time.Minute
		}
		got := g.otherHolders(clock.SinceBoot())
		g.mu.Unlock()
		if len(got) != c.want {
			t.Errorf("%s: got %v to ask, want %d daemons", c.name, got, c.want)
		}
	}
}

// otherThanHolders returns an engine that does not hold the target.
func otherThanHolders(n *relayNetwork) *Engine {
	for _, e := range n.engines {
		g := e.groups["g"]
		isHolder := false
		for _, h := range g.holdersOf(g.members["a"]) {
			isHolder = isHolder || h.isSelf
		}
		if !isHolder {
			return e
		}
	}
	return nil
}

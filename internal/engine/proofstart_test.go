package engine

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/leadership"
)

// newUnprovedGroup returns a group whose last leadership proof has lapsed, and a time after that.
func newUnprovedGroup() (*group, time.Duration) {
	g := newTestGroup(&fakeTarget{})
	for name, status := range g.statuses {
		status.AskedAt -= time.Second
		g.statuses[name] = status
	}
	g.provenUntil = clock.SinceBoot() - time.Millisecond
	return g, clock.SinceBoot()
}

// TestResumedReplicaDoesNotProveAnOldPrimary guards against reads at an old primary after a promotion that ended the
// pause of a replica which does not reach the new primary, and follows the old one again.
func TestResumedReplicaDoesNotProveAnOldPrimary(t *testing.T) {
	g, asked := newUnprovedGroup()
	statuses := map[string]leadership.Status{"a": leads(1, 10, asked), "c": follows(1, 10, asked)}
	g.applyStatusRound(statuses, asked)
	if g.provenUntil >= asked {
		t.Errorf("one replica after a break: got a proof until %s, want none of %s", g.provenUntil, asked)
	}
	statuses["b"] = follows(1, 10, asked)
	g.applyStatusRound(statuses, asked)
	if want := asked + leadership.ProofValidity; g.provenUntil != want {
		t.Errorf("all targets after a break: got a proof until %s, want %s", g.provenUntil, want)
	}
}

// TestPausedReplicaStartsNoChain guards against reads at an old primary while the order to promote a paused replica
// takes effect.
func TestPausedReplicaStartsNoChain(t *testing.T) {
	g, asked := newUnprovedGroup()
	g.setTarget(Target{Name: "d", Group: "g", Slots: 5, Zone: "z"})
	paused := follows(1, 10, asked)
	paused.PausedTerm = 2
	g.applyStatusRound(map[string]leadership.Status{"a": leads(1, 10, asked), "b": paused, "c": paused, "d": follows(1, 10, asked)}, asked)
	if g.provenUntil >= asked {
		t.Errorf("got a proof until %s, want none of %s", g.provenUntil, asked)
	}
}

// TestTargetThatIsKnownAloneProvesNothing guards against reads at an old primary by a daemon that has not learned of
// the others.
func TestTargetThatIsKnownAloneProvesNothing(t *testing.T) {
	for replicas, want := range map[int]bool{0: true, 1: false} {
		g := newGroup("g", Options{Zone: "z", Dialer: &fakeTarget{}, DrainTimeout: time.Hour}, func() bool { return true })
		g.setLimits(GroupLimits{MaxConnections: 30, SyncReplicas: replicas}, daemonsNamed(1))
		g.setTarget(Target{Name: "a", Group: "g", Slots: 5, Zone: "z"})
		asked := clock.SinceBoot()
		g.applyStatusRound(map[string]leadership.Status{"a": leads(1, 10, asked)}, asked)
		if proved := g.provenUntil > asked; proved != want {
			t.Errorf("commits wait for %d replicas: got a proof %t, want %t", replicas, proved, want)
		}
	}
}

// TestTargetsStartNoChainBeforeAllAreKnown guards against reads at an old primary while the entry of the new one is
// missing.
func TestTargetsStartNoChainBeforeAllAreKnown(t *testing.T) {
	g, asked := newUnprovedGroup()
	g.directorySettled = func() bool { return false }
	g.applyStatusRound(map[string]leadership.Status{"a": leads(1, 10, asked), "b": follows(1, 10, asked), "c": follows(1, 10, asked)}, asked)
	if g.provenUntil >= asked {
		t.Errorf("got a proof until %s, want none of %s", g.provenUntil, asked)
	}
}

// TestReturnedReplicaStartsNoChain guards against a proof from what was known of a replica before it was removed.
func TestReturnedReplicaStartsNoChain(t *testing.T) {
	g, asked := newUnprovedGroup()
	paused := follows(1, 10, asked)
	paused.PausedTerm = 2
	g.applyStatusRound(map[string]leadership.Status{"b": paused}, asked)
	g.removeNow("b")
	g.setTarget(Target{Name: "b", Group: "g", Slots: 5, Zone: "z"})
	g.applyStatusRound(map[string]leadership.Status{"a": leads(1, 10, asked), "c": follows(1, 10, asked)}, asked)
	if g.provenUntil >= asked {
		t.Errorf("got a proof until %s, want none of %s", g.provenUntil, asked)
	}
}

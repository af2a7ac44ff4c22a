package engine

import (
	"context"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/authority"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

// newTestGroup returns a group of three targets of which a leads in term 1.
func newTestGroup(target *fakeTarget) *group {
	g := newGroup("g", Options{Zone: "z", Dialer: target, DrainTimeout: 7 * time.Second}, func() bool { return true })
	g.setLimits(GroupLimits{MaxConnections: 30, SyncReplicas: 1}, 1)
	for _, name := range []string{"a", "b", "c"} {
		g.setTarget(Target{Name: name, Group: "g", Slots: 5, Zone: "z"})
	}
	now := clock.Boot()
	g.takeIn(map[string]authority.Status{"a": leads(1, 10, now), "b": follows(1, 10, now), "c": follows(1, 10, now)}, now)
	return g
}

func leads(term, offset uint64, askedAt time.Duration) authority.Status {
	return authority.Status{Role: authority.RolePrimary, Term: term, Received: api.Position{Term: term, Offset: offset}, AskedAt: askedAt}
}

func follows(term, offset uint64, askedAt time.Duration) authority.Status {
	return authority.Status{Role: authority.RoleReplica, Term: term, Received: api.Position{Term: term, Offset: offset}, AskedAt: askedAt}
}

func TestLeavingTargetGetsNoWorkNearTheEndOfItsTimeout(t *testing.T) {
	g := newTestGroup(&fakeTarget{})
	g.setTarget(Target{Name: "a", Group: "g", Slots: 5, Zone: "z", Leaving: true})
	m := g.members["a"]
	if !g.takesWork(m, m.leavingSince+time.Second) {
		t.Error("no work a second after it announced its leave")
	}
	if g.takesWork(m, m.leavingSince+g.drainTimeout-drainReserve) {
		t.Error("work at the end of the drain timeout")
	}
	g.setTarget(Target{Name: "a", Group: "g", Slots: 5, Zone: "z"})
	if !g.takesWork(m, clock.Boot()+time.Hour) {
		t.Error("no work after the leave was taken back")
	}
}

func TestNewTermEndsAuthority(t *testing.T) {
	g := newTestGroup(&fakeTarget{})
	now := clock.Boot()
	if g.leader != "a" || g.authorityUntil < now {
		t.Fatalf("leader %q, authority %s", g.leader, g.authorityUntil-now)
	}
	g.takeIn(map[string]authority.Status{"b": leads(2, 10, now), "c": follows(2, 10, now)}, now)
	if g.leader != "b" || g.term != 2 {
		t.Errorf("leader %q in term %d", g.leader, g.term)
	}
	g.takeIn(map[string]authority.Status{"a": leads(1, 12, now)}, now)
	if g.leader != "b" || g.term != 2 {
		t.Errorf("an old primary took over: %q in term %d", g.leader, g.term)
	}
}

// TestReplicaWithoutItsLogIsALostWitness lets a replica come back empty.
func TestReplicaWithoutItsLogIsALostWitness(t *testing.T) {
	g := newTestGroup(&fakeTarget{})
	now := clock.Boot()
	g.takeIn(map[string]authority.Status{"b": follows(1, 0, now), "c": follows(1, 9, now)}, now)
	if len(g.owed.Names(now)) == 0 {
		t.Error("the commits that only the lost log had are forgotten")
	}
	if g.knowsReplicas() {
		t.Error("the replicas tell a floor without the lost log")
	}
}

// TestOlderAnswersDoNotReplaceNewerOnes takes in a round of status calls that ended before another one but comes after it.
func TestOlderAnswersDoNotReplaceNewerOnes(t *testing.T) {
	g := newTestGroup(&fakeTarget{})
	older := clock.Boot()
	newer := older + time.Millisecond
	g.takeIn(map[string]authority.Status{"b": leads(2, 14, newer), "c": follows(2, 14, newer)}, newer)
	g.takeIn(map[string]authority.Status{"a": leads(1, 12, older), "b": follows(1, 11, older), "c": follows(1, 12, older)}, older)
	if g.leader != "b" || g.term != 2 {
		t.Errorf("after an older round: leader %q in term %d", g.leader, g.term)
	}
	if lost := g.owed.Names(newer); len(lost) != 0 {
		t.Errorf("after an older round: lost witnesses %v", lost)
	}
}

// TestFloorWithoutThePrimary asks the replicas while the primary is silent.
func TestFloorWithoutThePrimary(t *testing.T) {
	g := newTestGroup(&fakeTarget{})
	// Samples close to one another are not kept.
	now := clock.Boot() + 100*time.Millisecond
	g.takeIn(map[string]authority.Status{"b": follows(1, 14, now), "c": follows(1, 12, now)}, now)
	if position, ok := g.ageFloor(clock.Boot(), time.Second); !ok || position.Offset < 10 {
		t.Errorf("floor %v, known %t", position, ok)
	}
	position, ok := g.samples.Oldest(now, 0)
	if !ok || position.Offset != 14 {
		t.Errorf("floor of this round: %v, known %t, want 14", position, ok)
	}
}

// TestDroppedGroupIsKeptAsItWas takes a group out of the configuration while sessions may still use its targets.
func TestDroppedGroupIsKeptAsItWas(t *testing.T) {
	e := newDrawnEngine(&fakeTarget{})
	limits := GroupLimits{MaxConnections: 30, SyncReplicas: 1}
	e.Configure(Configuration{Version: 2, Groups: map[string]GroupLimits{"g": limits}})
	e.Configure(Configuration{Version: 3})
	e.SetDaemons(2)
	e.SetTarget(Target{Name: "a", Group: "g", Slots: 2, Zone: "z", Leaving: true})
	g := e.groups["g"]
	if g.limits != limits {
		t.Errorf("limits %+v, want %+v", g.limits, limits)
	}
	if !g.isLeaving("a") {
		t.Error("the report that a target leaves was not taken in")
	}
}

// TestFullTargetIsAlive asks targets that accept no further connection, as they do when there are more daemons than
// connections.
func TestFullTargetIsAlive(t *testing.T) {
	target := &fakeTarget{err: &TargetFailure{Kind: FailureTooManyConnections, Code: "TOOMANY"}}
	g := newTestGroup(target)
	for range 3 {
		if reason := g.look(); reason != takeover.ReasonNone {
			t.Errorf("suspected: %s", reason)
		}
	}
	if g.watch.IsSilent() || g.isolatedSince != 0 {
		t.Errorf("silent %t, isolated %t", g.watch.IsSilent(), g.isolatedSince != 0)
	}
}

// TestScarceControlConnectionsAreNotKept makes a status call while there are fewer connections than daemons.
func TestScarceControlConnectionsAreNotKept(t *testing.T) {
	target := &fakeTarget{}
	g := newTestGroup(target)
	g.look()
	if target.open != 3 {
		t.Errorf("%d connections for status calls to 3 targets", target.open)
	}
	g.setLimits(GroupLimits{MaxConnections: 30, SyncReplicas: 1}, 30)
	g.look()
	if target.open != 0 {
		t.Errorf("%d connections kept", target.open)
	}
}

// TestFailingProofsArePaced asks for proofs all the time while the targets of many daemons are full.
func TestFailingProofsArePaced(t *testing.T) {
	const daemons, lasting = 100, time.Second
	target := &fakeTarget{err: &TargetFailure{Kind: FailureTooManyConnections, Code: "TOOMANY"}}
	g := newTestGroup(target)
	g.setLimits(GroupLimits{MaxConnections: 30, SyncReplicas: 1}, daemons)
	ctx, cancel := context.WithTimeout(context.Background(), lasting)
	defer cancel()
	go func() {
		for clock.Sleep(ctx, time.Millisecond) == nil {
			ask(g.proofRequests)
		}
	}()
	g.serveProofs(ctx)
	target.mu.Lock()
	defer target.mu.Unlock()
	if most := int(lasting/(daemons*scarceLookPause)) + 1; target.dialed > most {
		t.Errorf("%d calls in %s, want at most %d", target.dialed, lasting, most)
	}
}

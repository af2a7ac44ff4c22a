package engine

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

// newTestGroup returns a group of three targets, of which a is the primary in term 1.
func newTestGroup(target *fakeTarget) *group {
	g := newGroup("g", Options{Zone: "z", Dialer: target, DrainTimeout: 7 * time.Second}, func() bool { return true })
	g.setLimits(GroupLimits{MaxConnections: 30, SyncReplicas: 1}, daemonsNamed(1))
	for _, name := range []string{"a", "b", "c"} {
		g.setTarget(Target{Name: name, Group: "g", Slots: 5, Zone: "z"})
	}
	now := clock.SinceBoot()
	g.applyStatusRound(map[string]leadership.Status{"a": leads(1, 10, now), "b": follows(1, 10, now), "c": follows(1, 10, now)}, now)
	return g
}

// daemonsOfZone returns entries of daemons of one zone that hold no targets.
func daemonsOfZone(zone string, count int) []Daemon {
	var daemons []Daemon
	for i := range count {
		daemons = append(daemons, Daemon{Name: fmt.Sprintf("daemon-%d", i), Zone: zone})
	}
	return daemons
}

func daemonsNamed(count int) *daemonList { return newDaemonList("daemon-0", daemonsOfZone("z", count)) }

func leads(term, offset uint64, askedAt time.Duration) leadership.Status {
	return leadership.Status{Role: leadership.RolePrimary, Term: term, Received: api.Position{Term: term, Offset: offset}, AskedAt: askedAt}
}

func follows(term, offset uint64, askedAt time.Duration) leadership.Status {
	return leadership.Status{Role: leadership.RoleReplica, Term: term, Received: api.Position{Term: term, Offset: offset}, AskedAt: askedAt}
}

func TestLeavingTargetGetsNoWorkNearEndOfDrainTimeout(t *testing.T) {
	g := newTestGroup(&fakeTarget{})
	g.setTarget(Target{Name: "a", Group: "g", Slots: 5, Zone: "z", Leaving: true})
	m := g.members["a"]
	if !g.acceptsWork(m, m.leavingSince+time.Second) {
		t.Error("got no new work one second after the target announced that it leaves, want some")
	}
	if g.acceptsWork(m, m.leavingSince+g.drainTimeout-drainReserve) {
		t.Error("got new work at the end of the drain timeout, want none")
	}
	g.setTarget(Target{Name: "a", Group: "g", Slots: 5, Zone: "z"})
	if !g.acceptsWork(m, clock.SinceBoot()+time.Hour) {
		t.Error("got no new work after the target withdrew the announcement, want some")
	}
}

func TestHigherTermReplacesPrimary(t *testing.T) {
	g := newTestGroup(&fakeTarget{})
	now := clock.SinceBoot()
	if g.primary != "a" || g.provenUntil < now {
		t.Fatalf("got primary %q with a leadership proof for %s, want a with a valid proof", g.primary, g.provenUntil-now)
	}
	g.applyStatusRound(map[string]leadership.Status{"b": leads(2, 10, now), "c": follows(2, 10, now)}, now)
	if g.primary != "b" || g.term != 2 {
		t.Errorf("got primary %q in term %d, want b in term 2", g.primary, g.term)
	}
	g.applyStatusRound(map[string]leadership.Status{"a": leads(1, 12, now)}, now)
	if g.primary != "b" || g.term != 2 {
		t.Errorf("after a report of the old primary: got primary %q in term %d, want b in term 2", g.primary, g.term)
	}
}

// TestReplicaRestartedWithoutLogIsLost restarts a replica with an empty log: the log that it lost may have been
// the only one with an acknowledged commit.
func TestReplicaRestartedWithoutLogIsLost(t *testing.T) {
	g := newTestGroup(&fakeTarget{})
	now := clock.SinceBoot()
	g.applyStatusRound(map[string]leadership.Status{"b": follows(1, 0, now), "c": follows(1, 9, now)}, now)
	if len(g.lostReplicas.Blocking(now)) == 0 {
		t.Error("got no lost replica, want the one whose log is gone")
	}
}

// TestOlderAnswersDoNotReplaceNewerOnes applies a status round after another one whose answers are newer, as
// happens when rounds run concurrently.
func TestOlderAnswersDoNotReplaceNewerOnes(t *testing.T) {
	g := newTestGroup(&fakeTarget{})
	older := clock.SinceBoot()
	newer := older + time.Millisecond
	g.applyStatusRound(map[string]leadership.Status{"b": leads(2, 14, newer), "c": follows(2, 14, newer)}, newer)
	g.applyStatusRound(map[string]leadership.Status{"a": leads(1, 12, older), "b": follows(1, 11, older), "c": follows(1, 12, older)}, older)
	if g.primary != "b" || g.term != 2 {
		t.Errorf("after an older round: got primary %q in term %d, want b in term 2", g.primary, g.term)
	}
	if lost := g.lostReplicas.Blocking(newer); len(lost) != 0 {
		t.Errorf("after an older round: got lost replicas %v, want none", lost)
	}
}

// TestReplicasAloneGiveNoMinPosition guards against a minimum position without a commit that a replica acknowledged
// which the daemon does not know.
func TestReplicasAloneGiveNoMinPosition(t *testing.T) {
	g := newTestGroup(&fakeTarget{})
	// The sample must not be too close to the one of newTestGroup, because such samples are not kept.
	now := clock.SinceBoot() + 100*time.Millisecond
	g.applyStatusRound(map[string]leadership.Status{"b": follows(1, 14, now), "c": follows(1, 12, now)}, now)
	if position, ok := g.minPositionForAge(clock.SinceBoot(), time.Second); !ok || position.Offset != 10 {
		t.Errorf("minimum position: got %v, known %t, want the offset 10 of the primary", position, ok)
	}
	if position, ok := g.samples.Oldest(now, 0); ok {
		t.Errorf("sample of a round without the primary: got %v, want none", position)
	}
}

// TestGroupRemovedFromConfigurationIsKept removes a group from the configuration while sessions may still use its
// targets.
func TestGroupRemovedFromConfigurationIsKept(t *testing.T) {
	e := newTestEngine(&fakeTarget{})
	limits := GroupLimits{MaxConnections: 30, SyncReplicas: 1}
	e.Configure(Configuration{Version: 2, Groups: map[string]GroupLimits{"g": limits}})
	e.Configure(Configuration{Version: 3})
	e.SetDaemons(daemonsOfZone("z", 2))
	e.SetTarget(Target{Name: "a", Group: "g", Slots: 2, Zone: "z", Leaving: true})
	g := e.groups["g"]
	if g.limits != limits {
		t.Errorf("got limits %+v, want %+v", g.limits, limits)
	}
	if !g.isLeaving("a") {
		t.Error("the report that a target leaves was not recorded")
	}
}

// TestFullTargetIsAlive makes status rounds while the targets accept no further connection, as happens when there
// are more daemons than connections. The primary must not be suspected.
func TestFullTargetIsAlive(t *testing.T) {
	target := &fakeTarget{err: &TargetFailure{Kind: FailureTooManyConnections, Code: "TOOMANY"}}
	g := newTestGroup(target)
	for range 3 {
		if reason := g.runStatusRound(); reason != takeover.ReasonNone {
			t.Errorf("the primary is suspected with reason %s, want no suspicion", reason)
		}
	}
	if g.monitor.IsUnresponsive() || g.isolatedSince != 0 {
		t.Errorf("got unresponsive %t, isolated %t, want neither", g.monitor.IsUnresponsive(), g.isolatedSince != 0)
	}
}

// TestScarceControlConnectionsAreNotKept makes status rounds while there are enough connections for all daemons,
// and while there are not.
func TestScarceControlConnectionsAreNotKept(t *testing.T) {
	target := &fakeTarget{}
	g := newTestGroup(target)
	g.runStatusRound()
	if target.open != 3 {
		t.Errorf("got %d connections after status calls to 3 targets, want 3", target.open)
	}
	g.setLimits(GroupLimits{MaxConnections: 30, SyncReplicas: 1}, daemonsNamed(30))
	g.runStatusRound()
	if target.open != 0 {
		t.Errorf("got %d open connections, want 0", target.open)
	}
}

// TestFailingProofsAreRateLimited requests leadership proofs continuously while the targets are full with the
// connections of many daemons.
func TestFailingProofsAreRateLimited(t *testing.T) {
	const daemons, lasting = 100, time.Second
	dialer := &perTargetDialer{fakeTarget: &fakeTarget{err: &TargetFailure{Kind: FailureTooManyConnections, Code: "TOOMANY"}}, dialed: map[string]int{}}
	g := newTestGroup(dialer.fakeTarget)
	g.setLimits(GroupLimits{MaxConnections: 30, SyncReplicas: 1}, daemonsNamed(daemons))
	for _, m := range g.members {
		m.control.dialer = dialer
	}
	ctx, cancel := context.WithTimeout(context.Background(), lasting)
	defer cancel()
	go func() {
		for clock.Sleep(ctx, time.Millisecond) == nil {
			signal(g.proofRequests)
		}
	}()
	g.serveProofs(ctx, func() {})
	dialer.mu.Lock()
	defer dialer.mu.Unlock()
	most := int(lasting/(daemons*scarceRoundInterval)) + 1
	total := 0
	for name, calls := range dialer.dialed {
		total += calls
		if calls > most {
			t.Errorf("got %d calls to %s in %s, want at most %d", calls, name, lasting, most)
		}
	}
	if total > 2*most {
		t.Errorf("got %d calls in %s, want at most %d to the primary and as many to a replica", total, lasting, most)
	}
	if dialer.dialed["a"] == 0 {
		t.Error("got no call to the primary, want some")
	}
}

// perTargetDialer counts the attempts to connect to each target.
type perTargetDialer struct {
	*fakeTarget
	mu     sync.Mutex
	dialed map[string]int
}

func (d *perTargetDialer) Dial(ctx context.Context, target Target, workspace string) (Connection, error) {
	d.mu.Lock()
	d.dialed[target.Name]++
	d.mu.Unlock()
	return d.fakeTarget.Dial(ctx, target, workspace)
}

// TestLeavingTargetMissingInARestoredStoreIsKept removes the entry of a leaving target: it is gone for good when the
// entries have been followed without a failure, and may come back when the store has just been restored from a copy.
func TestLeavingTargetMissingInARestoredStoreIsKept(t *testing.T) {
	for _, settled := range []bool{true, false} {
		g := newTestGroup(&fakeTarget{})
		g.directorySettled = func() bool { return settled }
		g.setTarget(Target{Name: "c", Group: "g", Slots: 5, Zone: "z", Leaving: true})
		g.scheduleRemoval("c")
		for end := time.Now().Add(removalGrace / 10); time.Now().Before(end) && g.hasMember("c"); {
			time.Sleep(time.Millisecond)
		}
		if got := g.hasMember("c"); got == settled {
			t.Errorf("settled %t: got member %t, want the opposite", settled, got)
		}
	}
}

// hasLoss reports whether a lost replica blocks promotions.
func (g *group) hasLoss() bool { return len(g.lostReplicas.Blocking(clock.SinceBoot())) > 0 }

func (g *group) hasMember(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.members[name]
	return ok
}

// TestTargetRestartsDuringAStatusCall restarts a target, under the name it had, while a status call waits for its
// answer and then connects again. The call reads the target's address under the lock of the group.
func TestTargetRestartsDuringAStatusCall(t *testing.T) {
	asked, answer := make(chan struct{}), make(chan struct{})
	blocked := false
	target := &fakeTarget{}
	g := newTestGroup(target)
	g.runStatusRound()
	target.exchange = func(_ *fakeConnection, c Command) (Reply, error) {
		if !blocked {
			blocked = true
			close(asked)
			<-answer
			return Reply{}, errLost
		}
		return Reply{}, nil
	}
	ended := make(chan struct{})
	go func() {
		_, _ = g.members["a"].control.call(Command{Op: OpStatus})
		close(ended)
	}()
	<-asked
	restarted := make(chan struct{})
	go func() {
		g.setTarget(Target{Name: "a", Group: "g", Slots: 5, Zone: "z", Incarnation: 2})
		close(restarted)
	}()
	select {
	case <-restarted:
	case <-time.After(10 * time.Second):
		t.Fatal("the new entry waits for the status call")
	}
	close(answer)
	<-ended
}

// TestLossOfAPausedReplicaWithTheLongestLog guards against a promotion without a commit that only the lost replica
// had received before it was paused.
func TestLossOfAPausedReplicaWithTheLongestLog(t *testing.T) {
	for offset, lost := range map[uint64]bool{14: true, 12: false} {
		g := newTestGroup(&fakeTarget{})
		now := clock.SinceBoot()
		paused := follows(1, offset, now)
		paused.PausedTerm = 2
		g.applyStatusRound(map[string]leadership.Status{"b": follows(1, 12, now), "c": paused}, now)
		g.removeNow("c")
		if g.hasLoss() != lost {
			t.Errorf("c ended at %d, b at 12: got a replica lost %t, want %t", offset, !lost, lost)
		}
		g.applyStatusRound(map[string]leadership.Status{"b": follows(1, 14, now+1)}, now+1)
		if g.hasLoss() {
			t.Errorf("c ended at %d, b has caught up: got a replica lost, want none", offset)
		}
	}
}

// TestAnswerOfALostReplicaDoesNotCoverItsLog guards against a promotion without a commit that only a lost replica had: its last
// answer was under way when its entry went, and was taken for that of another replica with its log.
func TestAnswerOfALostReplicaDoesNotCoverItsLog(t *testing.T) {
	g := newTestGroup(&fakeTarget{})
	now := clock.SinceBoot()
	paused := follows(1, 14, now)
	paused.PausedTerm = 2
	round := map[string]leadership.Status{"b": follows(1, 12, now), "c": paused}
	g.applyStatusRound(maps.Clone(round), now)
	g.removeNow("c")
	g.applyStatusRound(maps.Clone(round), now)
	if blocking := g.lostReplicas.Blocking(now); !slices.Equal(blocking, []string{"c"}) {
		t.Errorf("after the late answer of c: got %v lost, want c", blocking)
	}
	if s, known := g.statuses["c"]; known {
		t.Errorf("after the late answer of c: got the status %+v kept, want none", s)
	}
}

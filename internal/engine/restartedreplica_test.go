package engine

import (
	"maps"
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/leadership"
)

// removeNow removes a target as its removal timer does.
func (g *group) removeNow(name string) {
	g.mu.Lock()
	m := g.members[name]
	m.removalTimer = time.NewTimer(time.Hour)
	removal := m.removals
	g.mu.Unlock()
	g.removeTarget(name, m, removal)
}

// TestRestartedReplicaIsNotPaused loses a replica that was paused before it restarted: since its restart it may have
// acknowledged commits.
func TestRestartedReplicaIsNotPaused(t *testing.T) {
	g := newTestGroup(&fakeTarget{})
	now := clock.SinceBoot()
	paused := follows(1, 10, now)
	paused.PausedTerm = 2
	g.applyStatusRound(map[string]leadership.Status{"b": paused}, now)
	g.setTarget(Target{Name: "b", Group: "g", Slots: 5, Zone: "z", Incarnation: 2})
	g.removeNow("b")
	if lost := g.lostReplicas.Blocking(clock.SinceBoot()); len(lost) != 1 {
		t.Errorf("got lost replicas %v, want the one that restarted after its pause", lost)
	}
}

// TestReplicaThatReturnsWithoutLogIsLost removes a replica that then starts again under its name without the log that may
// alone have an acknowledged commit.
func TestReplicaThatReturnsWithoutLogIsLost(t *testing.T) {
	for name, received := range map[string]uint64{"without its log": 0, "with its log": 10} {
		g := newTestGroup(&fakeTarget{})
		g.removeNow("b")
		g.setTarget(Target{Name: "b", Group: "g", Slots: 5, Zone: "z", Incarnation: 2})
		now := clock.SinceBoot()
		g.applyStatusRound(map[string]leadership.Status{"b": follows(1, received, now), "c": follows(1, 10, now)}, now)
		if lost := g.lostReplicas.Blocking(now); (len(lost) == 1) != (received == 0) {
			t.Errorf("returned %s: got lost replicas %v", name, lost)
		}
	}
}

// TestRestartedReplicaProvesNothingOfItsPause guards against a proof from the status of a replica that was paused: its restart
// ends the pause, but not before that status.
func TestRestartedReplicaProvesNothingOfItsPause(t *testing.T) {
	g := newTestGroup(&fakeTarget{})
	g.provenUntil = 0
	now := clock.SinceBoot()
	paused := follows(1, 10, now)
	paused.PausedTerm = 2
	g.applyStatusRound(map[string]leadership.Status{"a": leads(1, 10, now), "b": paused, "c": paused}, now)
	g.setTarget(Target{Name: "b", Group: "g", Slots: 5, Zone: "z", Incarnation: 2})
	g.applyStatusRound(map[string]leadership.Status{"a": leads(1, 10, clock.SinceBoot())}, now)
	if g.provenUntil != 0 {
		t.Errorf("got a proof until %s, want none while all replicas were paused when they were asked", g.provenUntil)
	}
}

// TestRestartedPrimaryIsNotProvedByItsFormerStatus guards against reads at a primary that has started again without its log.
func TestRestartedPrimaryIsNotProvedByItsFormerStatus(t *testing.T) {
	g := newTestGroup(&fakeTarget{})
	now := clock.SinceBoot()
	g.applyStatusRound(map[string]leadership.Status{"a": leads(1, 10, now), "b": follows(1, 10, now)}, now)
	g.setTarget(Target{Name: "a", Group: "g", Slots: 5, Zone: "z", Incarnation: 2})
	g.applyStatusRound(map[string]leadership.Status{"b": follows(1, 10, clock.SinceBoot())}, now)
	if g.provenUntil > clock.SinceBoot() {
		t.Errorf("got a proof for %s more, want none before the restarted primary has answered", g.provenUntil-clock.SinceBoot())
	}
	g.applyStatusRound(map[string]leadership.Status{"a": leads(1, 10, clock.SinceBoot())}, now)
	if g.provenUntil <= clock.SinceBoot() {
		t.Error("the restarted primary leads the term: got no proof")
	}
}

// TestLateRemovalDoesNotEndALaterGrace lets the entry of a target go, return and go again, after which the removal for the first time
// runs: its timer had fired when the entry returned.
func TestLateRemovalDoesNotEndALaterGrace(t *testing.T) {
	g := newTestGroup(&fakeTarget{})
	m := g.members["b"]
	g.scheduleRemoval("b")
	g.setTarget(Target{Name: "b", Group: "g", Slots: 5, Zone: "z"})
	g.scheduleRemoval("b")
	g.removeTarget("b", m, 1)
	if !g.hasMember("b") {
		t.Error("the target was removed at the beginning of the second grace")
	}
	g.removeTarget("b", m, 2)
	if g.hasMember("b") {
		t.Error("the target is kept after the second grace")
	}
}

// TestOldPrimaryThatHasJoinedTheNextIsLost guards against a promotion without a commit that only an old primary had received,
// as a replica of the next one, before it left: the daemon had not asked it since it led.
func TestOldPrimaryThatHasJoinedTheNextIsLost(t *testing.T) {
	g := newTestGroup(&fakeTarget{})
	now := clock.SinceBoot()
	g.applyStatusRound(map[string]leadership.Status{"b": leads(2, 12, now)}, now)
	g.removeNow("a")
	if !g.hasLoss() {
		t.Error("got none lost, want the old primary lost")
	}
	g.applyStatusRound(map[string]leadership.Status{"b": leads(2, 14, now+1), "c": follows(2, 13, now+1)}, now+1)
	if !g.hasLoss() {
		t.Error("while no replica has the log: got none lost, want the old primary lost")
	}
	now = clock.SinceBoot()
	g.applyStatusRound(map[string]leadership.Status{"b": leads(2, 14, now), "c": follows(2, 14, now)}, now)
	if g.hasLoss() {
		t.Error("while a replica has the log: got a replica lost, want none")
	}
}

// TestReplicaThatRestartsBeforeItsPauseIsLost guards against a promotion without a commit that only one replica had: it has
// started again without its log since its last status, and its answer to the order to pause looks like that of any other.
func TestReplicaThatRestartsBeforeItsPauseIsLost(t *testing.T) {
	for received, want := range map[uint64]string{0: "", 10: "c"} {
		g := newTestGroup(&fakeTarget{})
		for name, offset := range map[string]uint64{"b": 8, "c": received} {
			status := follows(1, offset, 0)
			status.PausedTerm = 2
			g.members[name].control.dialer = &fakeTarget{exchange: func(*fakeConnection, Command) (Reply, error) {
				return Reply{Status: status}, nil
			}}
		}
		g.statuses["b"], g.statuses["c"] = follows(1, 8, 1), follows(1, 10, 1)
		p := &promotion{
			group: g, old: "a", oldTerm: 1, term: 2, members: maps.Clone(g.members), toResume: make(map[string]*member),
			lockedUntil: clock.SinceBoot() + time.Minute,
		}
		p.pauseReplicas()
		if choice := p.choose(); choice.Target != want {
			t.Errorf("c held 1.10 and answers with 1.%d: got %+v, want %q", received, choice, want)
		}
	}
}

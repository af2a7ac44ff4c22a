package takeover

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/leadership"
)

func replicaStatus(term, paused, offset uint64, askedAt time.Duration) leadership.Status {
	return leadership.Status{Role: leadership.RoleReplica, Term: term, PausedTerm: paused, Received: api.Position{Term: term, Offset: offset}, AskedAt: askedAt}
}

func primaryStatus(term, offset uint64, askedAt time.Duration) leadership.Status {
	return leadership.Status{Role: leadership.RolePrimary, Term: term, Received: api.Position{Term: term, Offset: offset}, AskedAt: askedAt}
}

// TestLostReplicaBlocksPromotionsUntilCovered guards against a promotion that loses an acknowledged commit because the
// replica that alone has it is gone. Promotions stay blocked until another replica has all of the primary's log as it
// was after the loss.
func TestLostReplicaBlocksPromotionsUntilCovered(t *testing.T) {
	var lost LostReplicas
	if !lost.MarkLost("b", replicaStatus(1, 0, 7, 0), api.Position{}, time.Second) {
		t.Fatal("loss of a receiving replica was not recorded")
	}
	before := map[string]leadership.Status{"a": primaryStatus(1, 9, time.Second), "c": replicaStatus(1, 0, 5, time.Second)}
	if covered := lost.Reconcile("a", before); len(covered) > 0 || len(lost.Blocking(2*time.Second)) != 1 {
		t.Errorf("with a replica that is behind: got %v covered, want none covered and b blocking", covered)
	}
	after := map[string]leadership.Status{"a": primaryStatus(1, 12, 2*time.Second), "c": replicaStatus(1, 0, 9, 2*time.Second)}
	if covered := lost.Reconcile("a", after); len(covered) != 1 || len(lost.Blocking(2*time.Second)) != 0 {
		t.Errorf("with a replica that has the primary's log of after the loss: got %v covered, want b covered and none blocking", covered)
	}
}

// TestPausedReturnedOrExpiredReplicaDoesNotBlock covers the replicas for which promotions need not wait.
func TestPausedReturnedOrExpiredReplicaDoesNotBlock(t *testing.T) {
	var lost LostReplicas
	covering := api.Position{Term: 1, Offset: 7}
	if lost.MarkLost("b", replicaStatus(1, 2, 7, 0), covering, 0) {
		t.Error("got a paused replica recorded as lost whose log another one has, want it ignored")
	}
	if !lost.MarkLost("b", replicaStatus(1, 2, 7, 0), covering, 2*LeavingRecheckInterval+1) {
		t.Error("a replica whose pause may have ended was not recorded as lost")
	}
	lost.MarkReturned("b")
	lost.MarkLost("c", replicaStatus(1, 0, 7, 0), covering, 0)
	lost.MarkReturned("c")
	if names := lost.Blocking(0); len(names) != 0 {
		t.Errorf("after the return: got %v, want none", names)
	}
	lost.MarkLost("c", replicaStatus(1, 0, 7, 0), covering, 0)
	if names := lost.Blocking(LostReplicaTimeout); len(names) != 0 {
		t.Errorf("after the timeout: got %v, want none", names)
	}
}

// TestPausedReplicaWithTheLongestLogIsLost guards against a promotion without the commits that a replica received before it
// was paused, and which no other replica has. It blocks until one has them, whether the primary answers or not.
func TestPausedReplicaWithTheLongestLogIsLost(t *testing.T) {
	var lost LostReplicas
	if !lost.MarkLost("c", replicaStatus(1, 2, 14, 0), api.Position{Term: 1, Offset: 12}, 0) {
		t.Fatal("got the longest log not recorded as lost because it was paused, want it recorded")
	}
	behind := map[string]leadership.Status{"b": replicaStatus(1, 0, 13, 0)}
	if covered := lost.Reconcile("a", behind); len(covered) != 0 {
		t.Errorf("with a replica that is behind: got %v covered, want none", covered)
	}
	level := map[string]leadership.Status{"b": replicaStatus(1, 0, 14, 0)}
	if covered := lost.Reconcile("a", level); len(covered) != 1 {
		t.Errorf("with a replica that has the log: got %v covered, want c", covered)
	}
	lost.MarkLost("d", replicaStatus(1, 0, 14, 0), api.Position{}, 0)
	if covered := lost.Reconcile("a", level); len(covered) != 0 {
		t.Errorf("a replica that was not paused, without an answer of the primary: got %v covered, want none", covered)
	}
}

// TestUnresponsivePrimaryIsReplacedAfterRoundsAndTime expects a takeover only after enough rounds and enough time, and
// only while all replicas answer.
func TestUnresponsivePrimaryIsReplacedAfterRoundsAndTime(t *testing.T) {
	var monitor PrimaryMonitor
	round := func(at time.Duration, statuses map[string]leadership.Status) Reason {
		return monitor.Evaluate(StatusRound{Primary: "a", Statuses: statuses, Members: 3, StartedAt: at, EndedAt: at + 10*time.Millisecond})
	}
	replicas := map[string]leadership.Status{"b": replicaStatus(1, 0, 1, 0), "c": replicaStatus(1, 0, 1, 0)}
	if r := round(0, replicas); r != ReasonNone {
		t.Errorf("after one round: got %q, want none", r)
	}
	if r := round(100*time.Millisecond, replicas); r != ReasonNone {
		t.Errorf("after 110 ms: got %q, want none", r)
	}
	if r := round(MissedTimeBeforeTakeover, replicas); r != ReasonUnresponsive {
		t.Errorf("after %s: got %q, want primary_silent", MissedTimeBeforeTakeover, r)
	}
	all := map[string]leadership.Status{"a": primaryStatus(1, 1, 0), "b": replicaStatus(1, 0, 1, 0), "c": replicaStatus(1, 0, 1, 0)}
	if r := round(time.Second, all); r != ReasonNone || monitor.IsSuspected() {
		t.Errorf("after an answer of the primary: got %q, want none and no suspicion", r)
	}
	if r := round(2*time.Second, map[string]leadership.Status{"b": replicaStatus(1, 0, 1, 0)}); r != ReasonNone {
		t.Errorf("while a replica does not answer either: got %q, want none", r)
	}
}

// TestBusyReplicaDoesNotStallReplication guards against the replacement of a healthy primary under load: while a replica
// is too busy for a status call, its last known position stands still as if it received nothing.
func TestBusyReplicaDoesNotStallReplication(t *testing.T) {
	var monitor PrimaryMonitor
	for i := range 20 {
		at := time.Duration(i+1) * StallBeforeTakeover / 4
		reason := monitor.Evaluate(StatusRound{
			Primary: "a", Members: 3, StartedAt: at, EndedAt: at + time.Millisecond,
			Statuses: map[string]leadership.Status{"a": primaryStatus(1, uint64(10*i), at), "b": replicaStatus(1, 0, 5, 0), "c": replicaStatus(1, 0, 5, at)},
		})
		if reason != ReasonNone {
			t.Fatalf("at %s: got %q, want none while the status of a replica is old", at, reason)
		}
	}
}

// TestJudgesBeginOneAfterTheOther checks the delays of daemons in three availability zones.
func TestJudgesBeginOneAfterTheOther(t *testing.T) {
	for rank, want := range []time.Duration{0, judgeInterval, 2 * judgeInterval, judgeRoundInterval, judgeRoundInterval + judgeInterval} {
		if got := JudgeDelay(rank, 3); got != want {
			t.Errorf("rank %d: got %s, want %s", rank, got, want)
		}
		if got := IsJudge(rank, 3); got != (rank < 3) {
			t.Errorf("rank %d: got judge %t, want %t", rank, got, rank < 3)
		}
	}
}

// TestStalledReplicationReplacesPrimary guards against a primary that answers status calls while its commits reach no
// replica, so that none can be acknowledged.
func TestStalledReplicationReplacesPrimary(t *testing.T) {
	var monitor PrimaryMonitor
	round := func(at time.Duration, end, received uint64) Reason {
		return monitor.Evaluate(StatusRound{
			Primary: "a", Members: 3, StartedAt: at, EndedAt: at,
			Statuses: map[string]leadership.Status{"a": primaryStatus(1, end, at), "b": replicaStatus(1, 0, received, at), "c": replicaStatus(1, 0, received-1, at)},
		})
	}
	steps := []struct {
		at            time.Duration
		end, received uint64
		want          Reason
	}{
		{0, 10, 9, ReasonNone},
		{StallBeforeTakeover, 20, 19, ReasonNone},
		{2 * StallBeforeTakeover, 20, 19, ReasonStalled},
	}
	for _, s := range steps {
		if got := round(s.at, s.end, s.received); got != s.want {
			t.Errorf("at %s, primary at %d, replica at %d: got %q, want %q", s.at, s.end, s.received, got, s.want)
		}
	}
}

// TestReplicasThatStayPausedReplacePrimary guards against a group whose replicas stay paused for good, so that
// nothing proves that its primary leads: their promoter has ended, or its order had no answer, and no write is under
// way that would wait.
func TestReplicasThatStayPausedReplacePrimary(t *testing.T) {
	var monitor PrimaryMonitor
	round := func(at time.Duration, pausedB, pausedC uint64) Reason {
		return monitor.Evaluate(StatusRound{
			Primary: "a", Members: 3, StartedAt: at, EndedAt: at,
			Statuses: map[string]leadership.Status{
				"a": primaryStatus(1, 9, at), "b": replicaStatus(1, pausedB, 9, at), "c": replicaStatus(1, pausedC, 9, at),
			},
		})
	}
	steps := []struct {
		at               time.Duration
		pausedB, pausedC uint64
		suspected        bool
		want             Reason
	}{
		{0, 2, 0, false, ReasonNone},
		{PauseBeforeTakeover, 2, 2, true, ReasonNone},
		{2*PauseBeforeTakeover - 1, 2, 2, true, ReasonNone},
		{2 * PauseBeforeTakeover, 2, 2, true, ReasonStalled},
		{2*PauseBeforeTakeover + 1, 2, 0, false, ReasonNone},
		{2*PauseBeforeTakeover + 2, 2, 2, true, ReasonNone},
	}
	for _, s := range steps {
		if got := round(s.at, s.pausedB, s.pausedC); got != s.want || monitor.IsSuspected() != s.suspected {
			t.Errorf("at %s, paused at %d and %d: got %q, suspected %t, want %q, %t",
				s.at, s.pausedB, s.pausedC, got, monitor.IsSuspected(), s.want, s.suspected)
		}
	}
}

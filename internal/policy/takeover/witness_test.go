package takeover

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/authority"
)

func replica(term, paused, offset uint64, askedAt time.Duration) authority.Status {
	return authority.Status{Role: authority.RoleReplica, Term: term, PausedTerm: paused, Received: api.Position{Term: term, Offset: offset}, AskedAt: askedAt}
}

func primary(term, offset uint64, askedAt time.Duration) authority.Status {
	return authority.Status{Role: authority.RolePrimary, Term: term, Received: api.Position{Term: term, Offset: offset}, AskedAt: askedAt}
}

// TestLostWitnessStopsPromotionsUntilReplaced loses a replica that may alone have a commit.
func TestLostWitnessStopsPromotionsUntilReplaced(t *testing.T) {
	var owed Owed
	if !owed.Lose("b", replica(1, 0, 7, 0), time.Second) {
		t.Fatal("the loss of a replica that received does not matter")
	}
	before := map[string]authority.Status{"a": primary(1, 9, time.Second), "c": replica(1, 0, 5, time.Second)}
	if settled := owed.Settle("a", before); len(settled) > 0 || len(owed.Names(2*time.Second)) != 1 {
		t.Errorf("settled %v by a replica that is behind", settled)
	}
	after := map[string]authority.Status{"a": primary(1, 12, 2*time.Second), "c": replica(1, 0, 9, 2*time.Second)}
	if settled := owed.Settle("a", after); len(settled) != 1 || len(owed.Names(2*time.Second)) != 0 {
		t.Errorf("settled %v by a replica that has what the primary had after the loss", settled)
	}
}

func TestPausedOrReturnedWitnessIsNotOwed(t *testing.T) {
	var owed Owed
	if owed.Lose("b", replica(1, 2, 7, 0), 0) {
		t.Error("a paused replica counts for nothing")
	}
	owed.Lose("c", replica(1, 0, 7, 0), 0)
	owed.Forget("c")
	if names := owed.Names(0); len(names) != 0 {
		t.Errorf("owed after the return: %v", names)
	}
	owed.Lose("c", replica(1, 0, 7, 0), 0)
	if names := owed.Names(MaxOwed); len(names) != 0 {
		t.Errorf("owed for ever: %v", names)
	}
}

// TestSilentPrimaryIsJudgedByTimeAndRounds plays rounds of status calls against a primary that does not answer.
func TestSilentPrimaryIsJudgedByTimeAndRounds(t *testing.T) {
	var w Watch
	round := func(at time.Duration, statuses map[string]authority.Status) Reason {
		return w.Judge(Round{Primary: "a", Statuses: statuses, Members: 3, Began: at, At: at + 10*time.Millisecond})
	}
	replicas := map[string]authority.Status{"b": replica(1, 0, 1, 0), "c": replica(1, 0, 1, 0)}
	if r := round(0, replicas); r != ReasonNone {
		t.Errorf("after one round: %q", r)
	}
	if r := round(100*time.Millisecond, replicas); r != ReasonNone {
		t.Errorf("after 110 ms: %q", r)
	}
	if r := round(SilenceBeforeTakeover, replicas); r != ReasonSilent {
		t.Errorf("after %s: %q", SilenceBeforeTakeover, r)
	}
	all := map[string]authority.Status{"a": primary(1, 1, 0), "b": replica(1, 0, 1, 0), "c": replica(1, 0, 1, 0)}
	if r := round(time.Second, all); r != ReasonNone || w.IsSuspicious() {
		t.Errorf("after an answer: %q", r)
	}
	if r := round(2*time.Second, map[string]authority.Status{"b": replica(1, 0, 1, 0)}); r != ReasonNone {
		t.Errorf("while a replica is silent too: %q", r)
	}
}

// TestStalledReplicationIsNoticed plays a primary whose commits reach no replica.
func TestStalledReplicationIsNoticed(t *testing.T) {
	var w Watch
	round := func(at time.Duration, end, received uint64) Reason {
		return w.Judge(Round{
			Primary: "a", Members: 3, Began: at, At: at,
			Statuses: map[string]authority.Status{"a": primary(1, end, at), "b": replica(1, 0, received, at), "c": replica(1, 0, received-1, at)},
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
			t.Errorf("at %s, primary at %d, replica at %d: %q, want %q", s.at, s.end, s.received, got, s.want)
		}
	}
}

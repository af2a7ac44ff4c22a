package engine

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/leadership"
)

// TestChainEndsBeforeAPromotionThatGoesOnWithoutItsWitness guards against a chain of proofs in a zone that is cut off
// for so long that a promoter outside takes the replica in it for lost.
func TestChainEndsBeforeAPromotionThatGoesOnWithoutItsWitness(t *testing.T) {
	for name, c := range map[string]struct {
		failingFor time.Duration
		all        bool
		want       bool
	}{
		"entries followed":                    {0, false, true},
		"a short outage, one replica":         {maxUnlistedChain - time.Second, false, true},
		"a long outage, one replica":          {maxUnlistedChain, false, false},
		"a long outage, all targets answered": {maxUnlistedChain, true, true},
	} {
		g := newReaderEngine(&fakeTarget{}).groups["g"]
		g.limits.SyncReplicas = 1
		g.directorySettled = func() bool { return c.failingFor == 0 }
		g.directoryFailingFor = func() time.Duration { return c.failingFor }
		for _, replica := range []string{"b", "c"} {
			g.setTarget(Target{Name: replica, Group: "g", Slots: 2, Zone: "z"})
		}
		now := clock.SinceBoot()
		before := now - leadership.ProofValidity/2
		g.statuses = map[string]leadership.Status{"a": leads(1, 10, before), "b": follows(1, 10, before), "c": follows(1, 10, 0)}
		g.primary, g.term, g.provenUntil = "a", 1, before+leadership.ProofValidity
		statuses := map[string]leadership.Status{"a": leads(1, 10, now), "b": follows(1, 10, now)}
		if c.all {
			statuses["c"] = follows(1, 10, now)
		}
		g.applyStatusRound(statuses, now)
		if proved := g.provenUntil >= now+leadership.ProofValidity; proved != c.want {
			t.Errorf("%s: got a new proof %t, want %t", name, proved, c.want)
		}
	}
}

// TestDirectoryFailuresAddUpToOneOutage covers for how long the entries are taken not to be followed.
func TestDirectoryFailuresAddUpToOneOutage(t *testing.T) {
	e := newReaderEngine(&fakeTarget{})
	now := clock.SinceBoot()
	e.directoryFailed.Store(int64(now - time.Minute))
	if got := e.directoryFailingFor(); got != 0 {
		t.Errorf("a minute after the last failure: got an outage of %s, want none", got)
	}
	for _, ago := range []time.Duration{40 * time.Second, 33 * time.Second, 26 * time.Second, 19 * time.Second, 12 * time.Second, 5 * time.Second} {
		e.RecordDirectoryFailure(now - ago)
	}
	if got := e.directoryFailingFor(); got < 40*time.Second {
		t.Errorf("failures for 40 s: got an outage of %s", got)
	}
}

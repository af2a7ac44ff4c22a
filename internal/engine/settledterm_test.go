package engine

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
)

// TestTermThatChangesIsNotSettled guards against a record that states the term before a promotion which is seen while
// the term is proved.
func TestTermThatChangesIsNotSettled(t *testing.T) {
	for term, want := range map[uint64]bool{1: true, 2: false} {
		g, _ := newUnprovedGroup()
		for name, m := range g.members {
			status := follows(term, 10, 0)
			if name == "a" {
				status = leads(term, 10, 0)
			}
			m.control.dialer = &fakeTarget{exchange: func(*fakeConnection, Command) (Reply, error) { return Reply{Status: status}, nil }}
		}
		got, ok := g.proveAnew()
		if g.provenUntil <= clock.SinceBoot() {
			t.Fatalf("term %d: got no proof, want one", term)
		}
		if ok != want || got != 1 {
			t.Errorf("term %d is proved after 1 was presumed: got term %d stated %t, want 1 stated %t", term, got, ok, want)
		}
	}
}

// TestAllTargetsAreAskedInALongOutage guards against a group without proofs because one replica is asked where the word
// of all is needed.
func TestAllTargetsAreAskedInALongOutage(t *testing.T) {
	for failingFor, want := range map[time.Duration]int{0: 2, maxUnlistedChain: 3} {
		g := newTestGroup(&fakeTarget{})
		g.directoryFailingFor = func() time.Duration { return failingFor }
		g.provenUntil = clock.SinceBoot() + time.Minute
		if got := len(g.proofTargets()); got != want {
			t.Errorf("entries not followed for %s: got %d targets asked, want %d", failingFor, got, want)
		}
	}
}

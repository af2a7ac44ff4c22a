package engine

import (
	"testing"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/leadership"
)

// TestRemovedPrimaryDoesNotProveAnEarlierTerm guards against reads and commits at an old primary, with a replica that
// follows it, once the entry of its successor has lapsed.
func TestRemovedPrimaryDoesNotProveAnEarlierTerm(t *testing.T) {
	g := newTestGroup(&fakeTarget{})
	now := clock.SinceBoot()
	g.applyStatusRound(map[string]leadership.Status{"b": leads(2, 10, now)}, now)
	if g.primary != "b" || g.term != 2 {
		t.Fatalf("got primary %q in term %d, want b in term 2", g.primary, g.term)
	}
	g.removeNow("b")
	asked := clock.SinceBoot()
	g.applyStatusRound(map[string]leadership.Status{"a": leads(1, 12, asked), "c": follows(1, 12, asked)}, asked)
	if g.provenUntil > asked {
		t.Errorf("got primary %q of term %d proved until %s after a target led term 2, want no proof of after %s", g.primary, g.term, g.provenUntil, asked)
	}
}

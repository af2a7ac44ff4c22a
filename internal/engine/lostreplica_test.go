package engine

import (
	"slices"
	"testing"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

// TestPrimaryThatLeadsIsNotReplacedByLess guards against the loss of acknowledged commits of a primary that is well: its only
// other replica is gone with them, and the one that is left does not hear it. However long that lasts, the primary has its
// log; only one that does not answer is replaced in the end.
func TestPrimaryThatLeadsIsNotReplacedByLess(t *testing.T) {
	g := newTestGroup(&fakeTarget{})
	g.mu.Lock()
	g.lostReplicas.MarkLost("c", g.statuses["c"], api.Position{}, clock.SinceBoot()-takeover.LostReplicaTimeout)
	g.mu.Unlock()
	for _, leads := range []bool{true, false} {
		p := &promotion{group: g, old: "a", oldStillLeads: leads, members: map[string]*member{"a": nil, "b": nil}}
		if names := p.replicas(); slices.Contains(names, "c") != leads || !slices.Contains(names, "b") || slices.Contains(names, "a") {
			t.Errorf("old primary leads %t: got replicas %v, want b, and c if it leads", leads, names)
		}
	}
}

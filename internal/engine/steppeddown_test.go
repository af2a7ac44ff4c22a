package engine

import (
	"slices"
	"testing"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

// TestOldPrimaryThatEndsIsNoLostReplica guards against a group without a primary for takeover.LostReplicaTimeout: the
// old primary has stepped down, has a commit that no replica received, and ends as planned before another one leads. No
// caller was told of such a commit. The promoter may have started since, and knows the old primary from the promotion
// lock.
func TestOldPrimaryThatEndsIsNoLostReplica(t *testing.T) {
	for _, c := range []struct {
		name       string
		old        takeover.OldPrimary
		newestTerm uint64
		waits      bool
	}{
		{"it led the newest term", takeover.OldPrimary{Name: "a", Term: 1}, 1, false},
		{"another target has led since", takeover.OldPrimary{Name: "a", Term: 1}, 2, true},
		{"another one led", takeover.OldPrimary{Name: "b", Term: 1}, 1, true},
		{"it is not known", takeover.OldPrimary{}, 1, true},
	} {
		g := newTestGroup(&fakeTarget{})
		g.mu.Lock()
		g.lostReplicas.MarkLost("a", follows(1, 11, 0), api.Position{Term: 1, Offset: 10}, clock.SinceBoot())
		g.mu.Unlock()
		p := &promotion{group: g, members: map[string]*member{"b": nil, "c": nil}, lastOld: c.old, newestTerm: c.newestTerm}
		if waits := slices.Contains(p.replicas(), "a"); waits != c.waits {
			t.Errorf("%s: got the promotion wait for it %t, want %t", c.name, waits, c.waits)
		}
	}
}

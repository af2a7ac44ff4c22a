package engine

import (
	"context"
	"sync"
	"testing"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

// joiningLister lists the target d from the second list on.
type joiningLister struct{ lists int }

func (l *joiningLister) ListTargets(context.Context, string) ([]Target, error) {
	l.lists++
	targets := []Target{{Name: "a", Group: "g"}, {Name: "b", Group: "g"}, {Name: "c", Group: "g"}}
	if l.lists > 1 {
		targets = append(targets, Target{Name: "d", Group: "g"})
	}
	return targets, nil
}

// TestEarlierStepDownIsNoReasonToPromote guards against a promotion beside the old primary a, which has restarted since it stepped
// down and leads again, and d, which has joined, is not reached, and may let it acknowledge commits.
func TestEarlierStepDownIsNoReasonToPromote(t *testing.T) {
	e := newStoppableEngine(&recordingLock{acquired: make(chan struct{}), released: make(chan error, 1)})
	defer e.Close()
	var mu sync.Mutex
	stepDowns := 0
	exchange := func(name string, c Command) (Reply, error) {
		mu.Lock()
		defer mu.Unlock()
		status := leadership.Status{Role: leadership.RoleReplica, Term: 1, PausedTerm: 2, Received: api.Position{Term: 1, Offset: 5}}
		switch {
		case name == "d":
			return Reply{}, errNoAnswer
		case name == "a" && c.Op == OpStepDown:
			if stepDowns++; stepDowns > 1 {
				return Reply{}, errNoAnswer
			}
			status.PausedTerm = 0
		case name == "a":
			status.Role, status.PausedTerm = leadership.RolePrimary, 0
		}
		return Reply{Status: status}, nil
	}
	targets := namedTargets{}
	for _, name := range []string{"a", "b", "c", "d"} {
		targets[name] = &fakeTarget{exchange: func(_ *fakeConnection, c Command) (Reply, error) { return exchange(name, c) }}
	}
	order := &orderTime{}
	e.options.Promoter, e.options.TargetLister = order, &joiningLister{}
	g := e.groups["g"]
	g.dialer = targets
	for _, m := range g.members {
		m.control.dialer = targets
	}
	g.runStatusRound()
	e.takeOver(g, takeover.ReasonStalled)
	if order.at != 0 || stepDowns < 2 {
		t.Errorf("got a promotion ordered at %s after %d orders to step down, want none ordered after two", order.at, stepDowns)
	}
}

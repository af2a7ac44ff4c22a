package engine

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

// slowLister answers the second list late, and calls meanwhile before it does.
type slowLister struct {
	lists     int
	meanwhile func()
}

func (l *slowLister) ListTargets(context.Context, string) ([]Target, error) {
	if l.lists++; l.lists > 1 {
		time.Sleep(100 * time.Millisecond)
		l.meanwhile()
	}
	return nil, nil
}

// TestReplicaThatRestartsDuringTheListIsNotPromotedBeside guards against a promotion after a check of the pauses that is as old as a
// slow store makes it: the replica c restarts, which ends its pause, while the targets are listed.
func TestReplicaThatRestartsDuringTheListIsNotPromotedBeside(t *testing.T) {
	e := newStoppableEngine(&recordingLock{acquired: make(chan struct{}), released: make(chan error, 1)})
	defer e.Close()
	var restarted atomic.Bool
	targets := namedTargets{}
	for _, name := range []string{"a", "b", "c"} {
		targets[name] = &fakeTarget{exchange: func(_ *fakeConnection, c Command) (Reply, error) {
			status := leadership.Status{Role: leadership.RoleReplica, Term: 1, PausedTerm: 2, Received: api.Position{Term: 1, Offset: 5}}
			if name == "c" && restarted.Load() {
				status.PausedTerm = 0
			}
			return Reply{Status: status}, nil
		}}
	}
	order := &orderTime{}
	e.options.Promoter, e.options.TargetLister = order, &slowLister{meanwhile: func() { restarted.Store(true) }}
	g := e.groups["g"]
	for _, m := range g.members {
		m.control.dialer = targets
	}
	e.takeOver(g, takeover.ReasonNoPrimary)
	if !restarted.Load() || order.at != 0 {
		t.Errorf("got a second list %t and an order at %s, want no order after the restart", restarted.Load(), order.at)
	}
}

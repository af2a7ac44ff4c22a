package engine

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

// recordingLock grants the lock and records its release.
type recordingLock struct {
	acquired chan struct{}
	released chan error
}

func (l *recordingLock) Acquire(context.Context, string, takeover.OldPrimary) (takeover.Hold, error) {
	close(l.acquired)
	return takeover.Hold{Token: 1, Until: clock.SinceBoot() + time.Minute}, nil
}

func (l *recordingLock) Release(ctx context.Context, _ string, _ uint64) { l.released <- ctx.Err() }

func (*recordingLock) Observe(context.Context, string) error { return nil }

func (l *recordingLock) SettledTerm(context.Context, string) (uint64, error) {
	return 0, errHeldElsewhere
}

// newStoppableEngine returns an engine whose group has lost its primary a, while b and c can be paused.
func newStoppableEngine(lock PromotionLock) *Engine {
	target := &fakeTarget{}
	target.exchange = func(_ *fakeConnection, c Command) (Reply, error) {
		status := leadership.Status{Role: leadership.RoleReplica, Term: 1, Received: api.Position{Term: 1, Offset: 5}}
		if c.Op == OpPause {
			status.PausedTerm = c.Term
		}
		return Reply{Status: status}, nil
	}
	e := New(Options{Zone: "z", Dialer: target, DrainTimeout: time.Hour, PromotionLock: lock})
	e.directoryFailed.Store(int64(clock.SinceBoot() - removalGrace))
	g := newGroup("g", e.options, e.isDirectorySettled)
	e.mu.Lock()
	e.groups["g"] = g
	e.mu.Unlock()
	g.setLimits(GroupLimits{MaxConnections: 30, SyncReplicas: 1}, daemonsNamed(1))
	for _, name := range []string{"a", "b", "c"} {
		g.setTarget(Target{Name: name, Group: "g", Slots: 5, Zone: "z"})
	}
	return e
}

// TestPlannedStopReleasesThePromotionLock stops a daemon in the middle of a promotion: it must release the lock before it
// ends, with a context that is still valid. Otherwise the others wait until the hold has expired.
func TestPlannedStopReleasesThePromotionLock(t *testing.T) {
	lock := &recordingLock{acquired: make(chan struct{}), released: make(chan error, 1)}
	e := newStoppableEngine(lock)
	go e.takeOver(e.groups["g"], takeover.ReasonNoPrimary)
	<-lock.acquired
	e.Close()
	select {
	case err := <-lock.released:
		if err != nil {
			t.Errorf("the lock was released with a context that has ended: %v", err)
		}
	default:
		t.Error("the engine was closed before the lock was released")
	}
}

// errHeldElsewhere stands for a lock that another daemon holds.
var errHeldElsewhere = errors.New("held by another daemon")

// countingLock counts attempts.
type countingLock struct{ attempts int }

func (l *countingLock) Acquire(context.Context, string, takeover.OldPrimary) (takeover.Hold, error) {
	l.attempts++
	return takeover.Hold{}, errHeldElsewhere
}

func (l *countingLock) Release(context.Context, string, uint64) {}

func (*countingLock) Observe(context.Context, string) error { return nil }

func (l *countingLock) SettledTerm(context.Context, string) (uint64, error) {
	return 0, errHeldElsewhere
}

// TestStoppingDaemonBeginsNoPromotion asks a daemon that stops to replace a primary.
func TestStoppingDaemonBeginsNoPromotion(t *testing.T) {
	lock := &countingLock{}
	e := newStoppableEngine(lock)
	defer e.Close()
	e.stopping.Store(true)
	e.takeOver(e.groups["g"], takeover.ReasonNoPrimary)
	if lock.attempts != 0 {
		t.Errorf("got %d attempts to take the promotion lock, want none", lock.attempts)
	}
}

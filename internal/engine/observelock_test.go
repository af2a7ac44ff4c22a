package engine

import (
	"context"
	"testing"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

// observingLock counts the looks at the record of a lock that is held elsewhere.
type observingLock struct {
	heldLock
	looks int
}

func (l *observingLock) Observe(context.Context, string) error {
	l.looks++
	return nil
}

// TestLockIsObservedBeforeTheEntriesAreKnown guards against a wait for the hold of a daemon that has ended which begins
// only once the daemon may promote.
func TestLockIsObservedBeforeTheEntriesAreKnown(t *testing.T) {
	lock := &observingLock{}
	e := newStoppableEngine(lock)
	defer e.Close()
	e.directoryFailed.Store(int64(clock.SinceBoot()))
	e.takeOver(e.groups["g"], takeover.ReasonNoPrimary)
	if lock.looks != 1 {
		t.Errorf("the entries are not known yet: got %d looks at the record of the lock, want one", lock.looks)
	}
}

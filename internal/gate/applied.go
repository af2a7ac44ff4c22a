package gate

import (
	"context"
	"sync"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/observer"
	"github.com/papayacove/papayacove/internal/target"
)

const (
	// appliedCallWait is the time for which one status call waits at a replica until it applies a record.
	appliedCallWait = 40 * time.Millisecond
	// appliedCallTimeout is the time that such a call may take in addition to appliedCallWait.
	appliedCallTimeout = 300 * time.Millisecond
)

// appliedWatch waits until a replica has applied given positions. All waiters share one status call at a time. It is
// safe for concurrent use.
type appliedWatch struct {
	spec     api.TargetSpec
	options  target.Options
	observer *observer.Observer
	wake     chan struct{}

	mu      sync.Mutex
	waiters map[*appliedWaiter]struct{}
}

// appliedWaiter is one call of wait; done is closed once the replica has applied minPosition.
type appliedWaiter struct {
	minPosition api.Position
	done        chan struct{}
}

func newAppliedWatch(spec api.TargetSpec, options target.Options, o *observer.Observer) *appliedWatch {
	return &appliedWatch{
		spec: spec, options: options, observer: o,
		wake: make(chan struct{}, 1), waiters: make(map[*appliedWaiter]struct{}),
	}
}

// wait reports whether the replica applied the position within the limit and before ctx ended.
func (w *appliedWatch) wait(ctx context.Context, minPosition api.Position, limit time.Duration) bool {
	waiter := &appliedWaiter{minPosition: minPosition, done: make(chan struct{})}
	w.mu.Lock()
	w.waiters[waiter] = struct{}{}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-waiter.done:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.waiters, waiter)
	return false
}

// run makes status calls while there are waiters, until ctx ends.
func (w *appliedWatch) run(ctx context.Context) {
	var control *target.Control
	for {
		lowest, any := w.lowest()
		if !any {
			select {
			case <-ctx.Done():
				closeControl(control)
				return
			case <-w.wake:
			}
			continue
		}
		control = w.callStatus(ctx, control, lowest)
		if ctx.Err() != nil {
			closeControl(control)
			return
		}
	}
}

func closeControl(control *target.Control) {
	if control != nil {
		_ = control.Close()
	}
}

// lowest returns the lowest offset that is waited for, and whether there is any waiter.
func (w *appliedWatch) lowest() (uint64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var lowest uint64
	first := true
	for waiter := range w.waiters {
		if first || waiter.minPosition.Offset < lowest {
			lowest = waiter.minPosition.Offset
			first = false
		}
	}
	return lowest, !first
}

// callStatus makes one status call and returns the connection for the next call, or nil after a failure.
func (w *appliedWatch) callStatus(ctx context.Context, control *target.Control, offset uint64) *target.Control {
	ctx, cancel := context.WithTimeout(ctx, appliedCallTimeout+appliedCallWait)
	defer cancel()
	if control == nil {
		opened, err := target.DialControl(ctx, w.spec.Address, w.options)
		if err != nil {
			_ = clock.Sleep(ctx, slotRetryInterval)
			return nil
		}
		control = opened
	}
	asked := time.Now()
	status, err := control.StatusApplied(ctx, offset, appliedCallWait)
	if err != nil {
		closeControl(control)
		return nil
	}
	w.observer.RecordStatus(w.spec.Name, status, asked)
	if !w.release(status.AppliedPosition()) {
		// The call waits by offset alone, so it returns at once when a waiter's offset is reached and its term is
		// not; the pause keeps such calls from repeating in a tight loop.
		_ = clock.Sleep(ctx, slotRetryInterval)
	}
	return control
}

// release ends the waits for positions up to applied and reports whether there were any.
func (w *appliedWatch) release(applied api.Position) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	released := false
	for waiter := range w.waiters {
		if applied.Compare(waiter.minPosition) >= 0 {
			delete(w.waiters, waiter)
			close(waiter.done)
			released = true
		}
	}
	return released
}

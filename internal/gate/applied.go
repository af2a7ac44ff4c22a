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
	// appliedPark is the time that one status call waits at a replica for it to apply a record.
	appliedPark = 40 * time.Millisecond
	// appliedCallTimeout bounds such a call beyond that time.
	appliedCallTimeout = 300 * time.Millisecond
)

// appliedWatch waits for a replica to apply positions, with one status call for all waiters.
type appliedWatch struct {
	spec     api.TargetSpec
	options  target.Options
	observer *observer.Observer
	kick     chan struct{}

	mu      sync.Mutex
	waiters map[*appliedWaiter]struct{}
}

// appliedWaiter waits for one position.
type appliedWaiter struct {
	floor api.Position
	done  chan struct{}
}

func newAppliedWatch(spec api.TargetSpec, options target.Options, o *observer.Observer) *appliedWatch {
	return &appliedWatch{
		spec: spec, options: options, observer: o,
		kick: make(chan struct{}, 1), waiters: make(map[*appliedWaiter]struct{}),
	}
}

// wait returns whether the replica applied the position within the limit.
func (w *appliedWatch) wait(ctx context.Context, floor api.Position, limit time.Duration) bool {
	waiter := &appliedWaiter{floor: floor, done: make(chan struct{})}
	w.mu.Lock()
	w.waiters[waiter] = struct{}{}
	w.mu.Unlock()
	select {
	case w.kick <- struct{}{}:
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

// run makes the status calls until ctx ends.
func (w *appliedWatch) run(ctx context.Context) {
	var control *target.Control
	for {
		lowest, any := w.lowest()
		if !any {
			select {
			case <-ctx.Done():
				closeControl(control)
				return
			case <-w.kick:
			}
			continue
		}
		control = w.ask(ctx, control, lowest)
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

// lowest returns the lowest offset that is waited for.
func (w *appliedWatch) lowest() (uint64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var lowest uint64
	first := true
	for waiter := range w.waiters {
		if first || waiter.floor.Offset < lowest {
			lowest = waiter.floor.Offset
			first = false
		}
	}
	return lowest, !first
}

// ask makes one status call and returns the connection for the next one; nil after a failure.
func (w *appliedWatch) ask(ctx context.Context, control *target.Control, offset uint64) *target.Control {
	ctx, cancel := context.WithTimeout(ctx, appliedCallTimeout+appliedPark)
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
	status, err := control.StatusApplied(ctx, offset, appliedPark)
	if err != nil {
		closeControl(control)
		return nil
	}
	w.observer.Report(w.spec.Name, status, asked)
	if !w.release(status.AppliedPosition()) {
		// A position of a later term with a low offset is answered at once, again and again.
		_ = clock.Sleep(ctx, slotRetryInterval)
	}
	return control
}

// release ends the waits that are over and reports whether there were any.
func (w *appliedWatch) release(applied api.Position) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	released := false
	for waiter := range w.waiters {
		if applied.Compare(waiter.floor) >= 0 {
			delete(w.waiters, waiter)
			close(waiter.done)
			released = true
		}
	}
	return released
}

package promotionlock

import (
	"context"
	"fmt"

	"github.com/papayacove/papayacove/internal/policy/takeover"
)

// Settle has the record of a lock state the term to which the last promotion of a group led, if it does not. prove
// returns that term, proved by statuses that were asked for while the lock is held, or false. It fails with
// ErrNotSettled unless the record has not changed for takeoverDelay: an order of the last holder may still take effect
// before.
func (l *Locks) Settle(ctx context.Context, group string, prove func() (term uint64, ok bool)) error {
	return l.of(group).settle(ctx, prove)
}

func (l *lock) settle(ctx context.Context, prove func() (uint64, bool)) error {
	isSettled, err := l.observe(ctx)
	if isSettled || err != nil {
		return err
	}
	if _, err := l.acquire(ctx, takeover.OldPrimary{}); err != nil {
		return err
	}
	term, ok := prove()
	if !ok || !l.isAcquiredFromObserved() {
		l.release(context.WithoutCancel(ctx), takeover.NothingOrdered)
		return ErrNotSettled
	}
	l.release(context.WithoutCancel(ctx), term)
	return nil
}

// observe reports whether the record states a term. It fails with ErrNotSettled if it has not been the same for
// takeoverDelay.
func (l *lock) observe(ctx context.Context) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	record, err := l.read(ctx)
	if err != nil {
		return false, err
	}
	if stored, err := storedIn(record); err == nil && settledTermOf(record, stored) != 0 {
		return true, nil
	}
	if age := l.unsettled.age(record, l.now()); age < takeoverDelay {
		return false, fmt.Errorf("%w: version %d is seen since %s", ErrNotSettled, record.Version, age)
	}
	return false, nil
}

// isAcquiredFromObserved reports whether the lock was acquired while its record was the observed one.
func (l *lock) isAcquiredFromObserved() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return isSame(l.unsettled.record, l.before)
}

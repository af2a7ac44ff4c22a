package database

import (
	"context"
	"time"

	"zombiezen.com/go/sqlite"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/target"
)

// applyRetryDelay is the delay before another attempt to apply a record that could not be applied.
const applyRetryDelay = 200 * time.Millisecond

// applyLoop applies received records once their lag has passed, until the target stops.
func (t *Target) applyLoop() {
	for t.ctx.Err() == nil {
		changed := t.watch()
		more, err := t.applyNext(false)
		if err != nil {
			t.log.WithError(err).Error("apply")
			t.pause(applyRetryDelay)
			continue
		}
		if more {
			continue
		}
		select {
		case <-changed:
		case <-t.ctx.Done():
		}
	}
}

// applyAll applies all received records without waiting for their lag.
func (t *Target) applyAll() error {
	for {
		more, err := t.applyNext(true)
		if err != nil || !more {
			return err
		}
	}
}

// applyNext applies the record after the applied position, after its lag unless ignoreLag is set. It
// reports whether the caller has to call it again: false if there is no such record or the target is a
// primary, true after a record and if a change of the target ended the wait for the lag.
func (t *Target) applyNext(ignoreLag bool) (bool, error) {
	received, applied := t.positions()
	if applied.Offset >= received.Offset || t.snapshot().Role == target.RolePrimary {
		return false, nil
	}
	entries, err := t.store.entriesAfter(applied.Offset, 1)
	if err != nil || len(entries) == 0 {
		return false, err
	}
	if !ignoreLag && !t.awaitLag(entries[0].committedAt(), Faults.lag) {
		return true, nil
	}
	return true, t.applyEntry(entries[0])
}

// applyEntry replays the record and advances the applied position in one transaction. It does
// nothing if another goroutine has applied or truncated the record in the meantime.
func (t *Target) applyEntry(e entry) error {
	return t.store.withWriteLock(func(c *sqlConn) error {
		_, applied := t.positions()
		stored, err := isStored(c, e.position())
		if err != nil || !stored || applied.Offset+1 != e.Offset {
			return err
		}
		err = c.inTransaction(func() error {
			if err := replay(c, e); err != nil {
				return err
			}
			return setApplied(c, e.Offset)
		})
		if err != nil {
			return err
		}
		t.setApplied(e.position())
		return nil
	})
}

// isStored reports whether the log still has a record at p.
func isStored(c *sqlConn, p api.Position) (bool, error) {
	found := false
	err := c.query(selectTerm, func(stmt *sqlite.Stmt) error {
		found = uint64(stmt.ColumnInt64(0)) == p.Term
		return nil
	}, intDatum(int64(p.Offset)))
	return found, err
}

// awaitLag waits until the lag has passed since at. It returns false if the target's state changed
// or the target stopped before that, so that the caller checks the state again.
func (t *Target) awaitLag(at time.Time, lag func(Faults) time.Duration) bool {
	changed := t.watch()
	left := time.Until(at.Add(lag(t.Faults())))
	if left <= 0 {
		return true
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-changed:
		return false
	case <-t.ctx.Done():
		return false
	}
}

// pause waits for d, or until the target stops.
func (t *Target) pause(d time.Duration) {
	ctx, cancel := context.WithTimeout(t.ctx, d)
	defer cancel()
	<-ctx.Done()
}

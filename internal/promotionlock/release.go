package promotionlock

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

const (
	// releaseRetryInterval is the time between two attempts to release a lock, releaseAttempts their number.
	releaseRetryInterval = 500 * time.Millisecond
	releaseAttempts      = 60
)

// release stores that the lock is free, with the term as Release expects it, unless the store has been restored since:
// another daemon may have acquired the lock at the same version.
func (l *lock) release(ctx context.Context, term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if term == takeover.NothingOrdered {
		term = l.settledTerm
	}
	held := l.held
	l.held = api.Object{}
	if held.Version == 0 {
		return
	}
	log := logrus.WithFields(logrus.Fields{logfield.Group: l.group, logfield.Version: held.Version, logfield.Era: held.Era})
	if era, _ := l.eras.Known(); era != held.Era {
		log.WithField(logfield.Known, era).Info(logevent.DutyNotReleased)
		return
	}
	if err := l.writeReleased(ctx, held, term); err != nil {
		log.WithField(logfield.Error, err).Info(logevent.DutyNotReleased)
		if !errors.Is(err, ErrHeld) {
			go l.releaseLater(ctx, held, term)
		}
		return
	}
	log.Info(logevent.DutyReleased)
}

// writeReleased stores that the lock is free, if it still has the record of the hold. The caller holds mu.
func (l *lock) writeReleased(ctx context.Context, held api.Object, term uint64) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := l.write(ctx, held, api.DutyRecord{Term: term})
	return err
}

// releaseLater repeats a release that the store did not answer: until the record states the term of the promotion, daemons
// have no leadership proof while a target is silent. It ends when the record has changed or the lock is acquired again.
func (l *lock) releaseLater(ctx context.Context, held api.Object, term uint64) {
	for range releaseAttempts {
		if clock.Sleep(ctx, releaseRetryInterval) != nil || l.hasReleased(ctx, held, term) {
			return
		}
	}
}

// hasReleased makes one attempt of releaseLater, and reports whether it was the last one.
func (l *lock) hasReleased(ctx context.Context, held api.Object, term uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if era, _ := l.eras.Known(); l.held.Version != 0 || era != held.Era {
		return true
	}
	err := l.writeReleased(ctx, held, term)
	fields := logrus.Fields{logfield.Group: l.group, logfield.Version: held.Version, logfield.Era: held.Era}
	if err == nil {
		logrus.WithFields(fields).Info(logevent.DutyReleased)
		return true
	}
	logrus.WithFields(fields).WithField(logfield.Error, err).Debug(logevent.DutyNotReleased)
	return errors.Is(err, ErrHeld)
}

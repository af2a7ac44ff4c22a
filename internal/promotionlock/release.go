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
	if !l.hasReleased(ctx, held, term, logrus.InfoLevel) {
		go l.releaseLater(ctx, held, term)
	}
}

// hasReleased makes one attempt to release a hold, and reports whether it was the last one: the store has answered, the
// record has changed, or the store was restored. A failure is logged at a level. The caller holds mu.
func (l *lock) hasReleased(ctx context.Context, held api.Object, term uint64, level logrus.Level) bool {
	log := logrus.WithFields(logrus.Fields{logfield.Group: l.group, logfield.Version: held.Version, logfield.Era: held.Era})
	if era, _ := l.eras.Known(); era != held.Era {
		log.WithField(logfield.Known, era).Log(level, logevent.DutyNotReleased)
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := l.write(ctx, held, api.DutyRecord{Term: term, OldPrimary: l.old.Name, OldTerm: l.old.Term}); err != nil {
		log.WithField(logfield.Error, err).Log(level, logevent.DutyNotReleased)
		return errors.Is(err, ErrHeld)
	}
	log.Info(logevent.DutyReleased)
	return true
}

// releaseLater repeats a release that the store did not answer: until the record states the term of the promotion,
// daemons have no leadership proof while a target is silent. It ends when the record has changed or the lock is
// acquired again.
func (l *lock) releaseLater(ctx context.Context, held api.Object, term uint64) {
	for range releaseAttempts {
		if clock.Sleep(ctx, releaseRetryInterval) != nil || l.hasReleasedLater(ctx, held, term) {
			return
		}
	}
}

// hasReleasedLater is hasReleased for a hold that has ended, and the last attempt too if the lock is held again.
func (l *lock) hasReleasedLater(ctx context.Context, held api.Object, term uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held.Version != 0 || l.hasReleased(ctx, held, term, logrus.DebugLevel)
}

// Package promotionlock implements the lock that lets one daemon at a time order promotions.
//
// The lock is one record in the object store, which a daemon acquires by a conditional update. The version of the
// record is the fencing token, so it rises with each holder. A holder may order promotions for Validity, counted from
// just before its update; another daemon acquires the lock after its release, or after it has observed the same version
// for a longer time.
package promotionlock

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/objectstore"
)

const (
	// Validity is the time for which a holder may order promotions, from just before its update.
	Validity = 4 * time.Second
	// takeoverDelay is the time after which the lock may be acquired although its record names a holder, if the version of
	// the record has not changed: Validity, and a reserve for the holder's last order, which may still be in transit.
	takeoverDelay = Validity + time.Second
	// minShareTime is the remaining validity that another promotion of the holder needs in order to share the lock. The
	// lock is not renewed while a promotion uses it: that would change the token, and an order with a lower token must
	// not be sent after one with a higher token.
	minShareTime = 2 * time.Second
	// storeTimeout bounds the calls to the object store for one acquisition or release.
	storeTimeout = 1500 * time.Millisecond
)

// The kind and name of the record in the object store.
const (
	Kind = "papayacove-duty"
	Name = "failover"
)

// ErrHeld means that the lock is held by another daemon, or expires too soon to be shared.
var ErrHeld = errors.New("promotion lock is held")

// Lock is one daemon's handle of the promotion lock. It is safe for concurrent use.
type Lock struct {
	objects objectstore.Objects
	holder  string

	mu sync.Mutex
	// users is the number of promotions that use the lock now.
	users int
	token uint64
	// until is the time, of the boot clock, at which the hold of this daemon expires.
	until time.Duration
	// observed is the version of the record of another holder, first observed at observedAt.
	observed   uint64
	observedAt time.Duration
}

// New returns the handle of the daemon named holder. The lock is not acquired.
func New(objects objectstore.Objects, holder string) *Lock {
	return &Lock{objects: objects, holder: holder}
}

// Acquire acquires the lock and returns its fencing token and the time, of the boot clock, until which it is held. It
// fails with ErrHeld if the lock is held. Several promotions of one daemon share the lock; each has to call Release.
func (l *Lock) Acquire(ctx context.Context) (uint64, time.Duration, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.users > 0 {
		if l.until-clock.SinceBoot() < minShareTime {
			return 0, 0, fmt.Errorf("%w: by this daemon, with too little time left to share it", ErrHeld)
		}
		l.users++
		return l.token, l.until, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	record, err := l.read(ctx)
	if err != nil {
		return 0, 0, err
	}
	if err := l.checkHolder(record); err != nil {
		return 0, 0, err
	}
	if err := l.write(ctx, record, true); err != nil {
		return 0, 0, err
	}
	l.users++
	logrus.WithFields(logrus.Fields{logfield.Token: l.token}).Info(logevent.DutyTaken)
	return l.token, l.until, nil
}

// read returns the record; its version is 0 if there is none.
func (l *Lock) read(ctx context.Context) (api.Object, error) {
	record, err := l.objects.Get(ctx, Kind, Name)
	if errors.Is(err, objectstore.ErrNotFound) {
		return api.Object{Kind: Kind, Name: Name}, nil
	}
	if err != nil {
		return api.Object{}, fmt.Errorf("read promotion lock: %w", err)
	}
	return record, nil
}

// checkHolder fails with ErrHeld while another daemon may order promotions. The caller holds mu.
func (l *Lock) checkHolder(record api.Object) error {
	if record.Version == 0 {
		return nil
	}
	var stored api.DutyRecord
	if err := json.Unmarshal(record.Data, &stored); err != nil {
		logrus.WithField(logfield.Error, err).Warn(logevent.DutyUnreadable)
	}
	if stored.Holder == "" || stored.Holder == l.holder {
		return nil
	}
	now := clock.SinceBoot()
	if l.observed != record.Version {
		l.observed, l.observedAt = record.Version, now
	}
	if now-l.observedAt < takeoverDelay {
		return fmt.Errorf("%w: by %s since version %d", ErrHeld, stored.Holder, record.Version)
	}
	return nil
}

// write stores this daemon as the holder, or no holder if hold is false. It fails with ErrHeld if the update took effect
// and another daemon has changed the record since. The caller holds mu.
func (l *Lock) write(ctx context.Context, record api.Object, hold bool) error {
	stored := api.DutyRecord{}
	if hold {
		stored.Holder = l.holder
	}
	data, err := json.Marshal(stored)
	if err != nil {
		return fmt.Errorf("encode promotion lock: %w", err)
	}
	record.Data = data
	sentAt := clock.SinceBoot()
	applied, err := objectstore.Apply(ctx, l.objects, record, changeID())
	if err != nil {
		return fmt.Errorf("write promotion lock: %w", err)
	}
	if applied.Overwritten {
		return fmt.Errorf("%w: by another daemon since version %d", ErrHeld, applied.Object.Version)
	}
	l.token, l.until = applied.Object.Version, sentAt+Validity
	return nil
}

// changeID returns an ID by which an update whose answer was lost is recognized.
func changeID() string { return strconv.FormatUint(rand.Uint64(), 36) }

// Release ends one use of the lock, and releases the lock after the last one. A failure is only logged, because the
// lock expires anyway.
func (l *Lock) Release(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.users--
	if l.users > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	record := api.Object{Kind: Kind, Name: Name, Version: l.token}
	if err := l.write(ctx, record, false); err != nil {
		logrus.WithField(logfield.Error, err).Info(logevent.DutyNotReleased)
		return
	}
	logrus.WithField(logfield.Token, l.token).Info(logevent.DutyReleased)
}

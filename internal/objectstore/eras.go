package objectstore

import (
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
)

// ErrRestored means that the store was restored from a copy since the last answer: changes may be gone, and revisions
// are given out again. The caller has to list again.
var ErrRestored = errors.New("store restored from a copy")

// errPastEra means that an answer is from before the store was restored.
var errPastEra = errors.New("answer from before the store was restored")

// Eras records the era of a store, which rises by one each time that the store comes back from a copy. Versions and
// revisions are comparable only within one era. The zero value knows no era. It is safe for concurrent use.
type Eras struct {
	mu    sync.Mutex
	known uint64
	// since is the time of the boot clock of the first answer of the known era; 0 before the first answer.
	since time.Duration
	// hasLogged is true once an answer without a valid era has been logged.
	hasLogged bool
}

// Known returns the newest known era, 0 for none, and the time of the boot clock of its first answer, 0 before the first
// answer.
func (e *Eras) Known() (era uint64, since time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known, e.since
}

// Accept returns the era of an answer whose header names the given era. The request was sent when sentIn was known. An
// answer of an earlier era than the known one is refused if it may be from before the restore, because it was asked for
// before or may be stale. Any other answer without a valid era counts as one of the known era.
func (e *Eras) Accept(header string, sentIn uint64, mayBeStale bool) (uint64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.since == 0 {
		e.since = clock.SinceBoot()
	}
	era, err := strconv.ParseUint(header, 10, 64)
	switch {
	case err == nil && era >= e.known:
		e.advance(era)
		return era, nil
	case err == nil && (sentIn < e.known || mayBeStale):
		logrus.WithFields(logrus.Fields{logfield.Era: era, logfield.Known: e.known}).Warn(logevent.PlatformAnswerDropped)
		return 0, fmt.Errorf("%w: era %d after %d", errPastEra, era, e.known)
	}
	if !e.hasLogged {
		e.hasLogged = true
		logrus.WithFields(logrus.Fields{logfield.Era: header, logfield.Known: e.known}).Warn(logevent.PlatformEraInvalid)
	}
	return e.known, nil
}

// advance records a newer era. The caller holds the lock.
func (e *Eras) advance(era uint64) {
	if era == e.known {
		return
	}
	if e.known != 0 {
		logrus.WithFields(logrus.Fields{logfield.Era: era, logfield.Before: e.known}).Warn(logevent.PlatformRestored)
		e.since = clock.SinceBoot()
	}
	e.known = era
}

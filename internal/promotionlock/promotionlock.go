// Package promotionlock implements the lock that lets one daemon at a time order promotions of a group.
//
// The lock of a group is one record in the object store, which a daemon acquires by a conditional update. The version of
// the record is the fencing token, so it rises with each holder. A holder may order promotions for Validity, counted
// from just before its update; another daemon acquires the lock after its release, or after it has observed the same
// version for a longer time.
//
// A store that comes back from a copy has lost what it acknowledged in the last seconds: a record that says that the
// lock is free, or held by an earlier holder, may be one that a holder of today has replaced. A record therefore counts
// only in the era in which it was written. In a later era the lock is acquired after the time in which every earlier hold
// ends. The era is the high part of the token, so that tokens rise although the store gives versions out again.
//
// The record of a lock that is free states the term to which the last promotion under it led. Whoever reads it knows
// that nobody has begun a later one. The term is 0 when it is not known: a holder that has not released the lock may
// have ordered a promotion, and daemons of older versions release it without a term.
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
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

const (
	// Validity is the time for which a holder may order promotions, from just before its update.
	Validity = 4 * time.Second
	// takeoverDelay is the time after which the lock may be acquired although its record names a holder, if the version of
	// the record has not changed: Validity, and a reserve for the holder's last order, which may still be in transit.
	takeoverDelay = Validity + time.Second
	// storeTimeout bounds the calls to the object store for one acquisition or release.
	storeTimeout = 1500 * time.Millisecond
	// versionBits is the number of low bits of a token that hold the version; the rest holds the era. Tokens stay exact
	// as floating-point numbers, up to era 8191.
	versionBits = 40
)

// Kind is the kind of the records in the object store. Their names are those of the groups.
const Kind = "papayacove-duty"

// ErrHeld means that the lock is, or may be, held by another daemon.
var ErrHeld = errors.New("promotion lock is held")

// ErrNotSettled means that the term to which the last promotion of a group led is not known.
var ErrNotSettled = errors.New("the term of the last promotion is not known")

// EraSource reports the era of the object store.
type EraSource interface {
	// Known returns the newest known era, 0 if the store states none, and the time of the boot clock of its first answer,
	// 0 before the first answer.
	Known() (era uint64, since time.Duration)
}

// Locks holds one daemon's handles of the locks of all groups. It is safe for concurrent use.
type Locks struct {
	objects objectstore.Objects
	eras    EraSource
	holder  string
	// now returns the time of the boot clock.
	now func() time.Duration

	// unreadable logs the records that cannot be read.
	unreadable objectstore.UnreadableLog

	mu     sync.Mutex
	groups map[string]*lock
}

// lock is the handle of the lock of one group.
type lock struct {
	*Locks
	group string

	mu sync.Mutex
	// held is the record of this daemon's hold; its version is 0 when there is none.
	held api.Object
	// before is the record as it was when the lock was acquired, settledTerm the term that it stated; 0 if it was not
	// known.
	before      api.Object
	settledTerm uint64
	// old is the primary that the record of the hold states.
	old takeover.OldPrimary
	// unsettled is a record that states no term.
	unsettled sighting
	// hasTried is true once this start of the daemon has written that it holds the lock. Before, a record with its name is
	// that of an earlier start, whose last order may still be in transit.
	hasTried bool
	// observed is the record of another holder.
	observed sighting
}

// sighting is a record, and when it was first seen.
type sighting struct {
	isSeen bool
	record api.Object
	at     time.Duration
}

// age returns for how long a record, which is seen at now, has been the same.
func (s *sighting) age(record api.Object, now time.Duration) time.Duration {
	if !s.isSeen || !isSame(s.record, record) {
		*s = sighting{true, record, now}
	}
	return now - s.at
}

func isSame(a, b api.Object) bool { return a.Version == b.Version && a.Era == b.Era }

// New returns the handles of the daemon named holder. No lock is acquired.
func New(objects objectstore.Objects, eras EraSource, holder string) *Locks {
	return &Locks{objects: objects, eras: eras, holder: holder, now: clock.SinceBoot, groups: make(map[string]*lock)}
}

func (l *Locks) of(group string) *lock {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.groups[group]
	if !ok {
		known = &lock{Locks: l, group: group}
		l.groups[group] = known
	}
	return known
}

// Acquire acquires the lock of a group. The record states the primary to be replaced, or goes on with that of the last
// hold if old is empty. It fails with ErrHeld if another daemon holds the lock or may hold it.
func (l *Locks) Acquire(ctx context.Context, group string, old takeover.OldPrimary) (takeover.Hold, error) {
	return l.of(group).acquire(ctx, old)
}

// Observe reads the record of a group. If it names a holder, the wait until the lock may be acquired nevertheless
// begins, and not with the first attempt to acquire it.
func (l *Locks) Observe(ctx context.Context, group string) error {
	observed := l.of(group)
	observed.mu.Lock()
	defer observed.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	record, err := observed.read(ctx)
	if err == nil {
		observed.observed.age(record, l.now())
	}
	return err
}

// Release releases the lock of a group. A failure is only logged, because the lock expires anyway. The term is that to
// which the last promotion ordered under the lock led, 0 if the outcome of an order is unknown, and
// takeover.NothingOrdered if none was sent.
func (l *Locks) Release(ctx context.Context, group string, term uint64) {
	l.of(group).release(ctx, term)
}

// SettledTerm reads from the store to which term the last promotion of a group led; takeover.NothingOrdered if none was
// begun since the store exists, which was never restored. It fails with ErrHeld if the lock may be held, and with
// ErrNotSettled if the term is not known.
func (l *Locks) SettledTerm(ctx context.Context, group string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	record, err := l.of(group).read(ctx)
	if err != nil {
		return 0, err
	}
	if record.Version == 0 && record.Era == 0 {
		return takeover.NothingOrdered, nil
	}
	stored, err := storedIn(record)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrHeld, err)
	}
	if stored.Holder != "" {
		return 0, fmt.Errorf("%w: by %s since version %d", ErrHeld, stored.Holder, record.Version)
	}
	term := settledTermOf(record, stored)
	if term == 0 {
		return 0, fmt.Errorf("%w: at version %d of era %d", ErrNotSettled, record.Version, record.Era)
	}
	return term, nil
}

// settledTermOf returns the term that a record states; 0 if it is of an earlier era of the store, or of a lock that is
// held.
func settledTermOf(record api.Object, stored api.DutyRecord) uint64 {
	if stored.Holder != "" || stored.Era != record.Era {
		return 0
	}
	return stored.Term
}

func (l *lock) acquire(ctx context.Context, old takeover.OldPrimary) (takeover.Hold, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	record, err := l.read(ctx)
	if err != nil {
		return takeover.Hold{}, err
	}
	stored, err := l.check(record)
	if err != nil {
		return takeover.Hold{}, err
	}
	if old.Name == "" {
		old = takeover.OldPrimary{Name: stored.OldPrimary, Term: stored.OldTerm}
	}
	l.hasTried = true
	sentAt := l.now()
	held, err := l.write(ctx, record, api.DutyRecord{Holder: l.holder, OldPrimary: old.Name, OldTerm: old.Term})
	if err != nil {
		return takeover.Hold{}, err
	}
	token, err := tokenOf(held)
	if err != nil {
		return takeover.Hold{}, err
	}
	l.held, l.before, l.settledTerm, l.old = held, record, settledTermOf(record, stored), old
	logrus.WithFields(logrus.Fields{
		logfield.Group: l.group, logfield.Token: token, logfield.Era: held.Era,
		logfield.OldPrimary: old.Name, logfield.Term: old.Term,
	}).Info(logevent.DutyTaken)
	return takeover.Hold{Token: token, Until: sentAt + Validity, Old: old}, nil
}

// tokenOf returns the fencing token of a hold.
func tokenOf(record api.Object) (uint64, error) {
	if record.Version >= 1<<versionBits {
		return 0, fmt.Errorf("version %d of the promotion lock does not fit a token", record.Version)
	}
	return record.Era<<versionBits | record.Version, nil
}

// read returns the record; its version is 0 if there is none.
func (l *lock) read(ctx context.Context) (api.Object, error) {
	record, err := l.objects.Get(ctx, Kind, l.group)
	if errors.Is(err, objectstore.ErrNotFound) {
		return api.Object{Kind: Kind, Name: l.group, Era: record.Era}, nil
	}
	if err != nil {
		return api.Object{}, fmt.Errorf("read promotion lock: %w", err)
	}
	return record, nil
}

// check returns what a record states. It fails with ErrHeld while another daemon, or an order of an earlier start of
// this one, may promote. The caller holds mu.
func (l *lock) check(record api.Object) (api.DutyRecord, error) {
	stored, err := storedIn(record)
	if err != nil {
		l.unreadable.Report(logevent.DutyUnreadable, Kind, l.group, err)
		stored = api.DutyRecord{Holder: unknownHolder, Era: record.Era}
	} else {
		l.unreadable.Clear(Kind, l.group)
	}
	now := l.now()
	if stored.Era != record.Era {
		// The store has been restored since the record was written, or no daemon has written one in this era.
		if _, since := l.eras.Known(); now-since < takeoverDelay {
			return stored, fmt.Errorf("%w: the store is in era %d since %s, and the record is of era %d",
				ErrHeld, record.Era, now-since, stored.Era)
		}
	}
	if stored.Holder == "" || stored.Holder == l.holder && l.hasTried {
		return stored, nil
	}
	if l.observed.age(record, now) < takeoverDelay {
		return stored, fmt.Errorf("%w: by %s since version %d", ErrHeld, stored.Holder, record.Version)
	}
	return stored, nil
}

// unknownHolder stands for the holder of a record that cannot be read: it may have replaced that of a daemon that still
// holds the lock.
const unknownHolder = "(unknown)"

// errNoDutyRecord means that an object is JSON, but none of a promotion lock.
var errNoDutyRecord = errors.New("a field of the promotion lock is missing")

// storedIn decodes a record. There is none at version 0, which counts as free.
func storedIn(record api.Object) (api.DutyRecord, error) {
	if record.Version == 0 {
		return api.DutyRecord{}, nil
	}
	var stored struct {
		Holder *string `json:"holder"`
		Era    *uint64 `json:"era"`
		Term   uint64  `json:"term"`

		OldPrimary string `json:"old_primary"`
		OldTerm    uint64 `json:"old_term"`
	}
	if err := json.Unmarshal(record.Data, &stored); err != nil {
		return api.DutyRecord{}, err
	}
	if stored.Holder == nil || stored.Era == nil {
		return api.DutyRecord{}, errNoDutyRecord
	}
	return api.DutyRecord{
		Holder: *stored.Holder, Era: *stored.Era, Term: stored.Term, OldPrimary: stored.OldPrimary, OldTerm: stored.OldTerm,
	}, nil
}

// write stores the holder, empty for none, and the term of a duty, and returns the record. It fails with ErrHeld if the
// update took effect and another daemon has changed the record since, or if it took effect in a later era than the one
// in which the record was read: the check of the record does not hold there. The caller holds mu.
func (l *lock) write(ctx context.Context, record api.Object, duty api.DutyRecord) (api.Object, error) {
	duty.Era = record.Era
	data, err := json.Marshal(duty)
	if err != nil {
		return api.Object{}, fmt.Errorf("encode promotion lock: %w", err)
	}
	before := record.Era
	record.Data = data
	applied, err := objectstore.Apply(ctx, l.objects, record, changeID())
	if err != nil {
		return api.Object{}, fmt.Errorf("write promotion lock: %w", err)
	}
	if applied.Overwritten {
		return api.Object{}, fmt.Errorf("%w: by another daemon since version %d", ErrHeld, applied.Object.Version)
	}
	if applied.Object.Era != before {
		return api.Object{}, fmt.Errorf("%w: the store was restored to era %d meanwhile", ErrHeld, applied.Object.Era)
	}
	return applied.Object, nil
}

// changeID returns an ID by which an update whose answer was lost is recognized.
func changeID() string { return strconv.FormatUint(rand.Uint64(), 36) }

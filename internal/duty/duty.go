// Package duty gives one daemon at a time the right to order promotions.
//
// The right is one record in the object store, taken by conditional update. Its version is the fencing token, which
// therefore rises with each holder. A holder acts for Validity from before its update; others wait
// until they have seen the same version for longer.
package duty

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
	// Validity is the time for which a holder may act after its update.
	Validity = 4 * time.Second
	// takeOverAfter is the time after which a version that has not changed no longer counts: Validity and
	// a reserve for the holder's last order, which may be on its way.
	takeOverAfter = Validity + time.Second
	// shareAbove is the rest of the validity that one more promotion needs. The token does not change
	// while a promotion uses it, since a lower one must not be sent after a higher one.
	shareAbove = 2 * time.Second
	// callTimeout bounds the taking of the duty.
	callTimeout = 1500 * time.Millisecond
)

// The kind and name of the record.
const (
	Kind = "papayacove-duty"
	Name = "failover"
)

// ErrHeld means that another daemon has the duty.
var ErrHeld = errors.New("another daemon has the duty")

// Duty is one daemon's view of the duty. It is safe for concurrent use.
type Duty struct {
	objects objectstore.Objects
	holder  string

	mu sync.Mutex
	// uses counts the promotions that rely on the duty now.
	uses  int
	token uint64
	until time.Duration
	// seen is the version of another holder, first seen at seenAt.
	seen   uint64
	seenAt time.Duration
}

// New returns the view of a daemon.
func New(objects objectstore.Objects, holder string) *Duty {
	return &Duty{objects: objects, holder: holder}
}

// Acquire takes the duty, or fails with ErrHeld. Several promotions of one daemon share it.
func (d *Duty) Acquire(ctx context.Context) (uint64, time.Duration, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.uses > 0 {
		if d.until-clock.Boot() < shareAbove {
			return 0, 0, fmt.Errorf("%w: by this daemon, and its time runs out", ErrHeld)
		}
		d.uses++
		return d.token, d.until, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	record, err := d.read(ctx)
	if err != nil {
		return 0, 0, err
	}
	if err := d.checkHolder(record); err != nil {
		return 0, 0, err
	}
	if err := d.write(ctx, record, true); err != nil {
		return 0, 0, err
	}
	d.uses++
	logrus.WithFields(logrus.Fields{logfield.Token: d.token}).Info(logevent.DutyTaken)
	return d.token, d.until, nil
}

// read returns the record; one of version 0 stands for none.
func (d *Duty) read(ctx context.Context) (api.Object, error) {
	record, err := d.objects.Get(ctx, Kind, Name)
	if errors.Is(err, objectstore.ErrNotFound) {
		return api.Object{Kind: Kind, Name: Name}, nil
	}
	if err != nil {
		return api.Object{}, fmt.Errorf("read duty: %w", err)
	}
	return record, nil
}

// checkHolder fails while another daemon may act.
func (d *Duty) checkHolder(record api.Object) error {
	if record.Version == 0 {
		return nil
	}
	var stored api.DutyRecord
	if err := json.Unmarshal(record.Data, &stored); err != nil {
		logrus.WithField(logfield.Error, err).Warn(logevent.DutyUnreadable)
	}
	if stored.Holder == "" || stored.Holder == d.holder {
		return nil
	}
	now := clock.Boot()
	if d.seen != record.Version {
		d.seen, d.seenAt = record.Version, now
	}
	if now-d.seenAt < takeOverAfter {
		return fmt.Errorf("%w: %s since version %d", ErrHeld, stored.Holder, record.Version)
	}
	return nil
}

// write stores this daemon, or nobody, as the holder.
func (d *Duty) write(ctx context.Context, record api.Object, hold bool) error {
	stored := api.DutyRecord{}
	if hold {
		stored.Holder = d.holder
	}
	data, err := json.Marshal(stored)
	if err != nil {
		return fmt.Errorf("encode duty: %w", err)
	}
	record.Data = data
	before := clock.Boot()
	applied, err := objectstore.Apply(ctx, d.objects, record, changeID())
	if err != nil {
		return fmt.Errorf("write duty: %w", err)
	}
	if applied.Overwritten {
		return fmt.Errorf("%w: version %d", ErrHeld, applied.Object.Version)
	}
	d.token, d.until = applied.Object.Version, before+Validity
	return nil
}

func changeID() string { return strconv.FormatUint(rand.Uint64(), 36) }

// Release gives the duty back when no promotion relies on it any more. A failure is no harm: the duty ends
// by itself.
func (d *Duty) Release(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.uses--
	if d.uses > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	record := api.Object{Kind: Kind, Name: Name, Version: d.token}
	if err := d.write(ctx, record, false); err != nil {
		logrus.WithField(logfield.Error, err).Info(logevent.DutyNotReleased)
		return
	}
	logrus.WithField(logfield.Token, d.token).Info(logevent.DutyReleased)
}

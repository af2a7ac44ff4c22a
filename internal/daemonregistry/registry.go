// Package daemonregistry counts the daemons that share the targets.
//
// Each daemon registers with an entry in the object store, which it refreshes every refreshInterval. A daemon whose
// entry has not changed for absentAfter is absent and not counted.
package daemonregistry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/objectstore"
)

// Kind is the object kind of the entries.
const Kind = "papayacove-daemons"

const (
	// refreshInterval is the time between two writes of a daemon's own entry.
	refreshInterval = 20 * time.Second
	// absentAfter is the time after which a daemon whose entry has not changed is absent.
	absentAfter = 3 * refreshInterval
	// firstReadInterval is the time between the first two reads. It is short because daemons start together, and
	// doubles with each read up to maxReadInterval.
	firstReadInterval = 500 * time.Millisecond
	// readIntervalPerEntry is the time that each entry adds to the interval between later reads, so that the bytes read
	// per second do not grow with the number of daemons. The interval is bounded by minSteadyReadInterval and
	// maxSteadyReadInterval.
	readIntervalPerEntry  = 250 * time.Millisecond
	minSteadyReadInterval = 8 * time.Second
	maxSteadyReadInterval = 2 * refreshInterval
)

// Store is the part of the object store that a Registry uses.
type Store interface {
	objectstore.Objects
	// ListStale returns the objects of a kind, possibly in their state of some seconds ago.
	ListStale(ctx context.Context, kind string) (api.ObjectList, error)
	Delete(ctx context.Context, kind, name string) error
}

// Registry keeps the entry of one daemon up to date and counts all daemons. Run must be called once; only Leave may be
// called while it runs.
type Registry struct {
	store Store
	self  api.DaemonEntry
	// onCount is called with the number of daemons after each read.
	onCount  func(int)
	observed map[string]observation
}

// observation is the version of an entry and the boot-clock time at which it was first read.
type observation struct {
	version uint64
	at      time.Duration
}

// New returns the registry of the daemon with entry self. Run calls onCount with the number of daemons after each read,
// whether or not it has changed.
func New(store Store, self api.DaemonEntry, onCount func(int)) *Registry {
	return &Registry{store: store, self: self, onCount: onCount, observed: make(map[string]observation)}
}

// Run refreshes the daemon's own entry and counts the daemons until ctx ends. Errors are logged and retried.
func (r *Registry) Run(ctx context.Context) {
	writtenAt := -refreshInterval
	readInterval := firstReadInterval
	for {
		if now := clock.SinceBoot(); now-writtenAt >= refreshInterval {
			if err := r.write(ctx); err != nil {
				logrus.WithField(logfield.Error, err).Info(logevent.RosterNotWritten)
			} else {
				writtenAt = now
			}
		}
		if err := r.count(ctx); err != nil {
			logrus.WithField(logfield.Error, err).Info(logevent.RosterNotRead)
		}
		if clock.Sleep(ctx, readInterval) != nil {
			return
		}
		readInterval = min(2*readInterval, maxReadInterval(len(r.observed)))
	}
}

// maxReadInterval returns the longest time between two reads of the given number of entries.
func maxReadInterval(entries int) time.Duration {
	return min(max(minSteadyReadInterval, time.Duration(entries)*readIntervalPerEntry), maxSteadyReadInterval)
}

// write refreshes the daemon's own entry, or creates it. Only this daemon writes it, so the update is unconditional: its
// version is 0.
func (r *Registry) write(ctx context.Context) error {
	r.self.Beat++
	data, err := json.Marshal(r.self)
	if err != nil {
		return fmt.Errorf("encode entry: %w", err)
	}
	entry := api.Object{Kind: Kind, Name: r.self.Name, Data: data}
	_, err = r.store.Update(ctx, entry)
	if errors.Is(err, objectstore.ErrNotFound) {
		_, err = r.store.Create(ctx, entry)
	}
	return err
}

func (r *Registry) count(ctx context.Context) error {
	list, err := r.store.ListStale(ctx, Kind)
	if err != nil {
		return err
	}
	r.onCount(r.countPresent(list, clock.SinceBoot()))
	return nil
}

// countPresent returns the number of daemons whose entries have changed within absentAfter before now, including this
// daemon in any case.
func (r *Registry) countPresent(list api.ObjectList, now time.Duration) int {
	count := 1
	observed := make(map[string]observation, len(list.Objects))
	for _, entry := range list.Objects {
		if entry.Name == r.self.Name {
			continue
		}
		known, ok := r.observed[entry.Name]
		if !ok || known.version != entry.Version {
			known = observation{entry.Version, now}
		}
		observed[entry.Name] = known
		if now-known.at < absentAfter {
			count++
		}
	}
	r.observed = observed
	return count
}

// Leave deletes the daemon's entry. An error is only logged: other daemons then count this one until its entry has been
// unchanged for absentAfter.
func (r *Registry) Leave(ctx context.Context) {
	if err := r.store.Delete(ctx, Kind, r.self.Name); err != nil {
		logrus.WithField(logfield.Error, err).Info(logevent.RosterNotLeft)
	}
}

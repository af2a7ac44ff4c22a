// Package roster counts the daemons that share the targets.
//
// Each daemon has an entry in the object store, which it refreshes. An entry that has not changed for
// absentAfter does not count.
package roster

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

// Kind of the entries.
const Kind = "papayacove-daemons"

const (
	// refreshInterval is the time between two changes of a daemon's own entry.
	refreshInterval = 20 * time.Second
	// absentAfter is the time after which an entry that has not changed no longer counts.
	absentAfter = 3 * refreshInterval
	// firstRead is the time between the first two reads, which doubles: daemons start together.
	firstRead = 500 * time.Millisecond
	// readEach is the part that each entry has in the time between two later reads, so that the bytes read in a time do
	// not grow with the number of daemons, within leastLastRead and mostLastRead.
	readEach      = 250 * time.Millisecond
	leastLastRead = 8 * time.Second
	mostLastRead  = 2 * refreshInterval
)

// Store is what a roster needs of the object store.
type Store interface {
	objectstore.Objects
	// ListStale may return objects as they were some seconds ago.
	ListStale(ctx context.Context, kind string) (api.ObjectList, error)
	Delete(ctx context.Context, kind, name string) error
}

// Roster keeps the entry of one daemon and counts all.
type Roster struct {
	store Store
	self  api.DaemonEntry
	// changed takes the number of daemons.
	changed func(int)
	seen    map[string]sighting
}

// sighting is the version of an entry and when it was first seen.
type sighting struct {
	version uint64
	at      time.Duration
}

// New returns the roster of a daemon.
func New(store Store, self api.DaemonEntry, changed func(int)) *Roster {
	return &Roster{store: store, self: self, changed: changed, seen: make(map[string]sighting)}
}

// Run keeps the entry and counts until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	written := -refreshInterval
	pause := firstRead
	for {
		if now := clock.Boot(); now-written >= refreshInterval {
			if err := r.write(ctx); err != nil {
				logrus.WithField(logfield.Error, err).Info(logevent.RosterNotWritten)
			} else {
				written = now
			}
		}
		if err := r.count(ctx); err != nil {
			logrus.WithField(logfield.Error, err).Info(logevent.RosterNotRead)
		}
		if clock.Sleep(ctx, pause) != nil {
			return
		}
		pause = min(2*pause, lastRead(len(r.seen)))
	}
}

// lastRead is the longest time between two reads of a number of entries.
func lastRead(entries int) time.Duration {
	return min(max(leastLastRead, time.Duration(entries)*readEach), mostLastRead)
}

// write refreshes the daemon's own entry. Only this daemon writes it, so its version does not matter.
func (r *Roster) write(ctx context.Context) error {
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

func (r *Roster) count(ctx context.Context) error {
	list, err := r.store.ListStale(ctx, Kind)
	if err != nil {
		return err
	}
	r.changed(r.present(list, clock.Boot()))
	return nil
}

// present returns the number of daemons whose entries have changed lately; this one counts always.
func (r *Roster) present(list api.ObjectList, now time.Duration) int {
	count := 1
	seen := make(map[string]sighting, len(list.Objects))
	for _, entry := range list.Objects {
		if entry.Name == r.self.Name {
			continue
		}
		known, ok := r.seen[entry.Name]
		if !ok || known.version != entry.Version {
			known = sighting{entry.Version, now}
		}
		seen[entry.Name] = known
		if now-known.at < absentAfter {
			count++
		}
	}
	r.seen = seen
	return count
}

// Leave takes the daemon's entry away.
func (r *Roster) Leave(ctx context.Context) {
	if err := r.store.Delete(ctx, Kind, r.self.Name); err != nil {
		logrus.WithField(logfield.Error, err).Info(logevent.RosterNotLeft)
	}
}

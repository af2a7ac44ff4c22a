// Package daemonregistry lists the daemons that share the targets.
//
// Each daemon registers with an entry in the object store, which it refreshes every refreshInterval. A daemon whose
// entry has not changed for absentAfter is absent and not counted.
package daemonregistry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
	"unicode"

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
	// listStaleness is how old a list may be.
	listStaleness = 3 * time.Second
	// minRewriteWindow and rewriteTimePerEntry bound the rate at which entries are written again after the store was
	// restored: 200 a second at most.
	minRewriteWindow    = 500 * time.Millisecond
	rewriteTimePerEntry = 5 * time.Millisecond
	// forgetAfter is the time after which the entry of a daemon that has left is deleted. It is longer than its part of the
	// limits is kept for it.
	forgetAfter = 10 * time.Minute
	// missingGrace is the time beyond rewriteWindow for which an entry that the restored store lacks is kept.
	missingGrace = 5 * time.Second
)

// Store is the part of the object store that a Registry uses.
type Store interface {
	objectstore.Objects
	// ListStale returns the objects of a kind, possibly in their state of some seconds ago.
	ListStale(ctx context.Context, kind string) (api.ObjectList, error)
	Delete(ctx context.Context, kind, name string) error
}

// Registry keeps the entry of one daemon up to date and lists all daemons. Run must be called once; only Leave may be
// called while it runs.
type Registry struct {
	store Store
	self  api.DaemonEntry
	// onRead is called with the daemons after each read.
	onRead   func([]api.DaemonEntry)
	observed map[string]observation
	// unreadable logs the entries that cannot be read.
	unreadable objectstore.UnreadableLog
	// era is that of the newest list. Entries that a list lacks are kept until keepMissingUntil of the boot clock.
	era uint64
	// allAreNew is true if no daemon has refreshed its entry yet.
	allAreNew        bool
	keepMissingUntil time.Duration
	restored         chan struct{}
	// isStored is true once the daemon's own entry has been read or written.
	isStored atomic.Bool
	// writing serializes the writes of the entry, so that none follows the one of Leave that does not know of it.
	writing sync.Mutex

	mu sync.Mutex
	// registration is what others know of this daemon's entry.
	registration Registration
}

// Registration tells what other daemons know of the entry of this one.
type Registration struct {
	// FoundAtStart is true if the entry existed before this start of the daemon.
	FoundAtStart bool
	// FoundLendingRules are the rules by which the earlier start that wrote the entry lent its rights.
	FoundLendingRules int
	// KnownAt is the time of the boot clock from which all others have read the entry; 0 while it is not written.
	KnownAt time.Duration
	// WrittenAt is the time of the boot clock at which the last successful write of the entry began; 0 for none.
	WrittenAt time.Duration
}

// Registration returns what others know of this daemon's entry. It is safe for concurrent use.
func (r *Registry) Registration() Registration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registration
}

// recordWrite records a write of the entry, which is over at now. Others have read it after the longest time between two of
// their reads; this is minSteadyReadInterval where all have started of late, since their reads are still frequent.
func (r *Registry) recordWrite(began, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registration.WrittenAt = began
	if r.registration.KnownAt != 0 {
		return
	}
	wait := minSteadyReadInterval
	if !r.allAreNew {
		wait = maxReadInterval(len(r.observed)) + listStaleness
	}
	r.registration.KnownAt = now + wait
}

// observation is the state of an entry and the boot-clock time at which it was first read in that state.
type observation struct {
	object api.Object
	at     time.Duration
	// entry is the decoded object, and failure why it could not be decoded.
	entry   api.DaemonEntry
	failure error
}

// newObservation decodes an entry that was first read in its state at a time.
func newObservation(object api.Object, at time.Duration) observation {
	o := observation{object: object, at: at}
	if o.failure = json.Unmarshal(object.Data, &o.entry); o.failure == nil {
		o.failure = checkEntry(object.Name, o.entry)
	}
	if o.failure != nil {
		o.entry = api.DaemonEntry{}
	}
	// The entry is not needed any more, and may be large.
	o.object.Data = nil
	return o
}

// maxCapacity is the largest capacity that an entry may state, in thousandths of a core.
const maxCapacity = 1 << 20

// errForeignEntry means that an entry has a value that no daemon writes.
var errForeignEntry = errors.New("no entry of a daemon")

// checkEntry fails with errForeignEntry unless an entry can be that of the named daemon.
func checkEntry(name string, entry api.DaemonEntry) error {
	if entry.Name != name {
		return fmt.Errorf("%w: it names %.100q", errForeignEntry, entry.Name)
	}
	if entry.Capacity < 0 || entry.Capacity > maxCapacity {
		return fmt.Errorf("%w: capacity %d", errForeignEntry, entry.Capacity)
	}
	if entry.Address != "" && !isAddress(entry.Address) {
		return fmt.Errorf("%w: address %.100q", errForeignEntry, entry.Address)
	}
	return nil
}

// isAddress reports whether a text is a host and a port that can be connected to.
func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" || strings.ContainsFunc(host, unicode.IsSpace) {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	ip, ipErr := netip.ParseAddr(host)
	return err == nil && number > 0 && (ipErr != nil || !ip.IsUnspecified())
}

// New returns the registry of the daemon with entry self. Run calls onRead with the entries of the daemons that are
// present, this one included, after each read, whether or not they have changed.
func New(store Store, self api.DaemonEntry, onRead func([]api.DaemonEntry)) *Registry {
	return &Registry{store: store, self: self, onRead: onRead, observed: make(map[string]observation), restored: make(chan struct{}, 1)}
}

// Restored reports that the store was restored from a copy, which may lack entries. The daemon's own entry is written
// again at a random time, so that the daemons do not write all at once. It does not block.
func (r *Registry) Restored() {
	select {
	case r.restored <- struct{}{}:
	default:
	}
}

// rewriteWindow returns the time in which the daemons write their entries again, with the given number of them.
func rewriteWindow(entries int) time.Duration {
	return minRewriteWindow + time.Duration(entries)*rewriteTimePerEntry
}

// Run refreshes the daemon's own entry and lists the daemons until ctx ends. Errors are logged and retried.
func (r *Registry) Run(ctx context.Context) {
	writtenAt := -refreshInterval
	readInterval := firstReadInterval
	// A daemon that starts again learns of the others before it writes: until then it does not know its share.
	r.readOrLog(ctx)
	for {
		if now := clock.SinceBoot(); now-writtenAt >= refreshInterval {
			if err := r.write(ctx); err != nil {
				logrus.WithField(logfield.Error, err).Info(logevent.RosterNotWritten)
			} else {
				writtenAt = now
				r.recordWrite(now, clock.SinceBoot())
			}
		}
		r.readOrLog(ctx)
		switch r.sleep(ctx, readInterval) {
		case ended:
			return
		case storeRestored:
			writtenAt = -refreshInterval
			readInterval = firstReadInterval
			if clock.Sleep(ctx, rand.N(rewriteWindow(len(r.observed)))) != nil {
				return
			}
		}
		readInterval = min(2*readInterval, maxReadInterval(len(r.observed)))
	}
}

// wakeReason says why a wait ended.
type wakeReason int

const (
	waited wakeReason = iota
	ended
	storeRestored
)

// sleep waits for d, and less when ctx ends or the store was restored.
func (r *Registry) sleep(ctx context.Context, d time.Duration) wakeReason {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ended
	case <-r.restored:
		return storeRestored
	case <-timer.C:
		return waited
	}
}

// maxReadInterval returns the longest time between two reads of the given number of entries.
func maxReadInterval(entries int) time.Duration {
	return min(max(minSteadyReadInterval, time.Duration(entries)*readIntervalPerEntry), maxSteadyReadInterval)
}

// recordFound records that the entry is listed. If it was not written yet, an earlier start of the daemon wrote it.
func (r *Registry) recordFound(object api.Object, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.self.Beat != 0 {
		return
	}
	found := newObservation(object, now)
	if found.failure != nil {
		r.unreadable.Report(logevent.RosterEntryUnreadable, Kind, object.Name, found.failure)
	}
	r.registration.FoundAtStart, r.registration.FoundLendingRules = true, found.entry.LendingRules
}

// write refreshes the daemon's own entry, or creates it. Only this daemon writes it, so the update is unconditional: its
// version is 0. What is tried first is what is likely to be one call.
func (r *Registry) write(ctx context.Context) error {
	r.writing.Lock()
	defer r.writing.Unlock()
	data, err := json.Marshal(r.nextEntry())
	if err != nil {
		return fmt.Errorf("encode entry: %w", err)
	}
	entry := api.Object{Kind: Kind, Name: r.self.Name, Data: data}
	first, second, unlikely := r.store.Create, r.store.Update, objectstore.ErrExists
	if r.isStored.Load() {
		first, second, unlikely = r.store.Update, r.store.Create, objectstore.ErrNotFound
	}
	_, err = first(ctx, entry)
	if errors.Is(err, unlikely) {
		_, err = second(ctx, entry)
	}
	if err == nil {
		r.isStored.Store(true)
	}
	return err
}

// nextEntry returns the daemon's own entry as it is written next.
func (r *Registry) nextEntry() api.DaemonEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.Beat++
	return r.self
}

func (r *Registry) readOrLog(ctx context.Context) {
	if err := r.read(ctx); err != nil {
		logrus.WithField(logfield.Error, err).Info(logevent.RosterNotRead)
	}
}

func (r *Registry) read(ctx context.Context) error {
	list, err := r.store.ListStale(ctx, Kind)
	if err != nil {
		return err
	}
	now := clock.SinceBoot()
	r.onRead(r.present(list, now))
	r.forgetOne(ctx, now)
	return nil
}

// present returns the entries that have changed within absentAfter before now, and that of this daemon in any case. Those
// of daemons that have left are among them, marked. Of an entry that cannot be read only the name is returned: its daemon
// uses targets, but cannot hold any.
func (r *Registry) present(list api.ObjectList, now time.Duration) []api.DaemonEntry {
	r.observe(list, now)
	r.mu.Lock()
	present := []api.DaemonEntry{r.self}
	r.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(r.observed)) {
		known := r.observed[name]
		if now-known.at >= absentAfter {
			continue
		}
		entry := known.entry
		if known.failure != nil {
			r.unreadable.Report(logevent.RosterEntryUnreadable, Kind, name, known.failure)
			entry = api.DaemonEntry{Name: name}
		} else {
			r.unreadable.Clear(Kind, name)
		}
		r.allAreNew = r.allAreNew && entry.Beat <= 1
		present = append(present, entry)
	}
	return present
}

// observe records the entries of a list. After the store was restored, entries that it lacks are kept for a while: their
// daemons write them again.
func (r *Registry) observe(list api.ObjectList, now time.Duration) {
	r.allAreNew = true
	if list.Era > r.era && r.era != 0 {
		r.keepMissingUntil = now + rewriteWindow(len(r.observed)) + missingGrace
	}
	r.era = max(r.era, list.Era)
	observed := make(map[string]observation, len(list.Objects))
	if now < r.keepMissingUntil {
		observed = maps.Clone(r.observed)
	}
	for _, object := range list.Objects {
		if object.Name == r.self.Name {
			r.isStored.Store(true)
			r.recordFound(object, now)
			continue
		}
		known, ok := r.observed[object.Name]
		if !ok || known.object.Version != object.Version || known.object.Era != object.Era {
			known = newObservation(object, now)
		}
		observed[object.Name] = known
	}
	r.observed = observed
	r.unreadable.Keep(Kind, slices.AppendSeq([]string{r.self.Name}, maps.Keys(observed)))
}

// Leave marks the daemon's entry: the daemon has stopped as planned. The entry stays, so that the daemon knows when it
// starts again that others still count it. An error is only logged: other daemons then take this one for present until its
// entry has been unchanged for absentAfter.
func (r *Registry) Leave(ctx context.Context) {
	r.mu.Lock()
	r.self.Left = true
	r.mu.Unlock()
	if err := r.write(ctx); err != nil {
		logrus.WithField(logfield.Error, err).Info(logevent.RosterNotLeft)
	}
}

// forgetOne deletes the entry of a daemon that has left and not come back for forgetAfter. Only the first of the daemons
// that are present does so.
func (r *Registry) forgetOne(ctx context.Context, now time.Duration) {
	name, ok := r.forgotten(now)
	if !ok {
		return
	}
	err := r.store.Delete(ctx, Kind, name)
	logrus.WithFields(logrus.Fields{logfield.Object: name, logfield.Error: err}).Info(logevent.RosterEntryForgotten)
}

// forgotten returns the name of an entry to delete; false when there is none, or when another daemon deletes it.
func (r *Registry) forgotten(now time.Duration) (string, bool) {
	old, found := "", false
	for _, name := range slices.Sorted(maps.Keys(r.observed)) {
		known := r.observed[name]
		switch {
		case known.failure == nil && known.entry.Left && now-known.at >= forgetAfter:
			old, found = name, true
		case now-known.at < absentAfter && !known.entry.Left && name < r.self.Name:
			return "", false
		}
	}
	return old, found
}

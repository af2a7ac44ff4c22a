package feed

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/watching"
)

const (
	callTime     = 4 * time.Millisecond
	storeTimeout = time.Second
	keys         = "config"
	entries      = "servers"
)

// mode is how something answers.
type mode int

const (
	works mode = iota
	refuses
	silent
)

// world is a store and the daemons that follow it, in the time of a synctest bubble.
type world struct {
	t     *testing.T
	began time.Time

	mu       sync.Mutex
	era      uint64
	revision uint64
	objects  map[string]api.Object
	changes  []api.Object
	changed  chan struct{}
	// compacted is the revision from which changes can be watched.
	compacted uint64
	calls     int
	store     map[string]mode
	peers     map[string]mode
	// calm is true if the network never fails, which takes fewer goroutines; it does not change.
	calm bool
	// split is true while daemons reach only those of their own zone.
	split bool
	// lie changes the replies of a daemon.
	lie map[string]func(*api.FeedReply)

	daemons map[string]*daemon
	names   []string
	running sync.WaitGroup
	stop    context.CancelFunc
}

// daemon is one daemon, and what it has applied.
type daemon struct {
	feed *Feed
	name string
	zone string

	mu       sync.Mutex
	state    map[string]api.Object
	proof    time.Duration
	failedAt time.Duration
	restores int
}

func (w *world) now() time.Duration { return time.Since(w.began) + time.Hour }

// newWorld starts n daemons in three zones.
func newWorld(t *testing.T, n int) *world { return startWorld(t, n, false, false) }

// newCalmWorld starts a world whose network never fails. direct is true if no daemon knows of the others.
func newCalmWorld(t *testing.T, n int, direct bool) *world { return startWorld(t, n, direct, true) }

func startWorld(t *testing.T, n int, direct, calm bool) *world {
	logrus.SetLevel(logrus.ErrorLevel)
	ctx, stop := context.WithCancel(context.Background())
	w := &world{
		t: t, calm: calm, began: time.Now(), era: 1, revision: 7, objects: make(map[string]api.Object), changed: make(chan struct{}),
		store: make(map[string]mode), peers: make(map[string]mode), lie: make(map[string]func(*api.FeedReply)),
		daemons: make(map[string]*daemon), stop: stop,
	}
	w.change(keys, "main")
	w.change(entries, "target")
	list := make([]watching.Daemon, n)
	for i := range list {
		name, zone := fmt.Sprintf("daemon-%d", i), fmt.Sprintf("zone-%d", i%3)
		list[i] = watching.Daemon{Name: name, Zone: zone, Address: name}
		w.names = append(w.names, name)
		d := &daemon{name: name, zone: zone, state: make(map[string]api.Object)}
		d.feed = New(Options{
			Name: name, Store: storeOf{w, name}, Peers: peersOf{w, name}, ApplyWithin: 5 * time.Second, RevokeWithin: 5 * time.Second,
			StoreTimeout: storeTimeout, Now: w.now, Random: func(limit time.Duration) time.Duration { return limit / 3 },
		})
		w.daemons[name] = d
	}
	for _, d := range w.daemons {
		if !direct {
			d.feed.SetDaemons(list)
		}
		for _, kind := range []string{keys, entries} {
			w.running.Go(func() { w.follow(ctx, d, kind) })
		}
	}
	return w
}

func (w *world) follow(ctx context.Context, d *daemon, kind string) {
	options := KindOptions{
		Kind: kind, Interval: 10 * time.Millisecond, MaxRetryDelay: 400 * time.Millisecond, HoldsKeys: kind == keys, Apply: d.apply, PassOn: passOn,
		OnRestore: func() { d.restores++ },
	}
	if kind == keys {
		options.OnProof = func(asOf time.Duration) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.proof = max(d.proof, asOf)
		}
	} else {
		options.Interval = 300 * time.Millisecond
		options.OnFailure = func(at time.Duration) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.failedAt = max(d.failedAt, at)
		}
	}
	if err := d.feed.Follow(ctx, options); !errors.Is(err, context.Canceled) {
		w.t.Errorf("%s stopped following %s: %v", d.name, kind, err)
	}
}

// close ends all daemons.
func (w *world) close() {
	w.stop()
	for _, d := range w.daemons {
		d.feed.Leave()
	}
	w.running.Wait()
}

var errBad = errors.New("bad content")

func (d *daemon) apply(o api.Object) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if string(o.Data) == "bad" {
		return errBad
	}
	d.state[o.Kind+"/"+o.Name] = o
	return nil
}

// age returns the age of the proof of a daemon.
func (w *world) age(d *daemon) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return w.now() - d.proof
}

// change changes an object.
func (w *world) change(kind, name string) uint64 { return w.write(kind, name, "{}", false) }

func (w *world) write(kind, name, data string, deleted bool) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision++
	o := api.Object{Kind: kind, Name: name, Version: w.revision, Era: w.era, Data: []byte(data), Deleted: deleted}
	w.objects[kind+"/"+name] = o
	if deleted {
		delete(w.objects, kind+"/"+name)
	}
	w.changes = append(w.changes, o)
	close(w.changed)
	w.changed = make(chan struct{})
	return w.revision
}

// lateDaemons returns the daemons that have not applied a version of an object.
func (w *world) lateDaemons(object string, version uint64) []string {
	var late []string
	for _, name := range w.names {
		d := w.daemons[name]
		d.mu.Lock()
		if d.state[object].Version != version {
			late = append(late, name)
		}
		d.mu.Unlock()
	}
	return late
}

// withRole returns the daemons of a zone, or of all if it is empty, that have the role.
func (w *world) withRole(role watching.Role, zone string) []string {
	var names []string
	for _, name := range w.names {
		d := w.daemons[name]
		if d.feed.followers[keys].chooser.Role() == role && (zone == "" || d.zone == zone) {
			names = append(names, name)
		}
	}
	return names
}

// watchers returns the watchers and the standbys of a zone, or of all if it is empty.
func (w *world) watchers(zone string) []string {
	return append(w.withRole(watching.RoleWatcher, zone), w.withRole(watching.RoleStandby, zone)...)
}

func (w *world) callCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls
}

func (w *world) setStore(m mode, names ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range names {
		w.store[name] = m
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *world) setPeers(m mode, names ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range names {
		w.peers[name] = m
	}
}

// inWorld runs a test in a bubble.
func inWorld(t *testing.T, n int, test func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, n)
		pause(3 * time.Second)
		test(w)
		w.close()
		time.Sleep(10 * time.Second)
	})
}

// expectAll waits and then fails if a daemon has not applied the version.
func (w *world) expectAll(object string, version uint64, within time.Duration) {
	w.t.Helper()
	pause(within)
	if late := w.lateDaemons(object, version); len(late) > 0 {
		w.t.Errorf("%s after version %d of %s, %d daemons have not applied it: %v", within, version, object, len(late), late[:min(5, len(late))])
	}
}

// expectProofs fails if the proof of one of the daemons is older than allowed.
func (w *world) expectProofs(names []string, allowed time.Duration) {
	w.t.Helper()
	for _, name := range names {
		if age := w.age(w.daemons[name]); age > allowed {
			w.t.Errorf("the proof of %s is %s old, want at most %s", name, age, allowed)
		}
	}
}

// pause waits until everything that happens within d has happened.
func pause(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func without(names, others []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return slices.Contains(others, n) })
}

package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/objectstore"
	"github.com/papayacove/papayacove/standin/fleet"
	"github.com/papayacove/papayacove/standin/workload"
)

const (
	// maxOperatorPause is the longest pause between two changes of an operator.
	maxOperatorPause = 800 * time.Millisecond
	// operatorTimeout is the timeout of one change.
	operatorTimeout = 3 * time.Second
	// inForceTimeout is the time in which an accepted change must be in force on all daemons.
	inForceTimeout = 12 * time.Second
	// operatorCount is the number of operators that change the same workspace.
	operatorCount = 2
)

// operators runs operators that change one workspace concurrently. It checks that the accepted changes come into force
// on each daemon and that no daemon goes back to an older revision.
type operators struct {
	fleet   *fleet.Fleet
	history *workload.History
	name    string
	done    sync.WaitGroup

	mu sync.Mutex
	// accepted is the newest revision of an accepted change.
	accepted uint64
	changes  int
	// highest is the highest configuration revision seen of each daemon process, by name/pid.
	highest map[string]uint64
}

func startOperators(ctx context.Context, f *fleet.Fleet, history *workload.History, seed int64) *operators {
	o := &operators{fleet: f, history: history, name: f.Deployment.Name, highest: make(map[string]uint64)}
	for i := range operatorCount {
		random := rand.New(rand.NewSource(seed*100 + int64(i)))
		o.start(func() { o.edit(ctx, i, random) })
	}
	o.start(func() { o.watch(ctx) })
	return o
}

func (o *operators) start(run func()) {
	o.done.Add(1)
	go func() {
		defer o.done.Done()
		run()
	}()
}

// edit changes the number of connections of the workspace repeatedly until ctx ends.
func (o *operators) edit(ctx context.Context, number int, random *rand.Rand) {
	client := objectstore.NewClient(objectstore.Options{URL: o.fleet.Deployment.Settings[0].PlatformURL})
	defer client.Close()
	for i := 0; ctx.Err() == nil; i++ {
		_ = clock.Sleep(ctx, between(random, 0, maxOperatorPause))
		o.change(ctx, client, fmt.Sprintf("operator%d-%d", number, i), 200+random.Intn(100))
	}
}

func (o *operators) change(ctx context.Context, client *objectstore.Client, changeID string, connections int) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	object, err := client.Get(ctx, objectstore.KindWorkspace, o.name)
	if err != nil {
		return
	}
	var edited api.Workspace
	if err := json.Unmarshal(object.Data, &edited); err != nil {
		o.history.RecordViolation("workspace data cannot be decoded: %v", err)
		return
	}
	edited.Values["connections"] = fmt.Sprint(connections)
	object.Data, err = json.Marshal(edited)
	if err != nil {
		return
	}
	applied, err := client.Apply(ctx, object, changeID)
	if err != nil {
		if !errors.Is(err, objectstore.ErrConflict) {
			o.history.RecordEvent("change %s: %v", changeID, err)
		}
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.changes++
	o.accepted = max(o.accepted, applied.Object.Version)
}

// watch checks until ctx ends that the revision of a daemon does not fall while its process is alive.
func (o *operators) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for name := range o.fleet.Daemons {
			o.checkRevision(name)
		}
		_ = clock.Sleep(ctx, watchInterval)
	}
}

// checkRevision returns the configuration revision of a daemon, or 0 if the daemon does not report it or was restarted
// meanwhile. It records a violation if the revision is lower than before.
func (o *operators) checkRevision(name string) uint64 {
	process := o.fleet.Daemons[name].PID()
	status, err := o.fleet.Status(name)
	if err != nil || o.fleet.Daemons[name].PID() != process {
		return 0
	}
	key := fmt.Sprintf("%s/%d", name, process)
	o.mu.Lock()
	defer o.mu.Unlock()
	if status.ConfigRevision < o.highest[key] {
		o.history.RecordViolation("configuration revision of %s fell from %d to %d", name, o.highest[key], status.ConfigRevision)
	}
	o.highest[key] = max(o.highest[key], status.ConfigRevision)
	return status.ConfigRevision
}

// finish waits for the operators to end and then until the last accepted change is in force on each daemon. It records a
// violation if that takes longer than inForceTimeout.
func (o *operators) finish(ctx context.Context) {
	o.done.Wait()
	limit := time.Now().Add(inForceTimeout)
	for {
		outdatedDaemon := o.outdatedDaemon()
		if outdatedDaemon == "" || ctx.Err() != nil {
			return
		}
		if time.Now().After(limit) {
			o.history.RecordViolation("revision %d is not in force on %s after %v", o.accepted, outdatedDaemon, inForceTimeout)
			return
		}
		_ = clock.Sleep(ctx, watchInterval)
	}
}

// outdatedDaemon returns a daemon on which the last accepted change is not in force; empty for none.
func (o *operators) outdatedDaemon() string {
	for name := range o.fleet.Daemons {
		if o.checkRevision(name) < o.accepted {
			return name
		}
	}
	return ""
}

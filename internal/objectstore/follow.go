package objectstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
)

// DefaultWatchWait is the time after which the platform answers a watch without changes. It bounds
// how long a half-open connection under a watch goes undetected.
const DefaultWatchWait = 5 * time.Second

// DefaultWatchInterval is the time between two watches. It bounds the number of calls during a burst
// of changes.
const DefaultWatchInterval = 100 * time.Millisecond

// probeWait is the time for which a watch after a failed call waits for changes.
const probeWait = time.Millisecond

// The delays between retries after a failed call: they double from the first to the maximum.
const (
	firstFollowRetryDelay = 100 * time.Millisecond
	maxFollowRetryDelay   = 3 * time.Second
)

// FollowOptions configure how objects or VMs are followed.
type FollowOptions struct {
	// Kinds are the kinds of objects to follow; unused for VMs.
	Kinds []string

	// Wait is the time after which the platform answers a watch without changes; 0 means DefaultWatchWait.
	Wait time.Duration

	// Interval is the time between two watches; 0 means DefaultWatchInterval.
	Interval time.Duration

	// MaxRetryDelay is the maximum delay between retries after a failure; 0 means 3 s.
	MaxRetryDelay time.Duration

	// AfterCall is called after each watch and after each listing of all kinds, with the error, which may be nil;
	// if AfterCall is nil, the results are not reported.
	AfterCall func(error)

	// OnRestore is called when the store was restored from a copy, before apply gets what the copy holds; if OnRestore
	// is nil, it is not reported.
	OnRestore func()

	// BeforeCall is called before each watch and before each listing of all kinds, and blocks until it may begin;
	// if BeforeCall is nil, it begins at once. A delayed watch returns all changes since the previous one.
	BeforeCall func(ctx context.Context)
}

// withDefaults replaces fields that are not set, or not positive, by their defaults.
func (o FollowOptions) withDefaults() FollowOptions {
	if o.Wait <= 0 {
		o.Wait = DefaultWatchWait
	}
	if o.Interval <= 0 {
		o.Interval = DefaultWatchInterval
	}
	if o.MaxRetryDelay <= 0 {
		o.MaxRetryDelay = maxFollowRetryDelay
	}
	if o.AfterCall == nil {
		o.AfterCall = func(error) {}
	}
	if o.OnRestore == nil {
		o.OnRestore = func() {}
	}
	if o.BeforeCall == nil {
		o.BeforeCall = func(context.Context) {}
	}
	return o
}

// Follow lists the objects of the kinds and then watches them until ctx ends, and returns the
// error of ctx. It calls apply, one call at a time, with the objects that are new or changed. The
// first call passes all objects that exist. After it, the versions of each object are delivered in
// increasing order only, and a deletion is delivered as an object with Deleted set; a list without
// objects means that only the revision has increased. After a failure Follow retries with exponential
// backoff, and lists again only if the platform has dropped the history in between or has come back from a
// copy. An answer with a lower revision in the same era than before is a failure. Versions of a later era are
// later, whatever their number.
func (c *Client) Follow(ctx context.Context, options FollowOptions, apply func(api.ObjectList)) error {
	return FollowSource(ctx, c, options, apply)
}

// Source lists and watches the objects of an object store. Its methods fail with the errors of this package:
// Watch fails with ErrCompacted if the store no longer has the history after the revision.
type Source interface {
	List(ctx context.Context, kind string) (api.ObjectList, error)
	Watch(ctx context.Context, after uint64, wait time.Duration, kinds ...string) (api.ObjectList, error)
}

// FollowSource follows the objects of source as Client.Follow follows those of the platform.
func FollowSource(ctx context.Context, source Source, options FollowOptions, apply func(api.ObjectList)) error {
	if len(options.Kinds) == 0 {
		return fmt.Errorf("%w: no kinds to follow", ErrInvalid)
	}
	options = options.withDefaults()
	f := &objectFollower{source: source, options: options, tracker: newTracker(), apply: apply}
	return follow(ctx, "objects", options, f.step)
}

// FollowVMs reads the VM list and then watches it until ctx ends, and returns the error of
// ctx. It calls apply with each list of a higher revision. It handles failures as Follow does.
func (c *Client) FollowVMs(ctx context.Context, options FollowOptions, apply func(api.VMList)) error {
	options = options.withDefaults()
	f := &vmFollower{client: c, options: options, apply: apply}
	return follow(ctx, "vms", options, f.step)
}

// follow repeats step until ctx ends. It waits for options.Interval between steps, and retries a failed step with
// backoff. Followed names what is followed in the log.
func follow(ctx context.Context, followed string, options FollowOptions, step func(context.Context) error) error {
	retry := backoff{first: firstFollowRetryDelay, maximum: options.MaxRetryDelay}
	reachability := &reachabilityLog{followed: followed}
	for {
		options.BeforeCall(ctx)
		err := step(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		options.AfterCall(err)
		reachability.record(err)
		wait := jitter(options.Interval)
		switch {
		case err == nil:
			retry.reset()
		case errors.Is(err, ErrCompacted), errors.Is(err, ErrRestored):
			// The store is reachable, so there is no backoff; the next step lists.
		default:
			wait = retry.next()
		}
		if err := clock.Sleep(ctx, wait); err != nil {
			return err
		}
	}
}

// objectFollower lists and watches objects.
type objectFollower struct {
	source  Source
	options FollowOptions
	tracker *tracker
	// listed is false if the next step has to list.
	listed bool
	// unavailable is true if the last call failed with ErrUnavailable.
	unavailable bool
	// delivered is true once apply has been called.
	delivered bool
	apply     func(api.ObjectList)
}

// step lists or watches once.
func (f *objectFollower) step(ctx context.Context) error {
	before, era := f.tracker.revision, f.tracker.era
	isFirst := !f.delivered
	updates, err := f.fetch(ctx)
	f.unavailable = errors.Is(err, ErrUnavailable)
	if errors.Is(err, ErrCompacted) || errors.Is(err, ErrRestored) {
		f.listed = false
	}
	if err != nil {
		return err
	}
	if !isFirst && updates.Era > era {
		f.options.OnRestore()
	}
	if isFirst || len(updates.Objects) > 0 || updates.Revision > before || updates.Era > era {
		f.delivered = true
		f.apply(updates)
	}
	return nil
}

// fetch returns the objects that are new or changed, from full lists or from a watch.
func (f *objectFollower) fetch(ctx context.Context) (api.ObjectList, error) {
	if !f.listed {
		return f.fetchLists(ctx)
	}
	wait := f.options.Wait
	if f.unavailable {
		// A watch that waits only briefly detects soon that the store is available again.
		wait = min(wait, probeWait)
	}
	changes, err := f.source.Watch(ctx, f.tracker.revision, wait, f.options.Kinds...)
	if err != nil {
		return api.ObjectList{}, err
	}
	return f.tracker.mergeChanges(changes)
}

// fetchLists lists the objects of all kinds.
func (f *objectFollower) fetchLists(ctx context.Context) (api.ObjectList, error) {
	lists := make([]kindList, 0, len(f.options.Kinds))
	for _, kind := range f.options.Kinds {
		list, err := f.source.List(ctx, kind)
		if err != nil {
			return api.ObjectList{}, err
		}
		lists = append(lists, kindList{kind: kind, list: list})
	}
	updates, err := f.tracker.mergeLists(lists)
	f.listed = err == nil
	return updates, err
}

// vmFollower reads and watches the VM list.
type vmFollower struct {
	client   *Client
	options  FollowOptions
	revision uint64
	listed   bool
	apply    func(api.VMList)
}

// step reads or watches the list once.
func (f *vmFollower) step(ctx context.Context) error {
	list, err := f.fetch(ctx)
	if err != nil {
		return err
	}
	if list.Revision < f.revision {
		return fmt.Errorf("%w: %d after %d", errRevisionDecreased, list.Revision, f.revision)
	}
	changed := !f.listed || list.Revision > f.revision
	f.listed = true
	f.revision = list.Revision
	if changed {
		f.apply(list)
	}
	return nil
}

// fetch returns the list; after the first time it waits for a change.
func (f *vmFollower) fetch(ctx context.Context) (api.VMList, error) {
	if !f.listed {
		return f.client.VMs(ctx)
	}
	return f.client.WatchVMs(ctx, f.revision, f.options.Wait)
}

// reachabilityLog logs when calls to the platform begin to fail and when they succeed again.
type reachabilityLog struct {
	followed    string
	unreachable bool
}

// record logs a change of reachability that the result of a step shows. ErrCompacted and ErrRestored are answers of the
// platform, which is therefore reachable.
func (l *reachabilityLog) record(err error) {
	log := logrus.WithField(logfield.Followed, l.followed)
	switch {
	case errors.Is(err, ErrRestored):
		log.WithError(err).Warn(logevent.PlatformListedAgain)
		err = nil
	case errors.Is(err, ErrCompacted):
		log.Info(logevent.PlatformHistoryCompacted)
		err = nil
	}
	switch {
	case err != nil && !l.unreachable:
		log.WithError(err).Warn(logevent.PlatformLost)
	case err == nil && l.unreachable:
		log.Info(logevent.PlatformReached)
	}
	l.unreachable = err != nil
}

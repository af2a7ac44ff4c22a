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

// DefaultWatchWait is the time that the platform holds a watch without changes back. It bounds
// how long a watch on a connection that went silent stays unnoticed.
const DefaultWatchWait = 5 * time.Second

// DefaultWatchPause is the time between two watches. It bounds the calls for a burst of
// changes.
const DefaultWatchPause = 100 * time.Millisecond

// probeWait is the time that a watch after a failure waits for changes.
const probeWait = time.Millisecond

// The times between retries after the platform failed.
const (
	firstFollowRetry = 100 * time.Millisecond
	maxFollowRetry   = 3 * time.Second
)

// FollowOptions describe how objects or VMs are followed.
type FollowOptions struct {
	// Kinds of objects to follow; unused for VMs.
	Kinds []string

	// Wait is the time that the platform may hold a watch back; 0 for DefaultWatchWait.
	Wait time.Duration

	// Pause is the time between two watches; 0 for DefaultWatchPause.
	Pause time.Duration

	// MaxRetry bounds the time between retries after a failure; 0 for 3 s.
	MaxRetry time.Duration

	// Reached is called after each call with nil or its failure; nil to ignore both.
	Reached func(error)

	// Hold is called before each call and returns when the call may be made; nil holds none back.
	// A call that was held back brings all that changed since the one before.
	Hold func(ctx context.Context)
}

// withDefaults fills in what is 0.
func (o FollowOptions) withDefaults() FollowOptions {
	if o.Wait <= 0 {
		o.Wait = DefaultWatchWait
	}
	if o.Pause <= 0 {
		o.Pause = DefaultWatchPause
	}
	if o.MaxRetry <= 0 {
		o.MaxRetry = maxFollowRetry
	}
	if o.Reached == nil {
		o.Reached = func(error) {}
	}
	if o.Hold == nil {
		o.Hold = func(context.Context) {}
	}
	return o
}

// Follow lists the objects of the kinds and then watches them until ctx ends, and returns the
// error of ctx. It calls apply, one call at a time, with the objects that are new. The first
// call carries all objects that exist. After it each object comes in rising versions only, a
// deletion as an object marked so; a list without objects tells that the revision rose. After
// a failure Follow retries with exponential backoff, and lists anew only when the platform has
// dropped the history in between. Answers of a lower revision count as failures.
func (c *Client) Follow(ctx context.Context, options FollowOptions, apply func(api.ObjectList)) error {
	return FollowSource(ctx, c, options, apply)
}

// Source lists and watches the objects of an object store. Its failures are those of this package:
// Watch fails with ErrCompacted when the history after the revision is gone.
type Source interface {
	List(ctx context.Context, kind string) (api.ObjectList, error)
	Watch(ctx context.Context, after uint64, wait time.Duration, kinds ...string) (api.ObjectList, error)
}

// FollowSource follows the objects of source as Client.Follow does.
func FollowSource(ctx context.Context, source Source, options FollowOptions, apply func(api.ObjectList)) error {
	if len(options.Kinds) == 0 {
		return fmt.Errorf("%w: no kinds to follow", ErrInvalid)
	}
	options = options.withDefaults()
	f := &objectFollower{source: source, options: options, tracker: newTracker(), apply: apply}
	return follow(ctx, "objects", options, f.step)
}

// FollowVMs reads the VM list and then watches it until ctx ends, and returns the error of
// ctx. It calls apply with each list of a higher revision. Failures are as with Follow.
func (c *Client) FollowVMs(ctx context.Context, options FollowOptions, apply func(api.VMList)) error {
	options = options.withDefaults()
	f := &vmFollower{client: c, options: options, apply: apply}
	return follow(ctx, "vms", options, f.step)
}

// follow repeats a step until ctx ends.
func follow(ctx context.Context, what string, options FollowOptions, step func(context.Context) error) error {
	retry := backoff{first: firstFollowRetry, maximum: options.MaxRetry}
	contact := &contactLog{what: what}
	for {
		options.Hold(ctx)
		err := step(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		options.Reached(err)
		contact.record(err)
		wait := jitter(options.Pause)
		switch {
		case err == nil:
			retry.reset()
		case errors.Is(err, ErrCompacted):
			// The store answers; the next call lists.
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
	// listed is false when the next step has to list.
	listed bool
	// failed is true after a call without an answer.
	failed bool
	// delivered is true after the first call of apply.
	delivered bool
	apply     func(api.ObjectList)
}

// step lists or watches once.
func (f *objectFollower) step(ctx context.Context) error {
	before := f.tracker.revision
	first := !f.delivered
	news, err := f.fetch(ctx)
	f.failed = errors.Is(err, ErrUnavailable)
	if errors.Is(err, ErrCompacted) {
		f.listed = false
	}
	if err != nil {
		return err
	}
	if first || len(news.Objects) > 0 || news.Revision > before {
		f.delivered = true
		f.apply(news)
	}
	return nil
}

// fetch returns what is new, from whole lists or from a watch.
func (f *objectFollower) fetch(ctx context.Context) (api.ObjectList, error) {
	if !f.listed {
		return f.fetchLists(ctx)
	}
	wait := f.options.Wait
	if f.failed {
		// A short call finds out soon whether the store is back.
		wait = min(wait, probeWait)
	}
	changes, err := f.source.Watch(ctx, f.tracker.revision, wait, f.options.Kinds...)
	if err != nil {
		return api.ObjectList{}, err
	}
	return f.tracker.advance(changes)
}

// fetchLists lists all kinds.
func (f *objectFollower) fetchLists(ctx context.Context) (api.ObjectList, error) {
	lists := make([]kindList, 0, len(f.options.Kinds))
	for _, kind := range f.options.Kinds {
		list, err := f.source.List(ctx, kind)
		if err != nil {
			return api.ObjectList{}, err
		}
		lists = append(lists, kindList{kind: kind, list: list})
	}
	news, err := f.tracker.relist(lists)
	f.listed = err == nil
	return news, err
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
		return fmt.Errorf("%w: %d after %d", errRevisionFell, list.Revision, f.revision)
	}
	changed := !f.listed || list.Revision > f.revision
	f.listed = true
	f.revision = list.Revision
	if changed {
		f.apply(list)
	}
	return nil
}

// fetch returns the list, waiting for a change after the first time.
func (f *vmFollower) fetch(ctx context.Context) (api.VMList, error) {
	if !f.listed {
		return f.client.VMs(ctx)
	}
	return f.client.WatchVMs(ctx, f.revision, f.options.Wait)
}

// contactLog logs when the platform is lost and when it is reached again.
type contactLog struct {
	what string
	lost bool
}

// record takes the result of a call.
func (l *contactLog) record(err error) {
	log := logrus.WithField(logfield.Followed, l.what)
	if errors.Is(err, ErrCompacted) {
		log.Info(logevent.PlatformHistoryCompacted)
		err = nil
	}
	switch {
	case err != nil && !l.lost:
		log.WithError(err).Warn(logevent.PlatformLost)
	case err == nil && l.lost:
		log.Info(logevent.PlatformReached)
	}
	l.lost = err != nil
}

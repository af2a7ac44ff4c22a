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

// The times between the attempts of Apply and Remove.
const (
	firstApplyRetry = 20 * time.Millisecond
	maxApplyRetry   = time.Second
)

// Outcome is what became of a change.
type Outcome int

// The outcomes of a change.
const (
	// OutcomeUnknown means that a change was sent and the platform could not be read
	// since, or that its history does not reach back far enough.
	OutcomeUnknown Outcome = iota
	// OutcomeDone means that the change took effect exactly once.
	OutcomeDone
	// OutcomeNotDone means that no attempt of this call took effect or will do so.
	OutcomeNotDone
	// OutcomeConflict means that another change came first; this one never will take
	// effect.
	OutcomeConflict
)

// String returns the name of the outcome in logs.
func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeNotDone:
		return "not_done"
	case OutcomeConflict:
		return "conflict"
	}
	return "unknown"
}

// Applied is the result of Apply and Remove.
type Applied struct {
	// Outcome tells what became of the change.
	Outcome Outcome

	// Object is the stored object as it was last seen; its version is 0 when there is
	// none.
	Object api.Object

	// Overwritten is true when the change took effect and a later one has replaced it, so
	// that Object is the later one.
	Overwritten bool
}

// Apply carries out a change of an object at most once and finds out what became of it. With
// obj.Version 0 it creates the object, otherwise it replaces the object of that version. It
// retries until ctx ends, so ctx should have a deadline. The error is nil when the outcome is
// done; otherwise it wraps ErrConflict, ErrExists or ErrNotFound with OutcomeConflict and
// ErrOutcomeUnknown with OutcomeUnknown.
//
// The change id must be unique; calling Apply again with the same one resumes a change whose
// outcome is unknown. Apply stores it in the data as change_id, and as the last of
// recent_changes, because another writer may replace the object before a lost answer is
// resolved: the change is then still found in the list. This needs all writers of the object
// to use Apply. When more changes follow than the list holds, the outcome is unknown. When
// the object was deleted in the meantime the outcome is a conflict: the change is not in
// force, but may have been before.
func (c *Client) Apply(ctx context.Context, obj api.Object, changeID string) (Applied, error) {
	return Apply(ctx, c, obj, changeID)
}

// Objects reads and changes single objects of an object store. The failures are those of this package.
type Objects interface {
	Get(ctx context.Context, kind, name string) (api.Object, error)
	Create(ctx context.Context, o api.Object) (api.Object, error)
	Update(ctx context.Context, o api.Object) (api.Object, error)
}

// Apply carries out a change as Client.Apply does.
func Apply(ctx context.Context, objects Objects, obj api.Object, changeID string) (Applied, error) {
	if changeID == "" {
		return Applied{Outcome: OutcomeNotDone}, fmt.Errorf("%w: empty change id", ErrInvalid)
	}
	change := &applyChange{objects: objects, object: obj, changeID: changeID}
	return retryChange(ctx, change)
}

// Remove deletes the object of the given version and finds out what became of that. The object
// being gone counts as done, another version of it as a conflict. Errors are as with Apply.
func (c *Client) Remove(ctx context.Context, kind, name string, version uint64) (Applied, error) {
	target := api.Object{Kind: kind, Name: name, Version: version}
	change := &removeChange{client: c, object: target}
	return retryChange(ctx, change)
}

// change is a change of one object whose attempts may be repeated.
type change interface {
	// attempt tries the change once. It returns errRetry when nothing is decided yet.
	attempt(ctx context.Context) (Applied, error)
	// maySettle reports whether an earlier attempt may still take effect.
	maySettle() bool
	// fields describe the change in logs.
	fields() logrus.Fields
}

// errRetry marks a failure after which the change is tried again.
var errRetry = errors.New("undecided")

// retryChange repeats attempts until one decides or ctx ends.
func retryChange(ctx context.Context, ch change) (Applied, error) {
	wait := backoff{first: firstApplyRetry, maximum: maxApplyRetry}
	for attempts := 1; ; attempts++ {
		applied, err := ch.attempt(ctx)
		if errors.Is(err, errRetry) {
			if clock.Sleep(ctx, wait.next()) == nil {
				continue
			}
			applied, err = abandon(ch, err)
		}
		log := logrus.WithFields(ch.fields()).WithField(logfield.Attempts, attempts)
		log = log.WithField(logfield.Outcome, applied.Outcome).WithField(logfield.Version, applied.Object.Version)
		log.Info(logevent.PlatformChange)
		return applied, err
	}
}

// abandon gives the result of a change that is undecided when its time is over.
func abandon(ch change, err error) (Applied, error) {
	if ch.maySettle() {
		return Applied{Outcome: OutcomeUnknown}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return Applied{Outcome: OutcomeNotDone}, err
}

// undecided marks the failure of an attempt for a retry.
func undecided(err error) error {
	return fmt.Errorf("%w: %w", errRetry, err)
}

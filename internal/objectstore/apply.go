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

// The delays between the attempts of Apply and Remove: they double from the first to the maximum.
const (
	firstApplyRetryDelay = 20 * time.Millisecond
	maxApplyRetryDelay   = time.Second
)

// Outcome states whether a change took effect.
type Outcome int

// The outcomes of a change.
const (
	// OutcomeUnknown means that a change was sent without an answer and that the stored object
	// does not tell whether it took effect: the object could not be read afterwards, or its
	// list of recent changes does not reach back far enough.
	OutcomeUnknown Outcome = iota
	// OutcomeDone means that the change took effect exactly once.
	OutcomeDone
	// OutcomeNotDone means that no attempt of this call took effect or can still take effect.
	OutcomeNotDone
	// OutcomeConflict means that another change came first and that this one can no longer
	// take effect.
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

// ChangeResult is the result of Apply and Remove.
type ChangeResult struct {
	// Outcome states whether the change took effect.
	Outcome Outcome

	// Object is the stored object as last read or written; its version is 0 if there is none.
	Object api.Object

	// Overwritten is true if the change took effect and a later change has replaced it. Object
	// then holds the result of the later change.
	Overwritten bool
}

// Apply carries out a change of an object at most once and determines its outcome. With
// obj.Version 0 it creates the object; otherwise it replaces the object of that version. It
// retries until ctx ends, so ctx should have a deadline. The error is nil if the outcome is
// OutcomeDone; otherwise it wraps ErrConflict, ErrExists or ErrNotFound with OutcomeConflict and
// ErrOutcomeUnknown with OutcomeUnknown.
//
// The change id must be unique; calling Apply again with the same id resumes a change whose
// outcome is unknown. Apply stores the id in the data as change_id and as the last entry of
// recent_changes. If another writer replaces the object before a lost answer is resolved, the
// change is still found in that list. This requires that all writers of the object use Apply.
// If more changes follow than the list holds, the outcome is unknown. If the object was deleted
// in the meantime, the outcome is a conflict: the change is not in force, but may have been
// before the deletion.
func (c *Client) Apply(ctx context.Context, obj api.Object, changeID string) (ChangeResult, error) {
	return Apply(ctx, c, obj, changeID)
}

// Objects reads and changes single objects of an object store. Its methods fail with the errors of this package.
type Objects interface {
	Get(ctx context.Context, kind, name string) (api.Object, error)
	Create(ctx context.Context, o api.Object) (api.Object, error)
	Update(ctx context.Context, o api.Object) (api.Object, error)
}

// Apply carries out a change of an object in any object store, as Client.Apply does for the platform.
func Apply(ctx context.Context, objects Objects, obj api.Object, changeID string) (ChangeResult, error) {
	if changeID == "" {
		return ChangeResult{Outcome: OutcomeNotDone}, fmt.Errorf("%w: empty change id", ErrInvalid)
	}
	change := &applyChange{objects: objects, object: obj, changeID: changeID}
	return retryChange(ctx, change)
}

// Remove deletes the object of the given version and determines the outcome. It is OutcomeDone
// if the object does not exist and OutcomeConflict if it has another version. The errors are
// those of Apply.
func (c *Client) Remove(ctx context.Context, kind, name string, version uint64) (ChangeResult, error) {
	target := api.Object{Kind: kind, Name: name, Version: version}
	change := &removeChange{client: c, object: target}
	return retryChange(ctx, change)
}

// change is a change of one object whose attempts can be repeated.
type change interface {
	// attempt tries the change once. The error wraps errRetry while the outcome is still open.
	attempt(ctx context.Context) (ChangeResult, error)
	// mayStillTakeEffect reports whether an earlier attempt may still take effect.
	mayStillTakeEffect() bool
	// fields returns the log fields that describe the change.
	fields() logrus.Fields
}

// errRetry marks a failed attempt after which the change is tried again.
var errRetry = errors.New("undecided")

// retryChange repeats attempts until one determines the outcome or ctx ends, and logs the result.
func retryChange(ctx context.Context, ch change) (ChangeResult, error) {
	wait := backoff{first: firstApplyRetryDelay, maximum: maxApplyRetryDelay}
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

// abandon returns the result of a change whose outcome is still open when ctx ends.
func abandon(ch change, err error) (ChangeResult, error) {
	if ch.mayStillTakeEffect() {
		return ChangeResult{Outcome: OutcomeUnknown}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return ChangeResult{Outcome: OutcomeNotDone}, err
}

// retryable wraps the failure of an attempt so that the change is tried again.
func retryable(err error) error {
	return fmt.Errorf("%w: %w", errRetry, err)
}

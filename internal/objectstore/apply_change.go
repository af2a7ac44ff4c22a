package objectstore

import (
	"context"
	"errors"
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
)

// applyChange creates or replaces an object. All attempts are conditional on the same
// version, so at most one of them takes effect.
type applyChange struct {
	objects  Objects
	object   api.Object
	changeID string
	// base is the change history of the object before the change.
	base changeHistory
	// readFirst is true if the next attempt has to read the stored object before it sends.
	readFirst bool
	// answerLost is true after an attempt that was sent and not answered.
	answerLost bool
}

// isCreate reports whether the change creates the object.
func (a *applyChange) isCreate() bool {
	return a.object.Version == 0
}

func (a *applyChange) mayStillTakeEffect() bool {
	return a.answerLost
}

func (a *applyChange) fields() logrus.Fields {
	return logrus.Fields{logfield.Kind: a.object.Kind, logfield.Name: a.object.Name, logfield.ChangeID: a.changeID}
}

// attempt reads the stored object if that can determine the outcome, and otherwise sends the
// change. An update always reads first, because it extends the change history of the object.
func (a *applyChange) attempt(ctx context.Context) (ChangeResult, error) {
	if a.readFirst || !a.isCreate() {
		applied, err := a.inspect(ctx)
		if err != nil || applied.Outcome == OutcomeDone {
			return applied, err
		}
	}
	return a.send(ctx)
}

// inspect reads the stored object. OutcomeNotDone without an error means that the change can
// be sent.
func (a *applyChange) inspect(ctx context.Context) (ChangeResult, error) {
	stored, err := a.objects.Get(ctx, a.object.Kind, a.object.Name)
	if errors.Is(err, ErrNotFound) {
		return a.inspectMissing(err)
	}
	if err != nil {
		return ChangeResult{}, retryable(err)
	}
	// What another writer has stored may have no readable history. It is replaced like any other version, and nothing
	// is known of the changes before it.
	history, err := historyOf(stored.Data)
	if err != nil {
		logrus.WithFields(a.fields()).WithFields(logrus.Fields{
			logfield.Version: stored.Version, logfield.Error: shorten(err.Error(), maxLoggedReason),
		}).Warn(logevent.ObjectUnreadable)
	}
	return a.compare(stored, history)
}

// inspectMissing handles a missing object: a creation can be sent, an update conflicts with a
// deletion.
func (a *applyChange) inspectMissing(err error) (ChangeResult, error) {
	if a.isCreate() {
		return ChangeResult{Outcome: OutcomeNotDone}, nil
	}
	return ChangeResult{Outcome: OutcomeConflict}, err
}

// compare determines the outcome from the version and the change history of the stored object.
func (a *applyChange) compare(stored api.Object, history changeHistory) (ChangeResult, error) {
	if history.contains(a.changeID) {
		overwritten := history.newest() != a.changeID
		return ChangeResult{Outcome: OutcomeDone, Object: stored, Overwritten: overwritten}, nil
	}
	if stored.Version == a.object.Version && (stored.Era == a.object.Era || a.isCreate()) {
		a.base = history
		return ChangeResult{Outcome: OutcomeNotDone}, nil
	}
	if a.answerLost && !history.reachesBackTo(a.base) {
		err := fmt.Errorf("%w: the recent changes do not reach back", ErrOutcomeUnknown)
		return ChangeResult{Outcome: OutcomeUnknown, Object: stored}, err
	}
	return ChangeResult{Outcome: OutcomeConflict, Object: stored}, a.conflict(stored)
}

// conflict returns the error for an object that another change has created or replaced first.
func (a *applyChange) conflict(stored api.Object) error {
	if a.isCreate() {
		return fmt.Errorf("%w: version %d of another change", ErrExists, stored.Version)
	}
	return fmt.Errorf("%w: version %d instead of %d", ErrConflict, stored.Version, a.object.Version)
}

// send sends the change. After a failure the next attempt reads the object first: an earlier attempt
// of this change may have taken effect, and may itself be the cause of a conflict.
func (a *applyChange) send(ctx context.Context) (ChangeResult, error) {
	data, err := recordChange(a.object.Data, a.base, a.changeID)
	if err != nil {
		return ChangeResult{Outcome: a.failedOutcome()}, err
	}
	stored, err := a.write(ctx, data)
	if err == nil {
		return ChangeResult{Outcome: OutcomeDone, Object: stored}, nil
	}
	a.readFirst = true
	a.answerLost = a.answerLost || errors.Is(err, ErrOutcomeUnknown)
	if errors.Is(err, ErrTooLarge) || errors.Is(err, ErrInvalid) {
		return ChangeResult{Outcome: a.failedOutcome()}, err
	}
	return ChangeResult{}, retryable(err)
}

// write sends one create or update call.
func (a *applyChange) write(ctx context.Context, data []byte) (api.Object, error) {
	o := a.object
	o.Data = data
	if a.isCreate() {
		return a.objects.Create(ctx, o)
	}
	return a.objects.Update(ctx, o)
}

// failedOutcome returns the outcome of a change that is not tried again: unknown if an earlier attempt was sent
// and not answered.
func (a *applyChange) failedOutcome() Outcome {
	if a.answerLost {
		return OutcomeUnknown
	}
	return OutcomeNotDone
}

// removeChange deletes an object of a given version.
type removeChange struct {
	client *Client
	object api.Object
	// answerLost is true after an attempt that was sent and not answered.
	answerLost bool
}

func (r *removeChange) mayStillTakeEffect() bool {
	return r.answerLost
}

func (r *removeChange) fields() logrus.Fields {
	return logrus.Fields{logfield.Kind: r.object.Kind, logfield.Name: r.object.Name, logfield.Change: "delete"}
}

// attempt sends the deletion, whose answer determines the outcome: the answer to a repeated
// deletion says as much as reading the stored object would.
func (r *removeChange) attempt(ctx context.Context) (ChangeResult, error) {
	err := r.client.Delete(ctx, r.object.Kind, r.object.Name, r.object.Version)
	if err == nil || errors.Is(err, ErrNotFound) {
		return ChangeResult{Outcome: OutcomeDone}, nil
	}
	if errors.Is(err, ErrConflict) {
		return ChangeResult{Outcome: OutcomeConflict}, err
	}
	r.answerLost = r.answerLost || errors.Is(err, ErrOutcomeUnknown)
	if errors.Is(err, ErrUnavailable) {
		return ChangeResult{}, retryable(err)
	}
	return ChangeResult{Outcome: OutcomeNotDone}, err
}

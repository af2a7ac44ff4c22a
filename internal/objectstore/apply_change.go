package objectstore

import (
	"context"
	"errors"
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logfield"
)

// applyChange creates or replaces an object. All attempts are conditional on the same
// version, so at most one of them takes effect.
type applyChange struct {
	objects  Objects
	object   api.Object
	changeID string
	// base is the history of the object before the change.
	base changeHistory
	// read is true when the next attempt has to look at the stored object first.
	read bool
	// sent is true when an attempt was sent whose answer was lost.
	sent bool
}

// isCreate reports whether the change creates the object.
func (a *applyChange) isCreate() bool {
	return a.object.Version == 0
}

func (a *applyChange) maySettle() bool {
	return a.sent
}

func (a *applyChange) fields() logrus.Fields {
	return logrus.Fields{logfield.Kind: a.object.Kind, logfield.Name: a.object.Name, logfield.ChangeID: a.changeID}
}

// attempt looks at the stored object where that can decide, and then sends the change. An
// update looks first in any case, to take over the history of the object.
func (a *applyChange) attempt(ctx context.Context) (Applied, error) {
	if a.read || !a.isCreate() {
		applied, err := a.inspect(ctx)
		if err != nil || applied.Outcome == OutcomeDone {
			return applied, err
		}
	}
	return a.send(ctx)
}

// inspect reads the stored object. The outcome not done without an error asks to send.
func (a *applyChange) inspect(ctx context.Context) (Applied, error) {
	stored, err := a.objects.Get(ctx, a.object.Kind, a.object.Name)
	if errors.Is(err, ErrNotFound) {
		return a.inspectMissing(err)
	}
	if err != nil {
		return Applied{}, undecided(err)
	}
	history, err := historyOf(stored.Data)
	if err != nil {
		return Applied{Outcome: a.undoneOutcome(), Object: stored}, err
	}
	return a.compare(stored, history)
}

// inspectMissing decides when there is no object: a creation goes on, an update has lost
// against a deletion.
func (a *applyChange) inspectMissing(err error) (Applied, error) {
	if a.isCreate() {
		return Applied{Outcome: OutcomeNotDone}, nil
	}
	return Applied{Outcome: OutcomeConflict}, err
}

// compare decides by the version and the history of the stored object.
func (a *applyChange) compare(stored api.Object, history changeHistory) (Applied, error) {
	if history.contains(a.changeID) {
		overwritten := history.newest() != a.changeID
		return Applied{Outcome: OutcomeDone, Object: stored, Overwritten: overwritten}, nil
	}
	if stored.Version == a.object.Version {
		a.base = history
		return Applied{Outcome: OutcomeNotDone}, nil
	}
	if a.sent && !history.reachesBackTo(a.base) {
		err := fmt.Errorf("%w: the recent changes do not reach back", ErrOutcomeUnknown)
		return Applied{Outcome: OutcomeUnknown, Object: stored}, err
	}
	return Applied{Outcome: OutcomeConflict, Object: stored}, a.conflict(stored)
}

// conflict returns the error for an object that another change has reached first.
func (a *applyChange) conflict(stored api.Object) error {
	if a.isCreate() {
		return fmt.Errorf("%w: version %d of another change", ErrExists, stored.Version)
	}
	return fmt.Errorf("%w: version %d instead of %d", ErrConflict, stored.Version, a.object.Version)
}

// send sends the change. When another change was first, the next attempt finds out whether
// that was an earlier attempt of this one.
func (a *applyChange) send(ctx context.Context) (Applied, error) {
	data, err := recordChange(a.object.Data, a.base, a.changeID)
	if err != nil {
		return Applied{Outcome: a.undoneOutcome()}, err
	}
	stored, err := a.write(ctx, data)
	if err == nil {
		return Applied{Outcome: OutcomeDone, Object: stored}, nil
	}
	a.read = true
	a.sent = a.sent || errors.Is(err, ErrOutcomeUnknown)
	if errors.Is(err, ErrTooLarge) || errors.Is(err, ErrInvalid) {
		return Applied{Outcome: a.undoneOutcome()}, err
	}
	return Applied{}, undecided(err)
}

// write calls the platform once.
func (a *applyChange) write(ctx context.Context, data []byte) (api.Object, error) {
	o := a.object
	o.Data = data
	if a.isCreate() {
		return a.objects.Create(ctx, o)
	}
	return a.objects.Update(ctx, o)
}

// undoneOutcome is the outcome of a change that cannot go on.
func (a *applyChange) undoneOutcome() Outcome {
	if a.sent {
		return OutcomeUnknown
	}
	return OutcomeNotDone
}

// removeChange deletes an object of one version.
type removeChange struct {
	client *Client
	object api.Object
	sent   bool
}

func (r *removeChange) maySettle() bool {
	return r.sent
}

func (r *removeChange) fields() logrus.Fields {
	return logrus.Fields{logfield.Kind: r.object.Kind, logfield.Name: r.object.Name, logfield.Change: "delete"}
}

// attempt sends the deletion and decides by the answer; a repeated one tells as much as a
// look at the stored object.
func (r *removeChange) attempt(ctx context.Context) (Applied, error) {
	err := r.client.Delete(ctx, r.object.Kind, r.object.Name, r.object.Version)
	if err == nil || errors.Is(err, ErrNotFound) {
		return Applied{Outcome: OutcomeDone}, nil
	}
	if errors.Is(err, ErrConflict) {
		return Applied{Outcome: OutcomeConflict}, err
	}
	r.sent = r.sent || errors.Is(err, ErrOutcomeUnknown)
	if errors.Is(err, ErrUnavailable) {
		return Applied{}, undecided(err)
	}
	return Applied{Outcome: OutcomeNotDone}, err
}

package operator

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/objectstore"
	"github.com/papayacove/papayacove/internal/result"
)

// maxResolveAttempts is the maximum number of times that Resolve reads an object that other changes keep replacing.
const maxResolveAttempts = 8

// Resolve determines the outcome of a change: done or not done. The outcome is final: while the
// object is still at the version that the change replaces, a delayed request could take effect,
// so Resolve first rewrites the object unchanged, which raises its version. DryRun does not
// prevent this. The error carries PlatformUnavailable or OutcomeUnknown when the platform cannot
// be read, the history does not reach back to the change or other changes keep replacing the
// object, and ObjectInvalid when the object is still at a lower version than the one that the change
// replaces, or its document is malformed.
func (e *Editor) Resolve(ctx context.Context, id ChangeID) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	for range maxResolveAttempts {
		report, decided, err := e.resolveOnce(ctx, id)
		if decided || err != nil {
			return report, err
		}
	}
	return Report{}, result.Errorf(result.OutcomeUnknown, "change %s: the object keeps changing; try again", id)
}

// resolveOnce reads the object once and reports whether the outcome in the report is final. If it is not and there
// is no error, the object has to be read again.
func (e *Editor) resolveOnce(ctx context.Context, id ChangeID) (Report, bool, error) {
	report := Report{Kind: id.Kind, Name: id.Name, ChangeID: id.String()}
	object, err := e.Client.Get(ctx, id.Kind, id.Name)
	if errors.Is(err, objectstore.ErrNotFound) {
		return e.resolveMissing(ctx, id, report)
	}
	if err != nil {
		return report, false, platformError(err)
	}
	document, err := decodeDocument(object)
	if err != nil {
		return report, false, err
	}
	report.Version = object.Version
	if object.Version < id.Base {
		return report, false, result.Errorf(result.ObjectInvalid,
			"change %s: %s %s is at version %d, so there was no such change", id, id.Kind, id.Name, object.Version)
	}
	switch {
	case slices.Contains(recentChanges(document), id.String()):
		report.Outcome = objectstore.OutcomeDone.String()
		return report, true, nil
	case object.Version == id.Base:
		return report, false, e.fence(ctx, object)
	case !reachesBack(document, id.Base):
		return report, false, result.Errorf(result.OutcomeUnknown, "change %s: older than the history of the object", id)
	}
	report.Outcome = objectstore.OutcomeNotDone.String()
	return report, true, nil
}

// resolveMissing handles an object that does not exist: an update is reported as not done, because the
// object was removed, and a creation is fenced by a tombstone, after which the object has to be read again.
func (e *Editor) resolveMissing(ctx context.Context, id ChangeID, report Report) (Report, bool, error) {
	if id.Base != 0 {
		report.Outcome = objectstore.OutcomeNotDone.String()
		return report, true, nil
	}
	document, err := tombstone(id)
	if err != nil {
		return report, false, err
	}
	object, err := encodeDocument(document, 0)
	if err != nil {
		return report, false, err
	}
	_, err = e.Client.Create(ctx, object)
	return report, false, ignoreRace(err)
}

// fence rewrites an object unchanged, which raises its version, so that a delayed change of the old version cannot take
// effect.
func (e *Editor) fence(ctx context.Context, object api.Object) error {
	_, err := e.Client.Update(ctx, object)
	return ignoreRace(err)
}

// ignoreRace returns nil for errors after which Resolve reads the object again, because it may have changed.
func ignoreRace(err error) error {
	if err == nil || errors.Is(err, objectstore.ErrConflict) || errors.Is(err, objectstore.ErrExists) {
		return nil
	}
	if errors.Is(err, objectstore.ErrNotFound) || errors.Is(err, objectstore.ErrOutcomeUnknown) {
		return nil
	}
	return fmt.Errorf("fence change: %w", platformError(err))
}

// tombstone returns a document marked as removed, under the name that a change would have created.
func tombstone(id ChangeID) (Document, error) {
	switch id.Kind {
	case objectstore.KindTemplate:
		return &templateDocument{api.Template{Name: id.Name, Deleted: true}}, nil
	case objectstore.KindWorkspace:
		return &workspaceDocument{api.Workspace{Name: id.Name, Deleted: true}}, nil
	default:
		return nil, malformedChangeID(id.String())
	}
}

func recentChanges(document Document) []string {
	switch d := document.(type) {
	case *templateDocument:
		return d.RecentChanges
	case *workspaceDocument:
		return d.RecentChanges
	default:
		return nil
	}
}

// reachesBack reports whether the history holds every change after the base version.
func reachesBack(document Document, base uint64) bool {
	history := document.Changes()
	if len(history) < maxChangeRecords {
		return true
	}
	return history[len(history)-1].BaseVersion <= base
}

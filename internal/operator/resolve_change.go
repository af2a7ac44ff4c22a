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

// maxResolveAttempts bounds how often a racing change is looked at again.
const maxResolveAttempts = 8

// Resolve finds out what became of a change: done or not done. The answer is final: while the
// object is still at the version that the change replaces, a late request could take effect,
// so Resolve first rewrites the object unchanged, which raises its version. The error carries
// PlatformUnavailable or OutcomeUnknown when the platform cannot be read, or its history does
// not reach back.
func (e *Editor) Resolve(ctx context.Context, id ChangeID) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	for range maxResolveAttempts {
		report, decided, err := e.resolveOnce(ctx, id)
		if decided || err != nil {
			return report, err
		}
	}
	return Report{}, result.Errorf(result.OutcomeUnknown, "change %s: the object keeps changing; ask again", id)
}

// resolveOnce reports whether the outcome is final.
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

// resolveMissing decides when there is no object: an update has lost against a removal, and a
// creation is fenced by a tombstone.
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

// fence rewrites an object unchanged, so that a change of its version can no longer take effect.
func (e *Editor) fence(ctx context.Context, object api.Object) error {
	_, err := e.Client.Update(ctx, object)
	return ignoreRace(err)
}

// ignoreRace drops the failures after which the object is looked at again.
func ignoreRace(err error) error {
	if err == nil || errors.Is(err, objectstore.ErrConflict) || errors.Is(err, objectstore.ErrExists) {
		return nil
	}
	if errors.Is(err, objectstore.ErrNotFound) || errors.Is(err, objectstore.ErrOutcomeUnknown) {
		return nil
	}
	return fmt.Errorf("fence change: %w", platformError(err))
}

// tombstone is a removed document of the name that a creation was for.
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
	if len(history) < maxHistory {
		return true
	}
	return history[len(history)-1].BaseVersion <= base
}

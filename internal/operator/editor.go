package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/objectstore"
	"github.com/papayacove/papayacove/internal/result"
)

// maxHistory bounds the change records that an object keeps.
const maxHistory = 16

// Edit is a change of one document that starts from a known version.
type Edit struct {
	// Base is the version that is replaced; 0 for a creation.
	Base  uint64
	After Document
	// Deleted marks the document as removed.
	Deleted bool
	// baseKeys are the values at Base, when the edit has read them.
	baseKeys Keys
	history  []api.ChangeRecord
}

// Report tells what became of a change.
type Report struct {
	Kind        string          `json:"kind"`
	Name        string          `json:"name"`
	ChangeID    string          `json:"change_id,omitempty"`
	Outcome     string          `json:"outcome"`
	Version     uint64          `json:"version,omitempty"`
	Differences []api.KeyChange `json:"differences"`
}

// The outcomes in a Report besides those of a platform change.
const (
	outcomeUnchanged = "unchanged"
	outcomeDryRun    = "dry_run"
)

// Editor carries changes out.
type Editor struct {
	Client *objectstore.Client
	Author string
	// Timeout bounds the work on one change.
	Timeout time.Duration
	// DryRun keeps the editor from changing anything.
	DryRun bool
	// Now returns the wall clock.
	Now func() time.Time
}

// newEdit starts an edit from what was read.
func newEdit(before Stored, after Document) Edit {
	edit := Edit{Base: before.Version, After: after, baseKeys: before.keys()}
	if before.Document != nil {
		edit.history = before.Document.Changes()
	}
	return edit
}

// Submit stores an edit by a conditional update. The error is a *ConflictError when another
// change came first, and carries OutcomeUnknown when the platform could not be read to find out.
func (e *Editor) Submit(ctx context.Context, edit Edit) (Report, error) {
	report := Report{Kind: edit.After.Kind(), Name: edit.After.Title(), Version: edit.Base}
	edit.After.stamp(edit.Deleted, edit.history)
	report.Differences = Differences(edit.baseKeys, edit.After.Keys())
	if len(report.Differences) == 0 && edit.Base != 0 {
		report.Outcome = outcomeUnchanged
		return report, nil
	}
	if e.DryRun {
		report.Outcome = outcomeDryRun
		return report, nil
	}
	id := newChangeID(report.Kind, report.Name, edit.Base)
	report.ChangeID = id.String()
	edit.After.stamp(edit.Deleted, e.recorded(edit, id, report.Differences))
	return e.apply(ctx, edit, id, report)
}

// recorded returns the history with the change in front.
func (e *Editor) recorded(edit Edit, id ChangeID, changes []api.KeyChange) []api.ChangeRecord {
	record := api.ChangeRecord{
		ChangeID:    id.String(),
		BaseVersion: edit.Base,
		Author:      e.Author,
		TimeMs:      e.Now().UnixMilli(),
		Changes:     changes,
	}
	if edit.Base == 0 {
		record.Changes = []api.KeyChange{}
	}
	history := append([]api.ChangeRecord{record}, edit.history...)
	return history[:min(len(history), maxHistory)]
}

// apply sends the change and finds out what became of it.
func (e *Editor) apply(ctx context.Context, edit Edit, id ChangeID, report Report) (Report, error) {
	object, err := encodeDocument(edit.After, edit.Base)
	if err != nil {
		return report, err
	}
	bounded, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	applied, err := e.Client.Apply(bounded, object, id.String())
	report.Outcome = applied.Outcome.String()
	switch applied.Outcome {
	case objectstore.OutcomeDone:
		report.Version = applied.Object.Version
		return report, nil
	case objectstore.OutcomeConflict:
		return report, e.conflict(ctx, edit, err)
	case objectstore.OutcomeUnknown:
		return e.settle(ctx, id, report)
	default:
		return report, platformError(err)
	}
}

// conflict reads the object anew to show both sides.
func (e *Editor) conflict(ctx context.Context, edit Edit, cause error) error {
	current, err := load(ctx, e.Client, edit.After.Kind(), edit.After.Title())
	if err != nil {
		return platformError(cause)
	}
	return newConflict(edit, current)
}

// settle asks once more after the time for the change is over.
func (e *Editor) settle(ctx context.Context, id ChangeID, report Report) (Report, error) {
	resolved, err := e.Resolve(ctx, id)
	if err != nil {
		return report, fmt.Errorf("ask again later with papayacovectl change %s: %w", id, err)
	}
	report.Outcome = resolved.Outcome
	report.Version = resolved.Version
	if resolved.Outcome != objectstore.OutcomeDone.String() {
		return report, result.Errorf(result.PlatformUnavailable, "change %s was not done", id)
	}
	return report, nil
}

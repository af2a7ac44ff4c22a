package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/objectstore"
	"github.com/papayacove/papayacove/internal/result"
)

// maxChangeRecords is the maximum number of change records that an object keeps.
const maxChangeRecords = 16

// Edit is a change of one document that starts from a known version.
type Edit struct {
	// Base is the version that the edit replaces; 0 for a creation.
	Base  uint64
	After Document
	// Deleted marks the document as removed.
	Deleted bool
	// baseValues holds the values at Base; nil if the edit did not read that version.
	baseValues FlatValues
	history    []api.ChangeRecord
}

// Report is the outcome of a change, or of a comparison.
type Report struct {
	Kind        string          `json:"kind"`
	Name        string          `json:"name"`
	ChangeID    string          `json:"change_id,omitempty"`
	Outcome     string          `json:"outcome"`
	Version     uint64          `json:"version,omitempty"`
	Differences []api.KeyChange `json:"differences"`
}

// The outcomes in a Report in addition to those of objectstore.Outcome.
const (
	outcomeUnchanged = "unchanged"
	outcomeDryRun    = "dry_run"
)

// Editor applies changes to templates and workspaces on the platform.
type Editor struct {
	Client *objectstore.Client
	Author string
	// Timeout is the time limit of one change, and of resolving one.
	Timeout time.Duration
	// DryRun makes Submit report the differences without storing the edit.
	DryRun bool
	// Now returns the wall clock.
	Now func() time.Time
}

// newEdit returns an edit that replaces the document before, as it was read from the platform.
func newEdit(before Stored, after Document) Edit {
	edit := Edit{Base: before.Version, After: after, baseValues: before.flatValues()}
	if before.Document != nil {
		edit.history = before.Document.Changes()
	}
	return edit
}

// Submit stores an edit by a conditional update. The error is a *ConflictError when another
// change was stored first. After a lost answer it carries PlatformUnavailable when the change was
// not done, and OutcomeUnknown or PlatformUnavailable when the outcome could not be determined.
func (e *Editor) Submit(ctx context.Context, edit Edit) (Report, error) {
	report := Report{Kind: edit.After.Kind(), Name: edit.After.ObjectName(), Version: edit.Base}
	edit.After.setMetadata(edit.Deleted, edit.history)
	report.Differences = Differences(edit.baseValues, edit.After.FlatValues())
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
	edit.After.setMetadata(edit.Deleted, e.withRecord(edit, id, report.Differences))
	return e.apply(ctx, edit, id, report)
}

// withRecord returns the history with a record of the change prepended, cut to maxChangeRecords.
func (e *Editor) withRecord(edit Edit, id ChangeID, changes []api.KeyChange) []api.ChangeRecord {
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
	return history[:min(len(history), maxChangeRecords)]
}

// apply sends the change and determines its outcome.
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
		return e.resolveUnknown(ctx, id, report)
	default:
		return report, platformError(err)
	}
}

// conflict reads the object again and returns a *ConflictError with the changes of both sides, or cause with its result
// code if the read fails.
func (e *Editor) conflict(ctx context.Context, edit Edit, cause error) error {
	current, err := load(ctx, e.Client, edit.After.Kind(), edit.After.ObjectName())
	if err != nil {
		return platformError(cause)
	}
	return newConflict(edit, current)
}

// resolveUnknown determines, with a new time limit, the outcome of a change that Apply left unknown.
func (e *Editor) resolveUnknown(ctx context.Context, id ChangeID, report Report) (Report, error) {
	resolved, err := e.Resolve(ctx, id)
	if err != nil {
		return report, fmt.Errorf("run papayacovectl change %s later to determine the outcome: %w", id, err)
	}
	report.Outcome = resolved.Outcome
	report.Version = resolved.Version
	if resolved.Outcome != objectstore.OutcomeDone.String() {
		return report, result.Errorf(result.PlatformUnavailable, "change %s was not done", id)
	}
	return report, nil
}

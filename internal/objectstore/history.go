package objectstore

import (
	"encoding/json"
	"fmt"
	"slices"
)

// The fields that Apply keeps in the data of an object.
const (
	changeIDField      = "change_id"
	recentChangesField = "recent_changes"
)

// maxRecentChanges bounds the change ids that an object remembers.
const maxRecentChanges = 16

// changeHistory is the ids of the last changes of an object, oldest first.
type changeHistory []string

// historyOf returns the change ids in the data of an object. A change id that is missing from
// the list of recent ones counts as the newest.
func historyOf(data json.RawMessage) (changeHistory, error) {
	var fields struct {
		ChangeID      string   `json:"change_id"`
		RecentChanges []string `json:"recent_changes"`
	}
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, fmt.Errorf("%w: change ids: %w", ErrInvalid, err)
	}
	history := changeHistory(fields.RecentChanges)
	if fields.ChangeID == "" || slices.Contains(history, fields.ChangeID) {
		return history, nil
	}
	return append(history, fields.ChangeID), nil
}

// newest returns the id of the last change; empty when none is known.
func (h changeHistory) newest() string {
	if len(h) == 0 {
		return ""
	}
	return h[len(h)-1]
}

// contains reports whether the change took effect.
func (h changeHistory) contains(changeID string) bool {
	return slices.Contains(h, changeID)
}

// reachesBackTo reports whether h holds every change since base, so that a change that h does
// not contain has not taken effect since then.
func (h changeHistory) reachesBackTo(base changeHistory) bool {
	if len(base) > 0 {
		return h.contains(base.newest())
	}
	return len(h) < maxRecentChanges
}

// with returns the history after one more change.
func (h changeHistory) with(changeID string) changeHistory {
	longer := append(slices.Clone(h), changeID)
	return longer[max(0, len(longer)-maxRecentChanges):]
}

// recordChange returns data that names the change and those before it.
func recordChange(data json.RawMessage, before changeHistory, changeID string) (json.RawMessage, error) {
	fields, err := decodeFields(data)
	if err != nil {
		return nil, err
	}
	if fields[changeIDField], err = json.Marshal(changeID); err != nil {
		return nil, fmt.Errorf("encode the change id: %w", err)
	}
	if fields[recentChangesField], err = json.Marshal(before.with(changeID)); err != nil {
		return nil, fmt.Errorf("encode the recent changes: %w", err)
	}
	return json.Marshal(fields)
}

// Content returns data without the fields that Apply adds, for decoders that reject unknown
// fields and for showing to operators.
func Content(data json.RawMessage) (json.RawMessage, error) {
	fields, err := decodeFields(data)
	if err != nil {
		return nil, err
	}
	delete(fields, changeIDField)
	delete(fields, recentChangesField)
	return json.Marshal(fields)
}

// decodeFields returns the fields of a JSON object.
func decodeFields(data json.RawMessage) (map[string]json.RawMessage, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, fmt.Errorf("%w: data: %w", ErrInvalid, err)
	}
	if fields == nil {
		return nil, fmt.Errorf("%w: data is not a JSON object", ErrInvalid)
	}
	return fields, nil
}

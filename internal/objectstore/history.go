package objectstore

import (
	"encoding/json"
	"fmt"
	"slices"
)

// The fields that Apply adds to the data of an object.
const (
	changeIDField      = "change_id"
	recentChangesField = "recent_changes"
)

// maxRecentChanges is the maximum number of change ids that the data of an object lists.
const maxRecentChanges = 16

// changeHistory holds the ids of the last changes of an object, oldest first.
type changeHistory []string

// historyOf returns the change ids in the data of an object. If recent_changes lacks the id in
// change_id, that id is appended as the newest.
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

// newest returns the id of the last change; empty if there is none.
func (h changeHistory) newest() string {
	if len(h) == 0 {
		return ""
	}
	return h[len(h)-1]
}

// contains reports whether the history lists the change, which means that it took effect.
func (h changeHistory) contains(changeID string) bool {
	return slices.Contains(h, changeID)
}

// reachesBackTo reports whether h holds every change since base. If it does, a change that h does
// not contain has not taken effect since then.
func (h changeHistory) reachesBackTo(base changeHistory) bool {
	if len(base) > 0 {
		return h.contains(base.newest())
	}
	return len(h) < maxRecentChanges
}

// with returns the history extended by a change, without the ids beyond maxRecentChanges.
func (h changeHistory) with(changeID string) changeHistory {
	longer := append(slices.Clone(h), changeID)
	return longer[max(0, len(longer)-maxRecentChanges):]
}

// recordChange returns data with the id of the change and the ids of the changes before it.
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
// fields and for display to operators.
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

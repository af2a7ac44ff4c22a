package operator

import (
	"fmt"
	"strings"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
)

// ConflictError reports that another operator changed the object after the edit started from it; the edit changed
// nothing.
type ConflictError struct {
	Kind string
	Name string
	// Base is the version that the edit started from.
	Base uint64
	// Current is the version that the platform holds.
	Current uint64
	// Yours holds the changes from the base to the refused edit.
	Yours []api.KeyChange
	// Theirs holds the changes from the base to the current version.
	Theirs []api.KeyChange
	// Partial is true when the history does not reach back to the base; Yours and Theirs then
	// start from the oldest known version.
	Partial bool
}

// Error returns a text with the differences of both sides.
func (e *ConflictError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s: %s %s is at version %d, the edit started from version %d; nothing was changed",
		result.ObjectConflict, e.Kind, e.Name, e.Current, e.Base)
	if e.Partial {
		text.WriteString("\nthe history does not reach back to the start of the edit")
	}
	text.WriteString("\ntheir changes:\n")
	text.WriteString(formatDifferences(e.Theirs))
	text.WriteString("your changes:\n")
	text.WriteString(formatDifferences(e.Yours))
	return strings.TrimRight(text.String(), "\n")
}

// Unwrap returns an error of the code ObjectConflict.
func (e *ConflictError) Unwrap() error {
	return result.Errorf(result.ObjectConflict, "%s %s", e.Kind, e.Name)
}

// newConflict returns the conflict between an edit and the document that the platform holds.
func newConflict(edit Edit, current Stored) *ConflictError {
	base, complete := edit.baseValues, true
	if base == nil {
		base, complete = storedValuesAt(current, edit.Base)
	}
	return &ConflictError{
		Kind:    edit.After.Kind(),
		Name:    edit.After.ObjectName(),
		Base:    edit.Base,
		Current: current.Version,
		Yours:   Differences(base, edit.After.FlatValues()),
		Theirs:  Differences(base, current.flatValues()),
		Partial: !complete,
	}
}

// storedValuesAt returns the values that a document had at an earlier version. It reports false
// when the object is missing or its history does not reach back that far.
func storedValuesAt(current Stored, version uint64) (FlatValues, bool) {
	if current.Document == nil {
		return FlatValues{}, false
	}
	return valuesAt(current.Document, version)
}

// formatDifferences returns one indented line for each changed key.
func formatDifferences(changes []api.KeyChange) string {
	if len(changes) == 0 {
		return "  (none)\n"
	}
	var text strings.Builder
	for _, change := range changes {
		fmt.Fprintf(&text, "  %s: %s -> %s\n", change.Key, displayValue(change.Before), displayValue(change.After))
	}
	return text.String()
}

func displayValue(value string) string {
	if value == "" {
		return "(unset)"
	}
	return value
}

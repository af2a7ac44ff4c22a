package operator

import (
	"maps"
	"testing"

	"pgregory.net/rapid"

	"github.com/papayacove/papayacove/api"
)

// drawValues returns random values of a workspace.
func drawValues(t *rapid.T) api.WorkspaceValues {
	key := rapid.SampledFrom([]string{"groups", "slots", "zones"})
	text := rapid.SampledFrom([]string{"1", "2", "a,b"})
	return rapid.MapOfN(key, text, 0, 3).Draw(t, "values")
}

func TestValuesAtReconstructsEarlierVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document := &workspaceDocument{api.Workspace{Name: "kelani", Values: drawValues(t)}}
		states := []FlatValues{document.FlatValues()}
		for version := range rapid.IntRange(0, maxChangeRecords).Draw(t, "changes") {
			before := document.FlatValues()
			document.Values = drawValues(t)
			record := api.ChangeRecord{BaseVersion: uint64(version), Changes: Differences(before, document.FlatValues())}
			document.History = append([]api.ChangeRecord{record}, document.History...)
			states = append(states, document.FlatValues())
		}
		version := rapid.IntRange(0, len(states)-1).Draw(t, "version")
		values, complete := valuesAt(document, uint64(version))
		if !maps.Equal(values, states[version]) {
			t.Fatalf("valuesAt(version %d) = %v, want %v", version, values, states[version])
		}
		if !complete && version != len(states)-1 {
			t.Fatalf("valuesAt(version %d of %d) reports an incomplete history, want a complete one", version, len(states))
		}
	})
}

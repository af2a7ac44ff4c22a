// Package schema_test checks that what this version sends to daemons, and writes into the store, is read by the version in
// production, and the other way round.
package schema_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
)

// node is a schema, or a part of one.
type node = map[string]any

// readTypes returns the types that a schema file defines.
func readTypes(t *testing.T, path string) node {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var file struct {
		Types node `json:"$defs"`
	}
	if err := json.Unmarshal(data, &file); err != nil {
		t.Fatalf("%s: %s", path, err)
	}
	return file.Types
}

// incompatible returns what of the types before is gone or of another type after. What is new is compatible: those that do not know
// it leave it out, and read zero where it was not sent.
func incompatible(path string, before, after any) []string {
	old, isNode := before.(node)
	if !isNode {
		return nil
	}
	current, ok := after.(node)
	if !ok {
		return []string{path + " is gone"}
	}
	var found []string
	for _, key := range []string{"type", "$ref", "format", "goJSONSchema"} {
		if !reflect.DeepEqual(old[key], current[key]) {
			found = append(found, fmt.Sprintf("%s has %s %v, before %v", path, key, current[key], old[key]))
		}
	}
	for _, key := range []string{"items", "additionalProperties"} {
		found = append(found, incompatible(path+" "+key, old[key], current[key])...)
	}
	fields, _ := old["properties"].(node)
	currentFields, _ := current["properties"].(node)
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		found = append(found, incompatible(path+"."+name, fields[name], currentFields[name])...)
	}
	return found
}

// TestSchemasAreReadByTheVersionInProduction compares the schemas of messages between daemons and of objects in the store with
// those of the commit that deploy/system.toml names as production: old and new daemons run side by side in an upgrade. After
// production has moved, schema/production.sh copies its schemas.
func TestSchemasAreReadByTheVersionInProduction(t *testing.T) {
	for _, name := range []string{"common.json", "peer.json", "platform.json"} {
		before := readTypes(t, filepath.Join("production", name))
		after := readTypes(t, name)
		if len(before) == 0 {
			t.Errorf("production/%s defines no types", name)
		}
		for _, kind := range slices.Sorted(maps.Keys(before)) {
			for _, problem := range incompatible(kind, before[kind], after[kind]) {
				t.Errorf("%s: %s", name, problem)
			}
		}
	}
}

// TestIncompatibleNamesWhatChanged checks that removed and retyped fields and types are found by name, and added ones are not.
func TestIncompatibleNamesWhatChanged(t *testing.T) {
	const before = `{"properties": {"name": {"type": "string"}, "count": {"type": "integer", "goJSONSchema": {"type": "int64"}}, "parts": {"type": "array", "items": {"$ref": "#/$defs/Part"}}}}`
	for name, c := range map[string]struct {
		after string
		want  []string
	}{
		"unchanged": {before, nil},
		"added":     {`{"properties": {"name": {"type": "string"}, "count": {"type": "integer", "goJSONSchema": {"type": "int64"}}, "parts": {"type": "array", "items": {"$ref": "#/$defs/Part"}}, "new": {"type": "string"}}}`, nil},
		"removed":   {`{"properties": {"count": {"type": "integer", "goJSONSchema": {"type": "int64"}}, "parts": {"type": "array", "items": {"$ref": "#/$defs/Part"}}}}`, []string{"T.name is gone"}},
		"retyped":   {`{"properties": {"name": {"type": "integer"}, "count": {"type": "integer", "goJSONSchema": {"type": "int64"}}, "parts": {"type": "array", "items": {"$ref": "#/$defs/Part"}}}}`, []string{"T.name has type integer, before string"}},
		"widened":   {`{"properties": {"name": {"type": "string"}, "count": {"type": "integer", "goJSONSchema": {"type": "uint64"}}, "parts": {"type": "array", "items": {"$ref": "#/$defs/Part"}}}}`, []string{"T.count has goJSONSchema map[type:uint64], before map[type:int64]"}},
		"items":     {`{"properties": {"name": {"type": "string"}, "count": {"type": "integer", "goJSONSchema": {"type": "int64"}}, "parts": {"type": "array", "items": {"$ref": "#/$defs/Other"}}}}`, []string{"T.parts items has $ref #/$defs/Other, before #/$defs/Part"}},
		"type gone": {`null`, []string{"T is gone"}},
	} {
		var old, current any
		if err := json.Unmarshal([]byte(before), &old); err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal([]byte(c.after), &current); err != nil {
			t.Fatal(err)
		}
		if got := incompatible("T", old, current); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %q, want %q", name, got, c.want)
		}
	}
}

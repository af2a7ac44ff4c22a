package rawjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

// TestValuesAreNotLookedInto splits documents whose values encoding/json refuses: they are too deep, too large for any
// number, or malformed themselves. Each is one part, and the parts beside it are whole.
func TestValuesAreNotLookedInto(t *testing.T) {
	deep := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	for _, value := range []string{deep, strings.Repeat(`{"a":`, 20_000) + "1" + strings.Repeat("}", 20_000), `1e999999`, `{"a":}`, `[}`, `nope`, `"\u12"`, `"\"]}"`, "{\"a\":\"\xff\"}"} {
		elements, err := Elements([]byte(`[1, ` + value + ` ,{"b":[2]}]`))
		if err != nil || len(elements) != 3 || string(elements[1]) != value || string(elements[2]) != `{"b":[2]}` {
			t.Errorf("%.40q: got %d elements, error %v, want three with this one in the middle", value, len(elements), err)
		}
		fields, err := Fields([]byte(`{"x" : ` + value + `,"y":2}`))
		if err != nil || len(fields) != 2 || string(fields[0].Value) != value || string(Lookup(fields, "y")) != "2" {
			t.Errorf("%.40q: got %d fields, error %v, want this one and y", value, len(fields), err)
		}
	}
}

// TestMalformedStructuresAreRefused guards against a truncated or damaged answer that is taken for a shorter list: what
// is missing from a list counts as deleted.
func TestMalformedStructuresAreRefused(t *testing.T) {
	for _, text := range []string{
		``, ` `, `[`, `[1`, `[1,`, `[1,]`, `[,1]`, `[1 2]`, `[1]]`, `[1] x`, `[[1]`, `["a]`, `["a\"]`, `[{]`, `{}`, `7`,
		`[:]`, `[1:2]`,
	} {
		if elements, err := Elements([]byte(text)); !errors.Is(err, ErrStructure) {
			t.Errorf("%q: got %q, error %v, want %v", text, elements, err, ErrStructure)
		}
	}
	for _, text := range []string{``, `{`, `{"a"}`, `{"a":}`, `{"a":1,}`, `{,}`, `{a:1}`, `{"a":1 "b":2}`, `{"a":1}}`, `{"a":[}`, `{"a":1`, `{"\x":1}`, `[]`, `null`} {
		if fields, err := Fields([]byte(text)); !errors.Is(err, ErrStructure) {
			t.Errorf("%q: got %v, error %v, want %v", text, fields, err, ErrStructure)
		}
	}
	if elements, err := Elements([]byte(" null\n")); err != nil || len(elements) != 0 {
		t.Errorf("null: got %q, error %v, want no elements", elements, err)
	}
}

// TestLookupIsExact guards against a field with a name of other case, or an earlier one of the same name, that is taken
// for the one asked for.
func TestLookupIsExact(t *testing.T) {
	fields, err := Fields([]byte(`{"Name":1,"Name":2,"name":3,"N\u0061me":4}`))
	if err != nil || string(Lookup(fields, "Name")) != "4" || string(Lookup(fields, "name")) != "3" || Lookup(fields, "NAME") != nil {
		t.Errorf("got %v, error %v", fields, err)
	}
}

// FuzzSplit splits any document: what encoding/json accepts is split into the same parts, nothing panics, and each part
// is of the document.
func FuzzSplit(f *testing.F) {
	for _, text := range []string{`[]`, `{}`, `[1,"a",[2],{"b":null}]`, `{"a":[1,{}],"b":"\"","a":2}`, `[[[`, `{"a":]`, "[1,\xff]", `null`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		elements, elementsErr := Elements(text)
		fields, fieldsErr := Fields(text)
		var list []json.RawMessage
		if json.Unmarshal(text, &list) == nil {
			if elementsErr != nil || len(elements) != len(list) {
				t.Fatalf("%q: got %d elements, error %v, want %d", text, len(elements), elementsErr, len(list))
			}
			for i := range list {
				if !bytes.Equal(elements[i], list[i]) {
					t.Fatalf("%q: got element %q, want %q", text, elements[i], list[i])
				}
			}
		}
		var object map[string]json.RawMessage
		if json.Unmarshal(text, &object) == nil && object != nil {
			if fieldsErr != nil {
				t.Fatalf("%q: got error %v, want fields", text, fieldsErr)
			}
			for name, value := range object {
				if got := Lookup(fields, name); !bytes.Equal(got, value) {
					t.Fatalf("%q: got %q for %q, want %q", text, got, name, value)
				}
			}
		}
	})
}

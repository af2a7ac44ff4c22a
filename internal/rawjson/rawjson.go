// Package rawjson splits JSON documents into undecoded parts, so that a part that cannot be decoded costs only itself.
//
// Unlike encoding/json it bounds neither the depth of a document nor the size of a number, and it looks into no value
// beyond its strings and brackets: what a part holds is checked when the part is decoded.
package rawjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// ErrStructure means that a document cannot be split: it ends early, is of another kind, or its brackets do not match.
var ErrStructure = errors.New("malformed JSON structure")

// Field is one field of a JSON object.
type Field struct {
	Name  string
	Value json.RawMessage
}

// Fields returns the fields of a JSON object in their order. The values share the memory of the document. It fails with
// ErrStructure.
func Fields(document []byte) ([]Field, error) {
	s := splitter{text: document}
	if err := s.open('{'); err != nil {
		return nil, err
	}
	var fields []Field
	for first := true; ; first = false {
		if ended, err := s.next('}', first); ended || err != nil {
			return fields, err
		}
		name, err := s.name()
		if err != nil {
			return nil, err
		}
		value, err := s.value()
		if err != nil {
			return nil, err
		}
		fields = append(fields, Field{name, value})
	}
}

// Elements returns the elements of a JSON array, and none of null. They share the memory of the document. It fails with
// ErrStructure.
func Elements(document []byte) ([]json.RawMessage, error) {
	if string(bytes.TrimSpace(document)) == "null" {
		return nil, nil
	}
	s := splitter{text: document}
	if err := s.open('['); err != nil {
		return nil, err
	}
	var elements []json.RawMessage
	for first := true; ; first = false {
		if ended, err := s.next(']', first); ended || err != nil {
			return elements, err
		}
		value, err := s.value()
		if err != nil {
			return nil, err
		}
		elements = append(elements, value)
	}
}

// Lookup returns the value of the last field of this name, spelled exactly so, as other decoders of JSON understand
// repeated fields. It returns nil if there is none.
func Lookup(fields []Field, name string) json.RawMessage {
	for i := len(fields) - 1; i >= 0; i-- {
		if fields[i].Name == name {
			return fields[i].Value
		}
	}
	return nil
}

// Join returns the JSON object with the fields. It is valid if their values are.
func Join(fields []Field) json.RawMessage {
	parts := make([][]byte, len(fields))
	for i, field := range fields {
		// A text can always be encoded.
		name, _ := json.Marshal(field.Name)
		parts[i] = slices.Concat(name, []byte(":"), field.Value)
	}
	return slices.Concat([]byte("{"), bytes.Join(parts, []byte(",")), []byte("}"))
}

// splitter reads the parts of one object or array.
type splitter struct {
	text []byte
	at   int
}

func (s *splitter) fail(wanted string) error {
	return fmt.Errorf("%w: no %s at byte %d of %d", ErrStructure, wanted, s.at, len(s.text))
}

func (s *splitter) skipSpace() {
	for s.at < len(s.text) && isSpace(s.text[s.at]) {
		s.at++
	}
}

// accept skips the character if it is next.
func (s *splitter) accept(c byte) bool {
	s.skipSpace()
	if s.at == len(s.text) || s.text[s.at] != c {
		return false
	}
	s.at++
	return true
}

func (s *splitter) open(bracket byte) error {
	if !s.accept(bracket) {
		return s.fail(string(bracket))
	}
	return nil
}

// next moves to the next part, and reports whether the document has ended in its place.
func (s *splitter) next(closing byte, first bool) (ended bool, err error) {
	if s.accept(closing) {
		s.skipSpace()
		if s.at != len(s.text) {
			return true, s.fail("end")
		}
		return true, nil
	}
	if !first && !s.accept(',') {
		return false, s.fail("comma")
	}
	return false, nil
}

// name reads the name of a field and the colon after it.
func (s *splitter) name() (string, error) {
	s.skipSpace()
	begin := s.at
	if s.at == len(s.text) || s.text[s.at] != '"' || !s.skipString() {
		return "", s.fail("name")
	}
	var name string
	if err := json.Unmarshal(s.text[begin:s.at], &name); err != nil {
		return "", fmt.Errorf("%w: name at byte %d: %w", ErrStructure, begin, err)
	}
	if !s.accept(':') {
		return "", s.fail("colon")
	}
	return name, nil
}

// value reads a value up to the comma or bracket that follows it. Brackets of both kinds count alike: a value whose
// brackets are of different kinds ends where they are balanced, and fails when it is decoded.
func (s *splitter) value() (json.RawMessage, error) {
	s.skipSpace()
	begin, depth := s.at, 0
	for s.at < len(s.text) {
		c := s.text[s.at]
		if depth == 0 && s.at > begin && (c == ',' || isSpace(c)) {
			return s.text[begin:s.at], nil
		}
		switch c {
		case '"':
			if !s.skipString() {
				return nil, s.fail("end of the string")
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				if s.at == begin {
					return nil, s.fail("value")
				}
				return s.text[begin:s.at], nil
			}
			depth--
		case ',', ':':
			if depth == 0 {
				return nil, s.fail("value")
			}
		}
		s.at++
	}
	return nil, s.fail("end of the value")
}

// skipString moves behind the string that begins here. It returns false if the string does not end.
func (s *splitter) skipString() bool {
	for s.at++; s.at < len(s.text); s.at++ {
		switch s.text[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return true
		}
	}
	s.at = len(s.text)
	return false
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\r' || c == '\n' }

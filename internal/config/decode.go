package config

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/papayacove/papayacove/internal/result"
)

// secretWords mark keys that hold secrets: a line that contains one of them is not quoted in an error text.
var secretWords = []string{"password", "verifier"}

// Decode decodes TOML into value and rejects unknown keys.
// The error carries SettingsInvalid. It names file, line and key of each unknown key, one per line of text, or of the
// first malformed value; only the file if the position is not known.
// Lines that hold secrets are named but not quoted.
func Decode(file string, content []byte, value any) error {
	decoder := toml.NewDecoder(bytes.NewReader(content)).DisallowUnknownFields()
	err := decoder.Decode(value)
	if err == nil {
		return nil
	}
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		return unknownKeysError(file, unknown)
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		return malformedError(file, content, decodeErr)
	}
	return result.Errorf(result.SettingsInvalid, "%s: not valid TOML", file)
}

func unknownKeysError(file string, unknown *toml.StrictMissingError) error {
	lines := make([]string, 0, len(unknown.Errors))
	for i := range unknown.Errors {
		decodeErr := &unknown.Errors[i]
		row, _ := decodeErr.Position()
		lines = append(lines, fmt.Sprintf("%s:%d: unknown key %s", file, row, strings.Join(decodeErr.Key(), ".")))
	}
	return result.Errorf(result.SettingsInvalid, "%s", strings.Join(lines, "\n"))
}

func malformedError(file string, content []byte, decodeErr *toml.DecodeError) error {
	row, _ := decodeErr.Position()
	key := strings.Join(decodeErr.Key(), ".")
	if holdsSecret(key) || holdsSecret(line(content, row)) {
		return result.Errorf(result.SettingsInvalid, "%s:%d: key %s: malformed value", file, row, key)
	}
	return result.Errorf(result.SettingsInvalid, "%s:%d: key %s: %s", file, row, key, decodeErr.Error())
}

func holdsSecret(text string) bool {
	for _, word := range secretWords {
		if strings.Contains(text, word) {
			return true
		}
	}
	return false
}

// line returns the row of content, counted from 1.
func line(content []byte, row int) string {
	rows := strings.Split(string(content), "\n")
	if row < 1 || row > len(rows) {
		return ""
	}
	return rows[row-1]
}

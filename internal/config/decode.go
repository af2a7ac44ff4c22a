package config

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/papayacove/papayacove/internal/result"
)

// secretKeys are words that mark a line whose content must not reach an error text.
var secretKeys = []string{"password", "verifier"}

// Decode reads TOML into value and refuses unknown keys.
// The error carries SettingsInvalid and one line with file, line and key for each fault.
// Lines that hold secrets are named but not quoted.
func Decode(file string, content []byte, value any) error {
	decoder := toml.NewDecoder(bytes.NewReader(content)).DisallowUnknownFields()
	err := decoder.Decode(value)
	if err == nil {
		return nil
	}
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		return unknownKeys(file, unknown)
	}
	var fault *toml.DecodeError
	if errors.As(err, &fault) {
		return malformed(file, content, fault)
	}
	return result.Errorf(result.SettingsInvalid, "%s: not valid TOML", file)
}

func unknownKeys(file string, unknown *toml.StrictMissingError) error {
	lines := make([]string, 0, len(unknown.Errors))
	for i := range unknown.Errors {
		fault := &unknown.Errors[i]
		row, _ := fault.Position()
		lines = append(lines, fmt.Sprintf("%s:%d: unknown key %s", file, row, strings.Join(fault.Key(), ".")))
	}
	return result.Errorf(result.SettingsInvalid, "%s", strings.Join(lines, "\n"))
}

func malformed(file string, content []byte, fault *toml.DecodeError) error {
	row, _ := fault.Position()
	key := strings.Join(fault.Key(), ".")
	if holdsSecret(key) || holdsSecret(line(content, row)) {
		return result.Errorf(result.SettingsInvalid, "%s:%d: key %s: malformed value", file, row, key)
	}
	return result.Errorf(result.SettingsInvalid, "%s:%d: key %s: %s", file, row, key, fault.Error())
}

func holdsSecret(text string) bool {
	for _, word := range secretKeys {
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

package database

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/papayacove/papayacove/internal/target"
)

// durableState is the part of a target's state that is stored outside its log. It has its own file,
// so that an order does not wait for an open write transaction.
type durableState struct {
	Role target.Role `json:"role"`
	// Term is the highest term that the target has accepted.
	Term uint64 `json:"term"`
	// Primary is the host:port that a replica streams from.
	Primary string `json:"primary"`
}

func statePath(directory string) string {
	return filepath.Join(directory, "state.json")
}

// loadState reads the state file. If there is none, it stores and returns initial.
func loadState(directory string, initial durableState) (durableState, error) {
	content, err := os.ReadFile(statePath(directory))
	if errors.Is(err, fs.ErrNotExist) {
		return initial, saveState(directory, initial)
	}
	if err != nil {
		return durableState{}, fmt.Errorf("read state: %w", err)
	}
	var state durableState
	if err := json.Unmarshal(content, &state); err != nil {
		return durableState{}, fmt.Errorf("decode state: %w", err)
	}
	return state, nil
}

// saveState replaces the state file atomically.
func saveState(directory string, state durableState) error {
	content, err := json.Marshal(state)
	if err != nil {
		return fmt.Errorf("encode state: %w", err)
	}
	temporary := statePath(directory) + ".new"
	if err := os.WriteFile(temporary, content, 0o644); err != nil {
		return fmt.Errorf("write state: %w", err)
	}
	if err := os.Rename(temporary, statePath(directory)); err != nil {
		return fmt.Errorf("replace state: %w", err)
	}
	return nil
}

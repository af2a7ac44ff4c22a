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

// durableState is what a target remembers besides its log. It lies in a file of its own, so that
// an order does not wait for an open write transaction.
type durableState struct {
	Role target.Role `json:"role"`
	// Term is the highest term that the target accepts.
	Term uint64 `json:"term"`
	// Primary is the address that a replica streams from.
	Primary string `json:"primary"`
}

func statePath(directory string) string {
	return filepath.Join(directory, "state.json")
}

// loadState reads the state; without a file it returns initial.
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

// saveState replaces the state file in one step.
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

package gate

import (
	"context"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
)

// TestWorkspaceUsesItsSlotsOnly fills the share of one workspace while slots are free.
func TestWorkspaceUsesItsSlotsOnly(t *testing.T) {
	limit := func(workspace string) int { return map[string]int{"north": 1}[workspace] }
	q := newQueue("rounds-db-1", api.TargetSpec{Name: "db-1", Slots: 3}, 10, limit)
	admit := func(workspace string, wait time.Duration) (*ticket, error) {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		return q.admit(ctx, &api.ExecuteRequest{Workspace: workspace, MaxAgeMs: -1})
	}
	first, err := admit("north", time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := admit("north", 50*time.Millisecond); !result.CodeOf(err).IsNotRun() {
		t.Errorf("a second slot of north = %v, want a refusal as not run", err)
	}
	for range 2 {
		if _, err := admit("kelani", time.Minute); err != nil {
			t.Errorf("kelani while slots are free: %v", err)
		}
	}
	first.done()
	if _, err := admit("north", time.Minute); err != nil {
		t.Errorf("north after its slot came back: %v", err)
	}
}

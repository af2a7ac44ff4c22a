package gate

import (
	"context"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
)

// A workspace gets no more slots than its limit, even while others are free, and does not keep others from using
// those.
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
		t.Errorf("second slot of north: got %v, want a code that says not run", err)
	}
	for range 2 {
		if _, err := admit("kelani", time.Minute); err != nil {
			t.Errorf("kelani while slots are free: got %v, want no error", err)
		}
	}
	first.free()
	if _, err := admit("north", time.Minute); err != nil {
		t.Errorf("north after its slot was released: got %v, want no error", err)
	}
}

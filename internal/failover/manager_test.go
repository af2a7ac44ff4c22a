package failover

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/observer"
	"github.com/papayacove/papayacove/internal/policy/placement"
	"github.com/papayacove/papayacove/internal/target"
	"github.com/papayacove/papayacove/internal/terms"
)

// waitLimit is the longest time that a test waits for the number of controllers.
const waitLimit = 20 * time.Second

// otherController is a membership in which another daemon controls all groups.
type otherController struct {
	Daemons
}

func (otherController) Members() []placement.Member { return []placement.Member{{Name: "entry-2"}} }
func (otherController) ReachesPlatform(string) bool { return true }
func (otherController) Changes() uint64             { return 0 }

func (m *Manager) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.controllers)
}

func waitForControllers(t *testing.T, m *Manager, want int) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if m.count() == want {
			return
		}
	}
	t.Fatalf("got %d controllers, want %d", m.count(), want)
}

// TestControllersFollowObservation checks that a controller starts when the daemon observes a group and ends when it
// no longer does, twice.
func TestControllersFollowObservation(t *testing.T) {
	groups := []api.GroupSpec{{Name: "rounds-1"}, {Name: "rounds-2"}}
	groupObserver := observer.New(groups[0], target.Options{})
	var observed atomic.Bool
	m := NewManager(Options{
		Self: "entry-1", Daemons: otherController{}, Terms: terms.NewTable(),
		Groups:          func() []api.GroupSpec { return groups },
		PlatformReached: func() bool { return true },
		Observer: func(group string) (*observer.Observer, bool) {
			return groupObserver, group == "rounds-1" && observed.Load()
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	for range 2 {
		observed.Store(true)
		waitForControllers(t, m, 1)
		observed.Store(false)
		waitForControllers(t, m, 0)
	}
}

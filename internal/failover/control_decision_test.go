package failover

import (
	"testing"

	"github.com/papayacove/papayacove/internal/policy/placement"
	"github.com/papayacove/papayacove/internal/policy/promotion"
)

// fakeDaemons is a membership of two daemons; reaches is whether the other one reaches the platform.
type fakeDaemons struct {
	Daemons
	changes uint64
	reaches bool
}

func (d *fakeDaemons) Members() []placement.Member {
	return []placement.Member{{Name: "entry-1"}, {Name: "entry-2"}}
}
func (d *fakeDaemons) ReachesPlatform(string) bool { return d.reaches }
func (d *fakeDaemons) Changes() uint64             { return d.changes }

func TestControlFollowsChanges(t *testing.T) {
	both := []promotion.Controller{
		{Member: placement.Member{Name: "entry-1"}, PlatformReached: true},
		{Member: placement.Member{Name: "entry-2"}, PlatformReached: true},
	}
	first, _ := promotion.ControllerOf("rounds-1", both)
	second := "entry-1"
	if first == second {
		second = "entry-2"
	}
	daemons := &fakeDaemons{reaches: true}
	reached := true
	options := Options{Self: second, Daemons: daemons, PlatformReached: func() bool { return reached }}
	var c controlDecision
	expect := func(what string, held bool) {
		t.Helper()
		if c.isHeld(options, "rounds-1") != held {
			t.Errorf("%s: isHeld: got the opposite, want %v", what, held)
		}
	}
	expect("first reaches the platform", false)
	daemons.reaches, daemons.changes = false, 1
	expect("first does not reach it", true)
	reached = false
	expect("neither reaches it", false)
	reached = true
	expect("second reaches it again", true)
	daemons.reaches, daemons.changes = true, 2
	expect("first reaches it again", false)
}

package daemon

import (
	"fmt"
	"testing"

	"github.com/papayacove/papayacove/internal/policy/placement"
	"github.com/papayacove/papayacove/internal/policy/promotion"
	"pgregory.net/rapid"
)

func drawDaemons(t *rapid.T) []promotion.Controller {
	daemons := make([]promotion.Controller, rapid.IntRange(1, 12).Draw(t, "daemons"))
	for i := range daemons {
		daemons[i] = promotion.Controller{
			Member: placement.Member{
				Name: fmt.Sprintf("entry-%d", i), Zone: rapid.SampledFrom([]string{"colombo", "gampaha"}).Draw(t, "zone"),
				Leaving: rapid.Bool().Draw(t, "leaving"),
			},
			PlatformReached: rapid.Bool().Draw(t, "reached"),
		}
	}
	return daemons
}

// TestWatchersPerZone checks that of the daemons of a zone that reach the platform and are not leaving, exactly
// watchersPerZone watch, or all of them if there are fewer.
func TestWatchersPerZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := drawDaemons(t)
		eligible, watching := map[string]int{}, map[string]int{}
		for _, daemon := range daemons {
			if daemon.Member.Leaving || !daemon.PlatformReached {
				continue
			}
			zone := daemon.Member.Zone
			eligible[zone]++
			if isWatcher(daemon.Member.Name, zone, daemons) {
				watching[zone]++
			}
		}
		for zone, count := range eligible {
			if watching[zone] != min(count, watchersPerZone) {
				t.Fatalf("got %d watchers among %d eligible daemons of zone %s, want watchersPerZone or all if fewer", watching[zone], count, zone)
			}
		}
	})
}

func TestDaemonWithoutPeersWatches(t *testing.T) {
	if !isWatcher("entry-1", "colombo", nil) {
		t.Error("isWatcher = false for a daemon without peers, want true")
	}
}

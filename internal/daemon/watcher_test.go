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

// TestWatchersOfAZone checks that as many daemons that can watch do as are wanted or there are, and
// that no more of them do.
func TestWatchersOfAZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := drawDaemons(t)
		able, watching := map[string]int{}, map[string]int{}
		for _, daemon := range daemons {
			if daemon.Member.Leaving || !daemon.PlatformReached {
				continue
			}
			zone := daemon.Member.Zone
			able[zone]++
			if isWatcher(daemon.Member.Name, zone, daemons) {
				watching[zone]++
			}
		}
		for zone, count := range able {
			if watching[zone] != min(count, watchersPerZone) {
				t.Fatalf("%d of %d daemons of %s watch", watching[zone], count, zone)
			}
		}
	})
}

func TestDaemonAloneWatches(t *testing.T) {
	if !isWatcher("entry-1", "colombo", nil) {
		t.Error("a daemon that knows no other does not watch")
	}
}

package daemonregistry

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
)

func TestUnchangedEntriesBecomeAbsent(t *testing.T) {
	r := New(nil, api.DaemonEntry{Name: "self"}, nil)
	list := func(versions ...uint64) api.ObjectList {
		names := []string{"self", "b", "c"}
		var l api.ObjectList
		for i, v := range versions {
			l.Objects = append(l.Objects, api.Object{Name: names[i], Version: v})
		}
		return l
	}
	steps := []struct {
		at   time.Duration
		list api.ObjectList
		want int
	}{
		{0, list(), 1},
		{time.Second, list(1, 2, 3), 3},
		{absentAfter, list(9, 12, 3), 3},
		{absentAfter + time.Second, list(9, 12, 3), 2},
		{absentAfter + 2*time.Second, list(9, 12, 15), 3},
		{absentAfter + 3*time.Second, list(9, 12), 2},
	}
	for _, s := range steps {
		if got := r.countPresent(s.list, s.at); got != s.want {
			t.Errorf("at %s: got %d daemons, want %d", s.at, got, s.want)
		}
	}
}

// TestReadIntervalGrowsWithEntries checks that at most 4.2 entries are read per second, and that each refresh of an
// entry is read before its daemon is absent.
func TestReadIntervalGrowsWithEntries(t *testing.T) {
	for _, entries := range []int{0, 4, 33, 100, 160} {
		readInterval := maxReadInterval(entries)
		if a := float64(entries) / readInterval.Seconds(); a > 4.2 {
			t.Errorf("%d entries read every %s: got %.1f entries per second, want at most 4.2", entries, readInterval, a)
		}
		if readInterval+refreshInterval > absentAfter {
			t.Errorf("%d entries: got read interval %s, want at most absentAfter less refreshInterval", entries, readInterval)
		}
	}
	if maxReadInterval(1000) != maxSteadyReadInterval {
		t.Errorf("1000 entries: got read interval %s, want maxSteadyReadInterval", maxReadInterval(1000))
	}
}

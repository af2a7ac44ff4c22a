package roster

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
)

func TestEntriesThatDoNotChangeStopCounting(t *testing.T) {
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
		if got := r.present(s.list, s.at); got != s.want {
			t.Errorf("at %s: %d daemons, want %d", s.at, got, s.want)
		}
	}
}

// TestReadsBecomeRarerWithMoreEntries keeps the entries read a second within a bound, and sees each change of an entry
// before it counts as absent.
func TestReadsBecomeRarerWithMoreEntries(t *testing.T) {
	for _, entries := range []int{0, 4, 33, 100, 160} {
		pause := lastRead(entries)
		if a := float64(entries) / pause.Seconds(); a > 4.2 {
			t.Errorf("%d entries each %s: %.1f a second", entries, pause, a)
		}
		if pause+refreshInterval > absentAfter {
			t.Errorf("%d entries: read each %s", entries, pause)
		}
	}
	if lastRead(1000) != mostLastRead {
		t.Errorf("1000 entries: read each %s", lastRead(1000))
	}
}

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

package primaryposition

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayacove/papayacove/api"
)

// TestOldestCoversEveryCommitBeforeTheWindow adds samples of a growing log and checks that the minimum position of a
// read is not before any commit that was acknowledged before the window.
func TestOldestCoversEveryCommitBeforeTheWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Samples
		now, offset := time.Duration(0), uint64(0)
		acked := map[time.Duration]uint64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "commit") {
				offset++
				acked[now] = offset
			}
			if rapid.Bool().Draw(t, "sample") {
				s.Add(now, api.Position{Term: 1, Offset: offset}, Source{})
			}
		}
		window := time.Duration(rapid.IntRange(0, 3000).Draw(t, "window")) * time.Millisecond
		minPosition, ok := s.Oldest(now-window, now-10*time.Second)
		if !ok {
			return
		}
		for at, commit := range acked {
			if at < now-window && minPosition.Offset < commit {
				t.Fatalf("got minimum position %d at %s with window %s, want at least commit %d of %s", minPosition.Offset, now, window, commit, at)
			}
		}
	})
}

// TestExpectedAtFollowsTheLagOfTheReplica expects a replica that is 400 ms behind to reach each position 400 ms after
// the primary.
func TestExpectedAtFollowsTheLagOfTheReplica(t *testing.T) {
	var s Samples
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	for i := range 11 {
		s.Add(at(100*i), api.Position{Term: 1, Offset: uint64(10 * i)}, Source{})
	}
	// At 1000 ms the log of the replica ends at 50, which the primary was beyond at 600 ms.
	applied, appliedAt, now := api.Position{Term: 1, Offset: 50}, at(1000), at(1050)
	cases := []struct {
		offset uint64
		want   time.Duration
	}{
		{50, appliedAt}, {80, at(800 + 400)}, {100, at(1000 + 400)}, {105, now + at(400)},
	}
	for _, c := range cases {
		if got := s.ExpectedAt(api.Position{Term: 1, Offset: c.offset}, applied, appliedAt, now); got != c.want {
			t.Errorf("offset %d: got %s, want %s", c.offset, got, c.want)
		}
	}
	var empty Samples
	if got := empty.ExpectedAt(api.Position{Term: 1, Offset: 9}, applied, appliedAt, now); got != appliedAt {
		t.Errorf("position that the replica holds: got %s, want %s", got, appliedAt)
	}
}

package floor

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayacove/papayacove/api"
)

// TestOldestCoversEveryCommitBeforeTheWindow adds samples of a log that grows, and compares the floor with the commits that
// were acknowledged before the window.
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
				s.Add(now, api.Position{Term: 1, Offset: offset})
			}
		}
		window := time.Duration(rapid.IntRange(0, 3000).Draw(t, "window")) * time.Millisecond
		floor, ok := s.Oldest(now-window, now-10*time.Second)
		if !ok {
			return
		}
		for at, commit := range acked {
			if at < now-window && floor.Offset < commit {
				t.Fatalf("floor %d at %s with window %s lacks commit %d of %s", floor.Offset, now, window, commit, at)
			}
		}
	})
}

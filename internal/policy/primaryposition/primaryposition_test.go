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
				s.Add(now, api.Position{Term: 1, Offset: offset})
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

package lines

import (
	"slices"
	"testing"
)

// TestOldPrimaryTruncatesItsLog guards against an old primary that keeps records which no replica received when it
// follows a new primary.
func TestOldPrimaryTruncatesItsLog(t *testing.T) {
	logOf := func(positions ...Position) []record {
		var log []record
		for _, position := range positions {
			log = append(log, record{position: position, writes: map[string]string{"item": position.String()}})
		}
		return log
	}
	old := &Target{log: logOf(Position{1, 1}, Position{1, 2}, Position{1, 3})}
	old.receive(logOf(Position{1, 1}, Position{2, 2}, Position{2, 3}, Position{2, 4}))
	var got []Position
	for _, r := range old.log {
		got = append(got, r.position)
	}
	if want := []Position{{1, 1}, {2, 2}, {2, 3}, {2, 4}}; !slices.Equal(got, want) {
		t.Errorf("log after following the new primary: got %v, want %v", got, want)
	}
}

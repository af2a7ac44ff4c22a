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

// TestLateWriteIsKnownWithoutAPrimary guards against a read of a late write that counts as stale because it falls between two
// primaries.
func TestLateWriteIsKnownWithoutAPrimary(t *testing.T) {
	log := func(values ...string) []record {
		var log []record
		for i, value := range values {
			log = append(log, record{position: Position{1, uint64(i) + 1}, writes: map[string]string{"item": value}})
		}
		return log
	}
	g := &Group{targets: map[string]*Target{"a": {up: true, log: log("609", "613", "610")}, "b": {up: true, log: log("609", "613")}}}
	if !g.IsWrittenAfter("item", "610", "613") {
		t.Error("610 follows 613 in the longest log: got it not written after, want it so")
	}
	if g.IsWrittenAfter("item", "609", "613") {
		t.Error("609 precedes 613: got it written after, want it not")
	}
	if (&Group{}).IsWrittenAfter("item", "610", "613") {
		t.Error("without targets: got a write, want none")
	}
}

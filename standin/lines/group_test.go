package lines

import (
	"slices"
	"testing"
)

// TestOldPrimaryDropsItsOwnTail lets an old primary, which wrote more than any replica received, follow the new one.
func TestOldPrimaryDropsItsOwnTail(t *testing.T) {
	logOf := func(places ...Place) []record {
		var log []record
		for _, place := range places {
			log = append(log, record{place: place, writes: map[string]string{"item": place.String()}})
		}
		return log
	}
	old := &Database{log: logOf(Place{1, 1}, Place{1, 2}, Place{1, 3})}
	old.receive(logOf(Place{1, 1}, Place{2, 2}, Place{2, 3}, Place{2, 4}))
	var got []Place
	for _, r := range old.log {
		got = append(got, r.place)
	}
	if want := []Place{{1, 1}, {2, 2}, {2, 3}, {2, 4}}; !slices.Equal(got, want) {
		t.Errorf("the log is %v, want %v", got, want)
	}
}

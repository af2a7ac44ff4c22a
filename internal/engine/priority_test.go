package engine

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/policy/admission"
)

// TestRoutesAreRankedByPriority covers routes that nobody uses: one of a higher priority than all others must not make
// the others alike, as when the highest priority alone came first.
func TestRoutesAreRankedByPriority(t *testing.T) {
	cases := []struct {
		name       string
		priorities map[string]int
		ranks      map[string]int
	}{
		{"two levels", map[string]int{"a": 1, "b": 2}, map[string]int{"a": 0, "b": 1}},
		{"an unused route above", map[string]int{"unused": 0, "a": 1, "b": 2}, map[string]int{"unused": 0, "a": 1, "b": 2}},
		{"sparse numbers", map[string]int{"a": -5, "b": 100, "c": 100, "d": 7}, map[string]int{"a": 0, "d": 1, "b": 2, "c": 2}},
		{"all alike", map[string]int{"a": 1, "b": 1}, map[string]int{"a": 0, "b": 0}},
		{"none", nil, nil},
	}
	for _, c := range cases {
		routes := make(map[string]Route)
		for database, priority := range c.priorities {
			routes[database] = Route{Priority: priority}
		}
		rankRoutes(routes)
		for database, r := range routes {
			if r.rank != c.ranks[database] {
				t.Errorf("%s: route %s: got rank %d, want %d", c.name, database, r.rank, c.ranks[database])
			}
		}
	}
}

// TestHigherPriorityStartsFirst offers three times the load that a target serves: statements of the route of a higher
// priority that arrive last start first, whatever their consistency, also while a route that nobody uses is above it.
func TestHigherPriorityStartsFirst(t *testing.T) {
	now := time.Now()
	q := admission.New(admission.Config{Slots: 1, QueueLength: 100, ServiceTime: time.Millisecond})
	routes := map[string]Route{
		"unused": {Priority: 0}, "aged": {Priority: 1, Consistency: ConsistencyBoundedStaleness}, "strict": {Priority: 2, Consistency: ConsistencyStrict},
	}
	rankRoutes(routes)
	next := uint64(0)
	offer := func(database string) {
		next++
		r := &request{route: routes[database]}
		q.Offer(admission.Item{ID: next, Class: r.class(), Priority: r.route.rank, Deadline: now.Add(time.Minute)}, now)
	}
	for range 6 {
		offer("strict")
	}
	for range 3 {
		offer("aged")
	}
	for range 3 {
		for _, start := range q.Release("", now, time.Millisecond) {
			if start.ID <= 6 {
				t.Errorf("statement %d of the other route started before one of a higher priority", start.ID)
			}
		}
	}
}

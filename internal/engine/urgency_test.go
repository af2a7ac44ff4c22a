package engine

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/policy/admission"
)

func TestRoutesOfTheHighestPriorityAreUrgent(t *testing.T) {
	cases := []struct {
		name       string
		priorities map[string]int
		urgent     map[string]bool
	}{
		{"one of two", map[string]int{"a": 1, "b": 2}, map[string]bool{"a": true}},
		{"the first of three levels", map[string]int{"a": 0, "b": 1, "c": 2}, map[string]bool{"a": true}},
		{"all alike", map[string]int{"a": 1, "b": 1}, nil},
		{"none", nil, nil},
	}
	for _, c := range cases {
		routes := make(map[string]Route)
		for database, priority := range c.priorities {
			routes[database] = Route{Priority: priority}
		}
		markUrgent(routes)
		for database, r := range routes {
			if r.Urgent != c.urgent[database] {
				t.Errorf("%s: route %s: got urgent %t, want the opposite", c.name, database, r.Urgent)
			}
		}
	}
}

// TestUrgentRoutesStartFirst offers three times the load that a target serves: statements of the urgent route that
// arrive last start first, whatever their consistency.
func TestUrgentRoutesStartFirst(t *testing.T) {
	now := time.Now()
	q := admission.New(admission.Config{Slots: 1, QueueLength: 100, ServiceTime: time.Millisecond})
	routes := map[string]Route{
		"aged": {Priority: 1, Consistency: ConsistencyBoundedStaleness}, "strict": {Priority: 2, Consistency: ConsistencyStrict},
	}
	markUrgent(routes)
	next := uint64(0)
	offer := func(database string) {
		next++
		r := &request{route: routes[database]}
		q.Offer(admission.Item{ID: next, Class: r.class(), Deadline: now.Add(time.Minute)}, now)
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
				t.Errorf("statement %d of the other route started before an urgent one", start.ID)
			}
		}
	}
}

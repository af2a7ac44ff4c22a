// Package terms keeps the newest known term and primary of each group.
//
// Terms only rise; within a term the primary goes from unknown to known once.
package terms

import (
	"sync"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/invariant"
	"github.com/sirupsen/logrus"
)

// Table holds the newest term of each group. It is safe for concurrent use.
type Table struct {
	mu      sync.RWMutex
	groups  map[string]api.GroupTerm
	changed chan struct{}
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{groups: make(map[string]api.GroupTerm), changed: make(chan struct{})}
}

// FromRecord converts the platform object of a term.
func FromRecord(record api.TermRecord) api.GroupTerm {
	return api.GroupTerm{Group: record.Group, Term: record.Term, Primary: record.Primary, Start: record.Start}
}

// Observe takes in a term and reports whether it is news.
func (t *Table) Observe(seen api.GroupTerm) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.groups[seen.Group]
	if ok && !isNewer(seen, known) {
		checkSamePrimary(seen, known)
		return false
	}
	t.groups[seen.Group] = seen
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// isNewer orders by term, then a recorded primary after an open promotion.
func isNewer(seen, known api.GroupTerm) bool {
	if seen.Term != known.Term {
		return seen.Term > known.Term
	}
	return known.Primary == "" && seen.Primary != ""
}

func checkSamePrimary(seen, known api.GroupTerm) {
	same := seen.Term != known.Term || seen.Primary == "" || seen.Primary == known.Primary
	invariant.Check(same, "one_primary_per_term", logrus.Fields{
		"group": seen.Group, "term": seen.Term, "known": known.Primary, "seen": seen.Primary,
	})
}

// Current returns the newest term of a group.
func (t *Table) Current(group string) (api.GroupTerm, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	current, ok := t.groups[group]
	return current, ok
}

// All returns the newest terms of all groups in no order.
func (t *Table) All() []api.GroupTerm {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make([]api.GroupTerm, 0, len(t.groups))
	for _, current := range t.groups {
		all = append(all, current)
	}
	return all
}

// Changed returns a channel that is closed at the next change.
func (t *Table) Changed() <-chan struct{} {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.changed
}

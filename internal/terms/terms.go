// Package terms keeps the newest known term and primary of each group.
//
// Terms only rise; within a term the primary goes from unknown to known once.
package terms

import (
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/invariant"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/sirupsen/logrus"
)

// Table holds the newest term of each group. It is safe for concurrent use.
type Table struct {
	mu      sync.RWMutex
	groups  map[string]entry
	changed chan struct{}
	// changes counts the changes of the table.
	changes uint64
	// digest is the exclusive or of the hashes of all terms, so that it follows a change of one
	// without a look at the others.
	digest uint64
}

// entry is the newest term of a group with the change that brought it.
type entry struct {
	term   api.GroupTerm
	change uint64
	// recorded are the newest terms that got a primary, oldest first.
	recorded []api.GroupTerm
}

// recordedLimit is the number of terms of a group whose starts are kept.
const recordedLimit = 64

// record returns the recorded terms with one more.
func (e entry) record(term api.GroupTerm) []api.GroupTerm {
	if term.Primary == "" {
		return e.recorded
	}
	kept := e.recorded[max(len(e.recorded)+1-recordedLimit, 0):]
	return append(slices.Clone(kept), term)
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{groups: make(map[string]entry), changed: make(chan struct{})}
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
	if ok && !isNewer(seen, known.term) {
		checkSamePrimary(seen, known.term)
		return false
	}
	if ok {
		t.digest ^= hashOf(known.term)
	}
	t.digest ^= hashOf(seen)
	t.changes++
	t.groups[seen.Group] = entry{term: seen, change: t.changes, recorded: known.record(seen)}
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// CutBy returns the first term whose primary took over without the record at a position.
func (t *Table) CutBy(group string, position api.Position) (api.GroupTerm, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, recorded := range t.groups[group].recorded {
		if recorded.Term > position.Term && position.Offset >= recorded.Start.Offset {
			return recorded, true
		}
	}
	return api.GroupTerm{}, false
}

// isNewer orders by term, then a recorded primary after an open promotion.
func isNewer(seen, known api.GroupTerm) bool {
	if seen.Term != known.Term {
		return seen.Term > known.Term
	}
	return known.Primary == "" && seen.Primary != ""
}

// hashOf covers what isNewer compares, so that tables of equal digests have nothing to tell each
// other.
func hashOf(term api.GroupTerm) uint64 {
	text := term.Group + "\x00" + strconv.FormatUint(term.Term, 10) + "\x00" + term.Primary
	return xxhash.Sum64String(text)
}

func checkSamePrimary(seen, known api.GroupTerm) {
	same := seen.Term != known.Term || seen.Primary == "" || seen.Primary == known.Primary
	invariant.Check(same, "one_primary_per_term", logrus.Fields{
		logfield.Group: seen.Group, logfield.Term: seen.Term, logfield.Known: known.Primary, logfield.Seen: seen.Primary,
	})
}

// Current returns the newest term of a group.
func (t *Table) Current(group string) (api.GroupTerm, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	current, ok := t.groups[group]
	return current.term, ok
}

// All returns the newest terms of all groups in no order.
func (t *Table) All() []api.GroupTerm {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make([]api.GroupTerm, 0, len(t.groups))
	for _, current := range t.groups {
		all = append(all, current.term)
	}
	return all
}

// Digest returns a hash of all terms. Tables with the same terms have the same digest.
func (t *Table) Digest() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.digest
}

// since returns the terms that came after a change of this table.
func (t *Table) since(change uint64) Offer {
	t.mu.RLock()
	defer t.mu.RUnlock()
	offer := Offer{Digest: t.digest, change: t.changes}
	if change == t.changes {
		return offer
	}
	for _, current := range t.groups {
		if current.change > change {
			offer.Terms = append(offer.Terms, current.term)
		}
	}
	return offer
}

// Changed returns a channel that is closed at the next change.
func (t *Table) Changed() <-chan struct{} {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.changed
}

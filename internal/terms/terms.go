// Package terms keeps the newest known term and primary of each group.
//
// A term is the number of a promotion of a group. The known term of a group only rises, and within a term the primary
// changes only once, from unknown, while the promotion is open, to known.
package terms

import (
	"encoding/json"
	"errors"
	"fmt"
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
	mu     sync.RWMutex
	groups map[string]entry
	// changed is closed and replaced at each change.
	changed chan struct{}
	// changes is the number of changes of the table.
	changes uint64
	// digest is the exclusive or of the hashes of all terms, so that a change of one term updates it without hashing the
	// others.
	digest uint64
}

// entry is the newest term of a group.
type entry struct {
	term api.GroupTerm
	// change is the number of the change of the table that added the term.
	change uint64
	// recorded are the newest terms of the group whose primary is known, oldest first, up to recordedLimit.
	recorded []api.GroupTerm
}

// recordedLimit is the number of terms of a group whose start positions are kept.
const recordedLimit = 64

// withRecorded returns the recorded terms and the given one, if its primary is known. The oldest ones beyond
// recordedLimit are left out.
func (e entry) withRecorded(term api.GroupTerm) []api.GroupTerm {
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

// maxTerm is the largest term that a record may state. At a promotion a millisecond it takes 8,900 years; a larger one
// would make all later terms look old.
const maxTerm = 1 << 48

// errNoRecord means that an object is not the term record of its group.
var errNoRecord = errors.New("no term record")

// DecodeRecord decodes the term record that is stored under the name of a group. It fails unless the record is of that
// group, and has a term that promotions can reach: another writer may have stored it.
func DecodeRecord(object api.Object) (api.TermRecord, error) {
	var record api.TermRecord
	if err := json.Unmarshal(object.Data, &record); err != nil {
		return api.TermRecord{}, fmt.Errorf("%w: %.100s: %w", errNoRecord, object.Name, err)
	}
	if record.Group != object.Name {
		return api.TermRecord{}, fmt.Errorf("%w: %.100s is of group %.100q", errNoRecord, object.Name, record.Group)
	}
	if record.Term == 0 || record.Term > maxTerm || record.Start.Term > maxTerm {
		return api.TermRecord{}, fmt.Errorf("%w: %.100s: term %d from %s", errNoRecord, object.Name, record.Term, record.Start)
	}
	return record, nil
}

// FromRecord converts the term record of the platform.
func FromRecord(record api.TermRecord) api.GroupTerm {
	return api.GroupTerm{Group: record.Group, Term: record.Term, Primary: record.Primary, Start: record.Start}
}

// Observe adds a term to the table and reports whether it was newer than the known term of its group.
func (t *Table) Observe(observed api.GroupTerm) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.groups[observed.Group]
	if ok && !isNewer(observed, known.term) {
		checkSamePrimary(observed, known.term)
		return false
	}
	if ok {
		t.digest ^= hashOf(known.term)
	}
	t.digest ^= hashOf(observed)
	t.changes++
	t.groups[observed.Group] = entry{term: observed, change: t.changes, recorded: known.withRecorded(observed)}
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// TruncatedBy returns the first later term of a group that starts at or below the offset of a position, so that its
// promotion truncated the log record at the position. It is false if there is none among the recorded terms.
func (t *Table) TruncatedBy(group string, position api.Position) (api.GroupTerm, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, recorded := range t.groups[group].recorded {
		if recorded.Term > position.Term && position.Offset >= recorded.Start.Offset {
			return recorded, true
		}
	}
	return api.GroupTerm{}, false
}

// isNewer orders terms by their number; within one term a known primary is newer than an open promotion.
func isNewer(observed, known api.GroupTerm) bool {
	if observed.Term != known.Term {
		return observed.Term > known.Term
	}
	return known.Primary == "" && observed.Primary != ""
}

// hashOf returns a hash of the values that isNewer compares, so that of two tables with equal digests neither has a
// newer term.
func hashOf(term api.GroupTerm) uint64 {
	text := term.Group + "\x00" + strconv.FormatUint(term.Term, 10) + "\x00" + term.Primary
	return xxhash.Sum64String(text)
}

// checkSamePrimary reports a violated invariant if the same term has two primaries.
func checkSamePrimary(observed, known api.GroupTerm) {
	same := observed.Term != known.Term || observed.Primary == "" || observed.Primary == known.Primary
	invariant.Check(same, "one_primary_per_term", logrus.Fields{
		logfield.Group: observed.Group, logfield.Term: observed.Term, logfield.Known: known.Primary, logfield.Seen: observed.Primary,
	})
}

// Current returns the newest term of a group.
func (t *Table) Current(group string) (api.GroupTerm, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	current, ok := t.groups[group]
	return current.term, ok
}

// All returns the newest terms of all groups, in no particular order.
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

// since returns an offer of the terms that were added after a change of the table.
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

// Changed returns a channel that is closed at the next change of the table.
func (t *Table) Changed() <-chan struct{} {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.changed
}

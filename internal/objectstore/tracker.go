package objectstore

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/papayacove/papayacove/api"
)

// errRevisionDecreased means that the revision of an answer is lower than that of an earlier one.
var errRevisionDecreased = errors.New("platform revision decreased")

// objectKey identifies one object.
type objectKey struct {
	kind string
	name string
}

// deliveredVersion is the version of an object that was delivered last.
type deliveredVersion struct {
	era     uint64
	version uint64
	deleted bool
}

// isBefore reports whether an object has a later version than the delivered one. Versions of a later era are later,
// whatever their number: a restored store gives numbers out again.
func (d deliveredVersion) isBefore(o api.Object) bool {
	return d.era < o.Era || d.era == o.Era && d.version < o.Version
}

// tracker records the versions that were delivered. With them, the versions of each object are
// delivered in increasing order only, and a deletion that the dropped part of the history contained
// is detected.
type tracker struct {
	era       uint64
	revision  uint64
	delivered map[objectKey]deliveredVersion
}

func newTracker() *tracker {
	return &tracker{delivered: make(map[objectKey]deliveredVersion)}
}

// kindList is a full list of the objects of one kind.
type kindList struct {
	kind string
	list api.ObjectList
}

// mergeLists records full lists of all kinds and returns the objects in them that are new or changed.
// A delivered object that is missing from the list of its kind is returned as deleted, with the revision
// of the list as its version.
//
// In a later era everything listed is returned again, with the era of the list: what the copy lacks is returned as
// deleted, although its writer may write it again soon.
func (t *tracker) mergeLists(lists []kindList) (api.ObjectList, error) {
	revision, era := lowestRevision(lists), lists[0].list.Era
	for _, l := range lists {
		if l.list.Era != era {
			return api.ObjectList{}, fmt.Errorf("%w while it was listed", ErrRestored)
		}
	}
	if err := t.check(era, revision); err != nil && !errors.Is(err, ErrRestored) {
		return api.ObjectList{}, err
	}
	t.era = era
	var updates []api.Object
	for _, l := range lists {
		updates = append(updates, t.deletions(l)...)
		updates = append(updates, t.newer(l.list.Objects)...)
	}
	return t.recordDelivered(updates, revision), nil
}

// mergeChanges records the changes since the last revision and returns those that were not delivered yet.
func (t *tracker) mergeChanges(changes api.ObjectList) (api.ObjectList, error) {
	if err := t.check(changes.Era, changes.Revision); err != nil {
		return api.ObjectList{}, err
	}
	return t.recordDelivered(t.newer(changes.Objects), changes.Revision), nil
}

// check fails with ErrRestored if the era is later than the last one, and with errRevisionDecreased if the era, or the
// revision in the same era, is earlier.
func (t *tracker) check(era, revision uint64) error {
	switch {
	case era > t.era:
		return fmt.Errorf("%w: era %d after %d", ErrRestored, era, t.era)
	case era < t.era || era == t.era && revision < t.revision:
		return fmt.Errorf("%w: %d in era %d after %d in era %d", errRevisionDecreased, revision, era, t.revision, t.era)
	}
	return nil
}

// newer returns the objects with a higher version than the delivered one.
func (t *tracker) newer(objects []api.Object) []api.Object {
	var newer []api.Object
	for _, o := range objects {
		if t.delivered[objectKey{o.Kind, o.Name}].isBefore(o) {
			newer = append(newer, o)
		}
	}
	return newer
}

// deletions returns a deletion for each delivered object that the list of its kind no longer contains.
func (t *tracker) deletions(l kindList) []api.Object {
	listed := make(map[string]bool, len(l.list.Objects))
	for _, o := range l.list.Objects {
		listed[o.Name] = true
	}
	var deletions []api.Object
	for key, delivered := range t.delivered {
		if key.kind == l.kind && !delivered.deleted && !listed[key.name] {
			deletions = append(deletions, deletedObject(key, l.list.Era, l.list.Revision))
		}
	}
	return deletions
}

// recordDelivered records the updates as delivered and returns them ordered by version.
func (t *tracker) recordDelivered(updates []api.Object, revision uint64) api.ObjectList {
	slices.SortFunc(updates, func(a, b api.Object) int {
		return cmp.Compare(a.Version, b.Version)
	})
	for _, o := range updates {
		t.delivered[objectKey{o.Kind, o.Name}] = deliveredVersion{era: o.Era, version: o.Version, deleted: o.Deleted}
	}
	t.revision = revision
	t.pruneDeletions()
	return api.ObjectList{Revision: revision, Era: t.era, Objects: updates}
}

// pruneDeletions drops the deletions up to the current revision, because no answer of this or a higher revision can
// contain an older version of their objects.
func (t *tracker) pruneDeletions() {
	for key, delivered := range t.delivered {
		if delivered.deleted && (delivered.era < t.era || delivered.version <= t.revision) {
			delete(t.delivered, key)
		}
	}
}

// lowestRevision returns the lowest revision of the lists, up to which all of them are complete.
func lowestRevision(lists []kindList) uint64 {
	revisions := make([]uint64, 0, len(lists))
	for _, l := range lists {
		revisions = append(revisions, l.list.Revision)
	}
	return slices.Min(revisions)
}

// deletedObject returns an object that marks a deletion, as in the answer to a watch.
func deletedObject(key objectKey, era, version uint64) api.Object {
	return api.Object{
		Kind:    key.kind,
		Name:    key.name,
		Version: version,
		Era:     era,
		Deleted: true,
		Data:    []byte("{}"),
	}
}

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
	version uint64
	deleted bool
}

// tracker records the versions that were delivered. With them, the versions of each object are
// delivered in increasing order only, and a deletion that the dropped part of the history contained
// is detected.
type tracker struct {
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
func (t *tracker) mergeLists(lists []kindList) (api.ObjectList, error) {
	revision := lowestRevision(lists)
	if err := t.checkRevision(revision); err != nil {
		return api.ObjectList{}, err
	}
	var updates []api.Object
	for _, l := range lists {
		updates = append(updates, t.deletions(l)...)
		updates = append(updates, t.newer(l.list.Objects)...)
	}
	return t.recordDelivered(updates, revision), nil
}

// mergeChanges records the changes since the last revision and returns those that were not delivered yet.
func (t *tracker) mergeChanges(changes api.ObjectList) (api.ObjectList, error) {
	if err := t.checkRevision(changes.Revision); err != nil {
		return api.ObjectList{}, err
	}
	return t.recordDelivered(t.newer(changes.Objects), changes.Revision), nil
}

// checkRevision fails if the revision is lower than the last one.
func (t *tracker) checkRevision(revision uint64) error {
	if revision < t.revision {
		return fmt.Errorf("%w: %d after %d", errRevisionDecreased, revision, t.revision)
	}
	return nil
}

// newer returns the objects with a higher version than the delivered one.
func (t *tracker) newer(objects []api.Object) []api.Object {
	var newer []api.Object
	for _, o := range objects {
		if o.Version > t.delivered[objectKey{o.Kind, o.Name}].version {
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
			deletions = append(deletions, deletedObject(key, l.list.Revision))
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
		t.delivered[objectKey{o.Kind, o.Name}] = deliveredVersion{version: o.Version, deleted: o.Deleted}
	}
	t.revision = revision
	t.pruneDeletions()
	return api.ObjectList{Revision: revision, Objects: updates}
}

// pruneDeletions drops the deletions up to the current revision, because no answer of this or a higher revision can
// contain an older version of their objects.
func (t *tracker) pruneDeletions() {
	for key, delivered := range t.delivered {
		if delivered.deleted && delivered.version <= t.revision {
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
func deletedObject(key objectKey, version uint64) api.Object {
	return api.Object{
		Kind:    key.kind,
		Name:    key.name,
		Version: version,
		Deleted: true,
		Data:    []byte("{}"),
	}
}

package objectstore

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/papayacove/papayacove/api"
)

// errRevisionFell means that the platform answered with a lower revision than before.
var errRevisionFell = errors.New("platform revision fell")

// objectKey identifies one object.
type objectKey struct {
	kind string
	name string
}

// seenVersion is what was delivered last of one object.
type seenVersion struct {
	version uint64
	deleted bool
}

// tracker keeps the versions that were delivered, so that each object is delivered in rising
// versions only, and so that a deletion in a gap of the history is noticed.
type tracker struct {
	revision uint64
	seen     map[objectKey]seenVersion
}

func newTracker() *tracker {
	return &tracker{seen: make(map[objectKey]seenVersion)}
}

// kindList is the list of one kind.
type kindList struct {
	kind string
	list api.ObjectList
}

// relist takes whole lists and returns what is new in them. An object that is missing from its
// list is returned as deleted with the revision of the list.
func (t *tracker) relist(lists []kindList) (api.ObjectList, error) {
	revision := lowestRevision(lists)
	if err := t.checkRevision(revision); err != nil {
		return api.ObjectList{}, err
	}
	var news []api.Object
	for _, l := range lists {
		news = append(news, t.missing(l)...)
		news = append(news, t.newer(l.list.Objects)...)
	}
	return t.deliver(news, revision), nil
}

// advance takes the changes since the last revision and returns what is new in them.
func (t *tracker) advance(changes api.ObjectList) (api.ObjectList, error) {
	if err := t.checkRevision(changes.Revision); err != nil {
		return api.ObjectList{}, err
	}
	return t.deliver(t.newer(changes.Objects), changes.Revision), nil
}

// checkRevision fails when the platform has gone back.
func (t *tracker) checkRevision(revision uint64) error {
	if revision < t.revision {
		return fmt.Errorf("%w: %d after %d", errRevisionFell, revision, t.revision)
	}
	return nil
}

// newer returns the objects that are newer than those delivered.
func (t *tracker) newer(objects []api.Object) []api.Object {
	var newer []api.Object
	for _, o := range objects {
		if o.Version > t.seen[objectKey{o.Kind, o.Name}].version {
			newer = append(newer, o)
		}
	}
	return newer
}

// missing returns a deletion for each delivered object that its list no longer has.
func (t *tracker) missing(l kindList) []api.Object {
	listed := make(map[string]bool, len(l.list.Objects))
	for _, o := range l.list.Objects {
		listed[o.Name] = true
	}
	var missing []api.Object
	for key, seen := range t.seen {
		if key.kind == l.kind && !seen.deleted && !listed[key.name] {
			missing = append(missing, deletion(key, l.list.Revision))
		}
	}
	return missing
}

// deliver records what is delivered and returns it in the order of versions.
func (t *tracker) deliver(news []api.Object, revision uint64) api.ObjectList {
	slices.SortFunc(news, func(a, b api.Object) int {
		return cmp.Compare(a.Version, b.Version)
	})
	for _, o := range news {
		t.seen[objectKey{o.Kind, o.Name}] = seenVersion{version: o.Version, deleted: o.Deleted}
	}
	t.revision = revision
	t.forgetDeletions()
	return api.ObjectList{Revision: revision, Objects: news}
}

// forgetDeletions drops the deletions that no later answer can go back behind.
func (t *tracker) forgetDeletions() {
	for key, seen := range t.seen {
		if seen.deleted && seen.version <= t.revision {
			delete(t.seen, key)
		}
	}
}

// lowestRevision returns the revision up to which all lists are complete.
func lowestRevision(lists []kindList) uint64 {
	revisions := make([]uint64, 0, len(lists))
	for _, l := range lists {
		revisions = append(revisions, l.list.Revision)
	}
	return slices.Min(revisions)
}

// deletion returns the object of a watch answer that marks a removal.
func deletion(key objectKey, version uint64) api.Object {
	return api.Object{
		Kind:    key.kind,
		Name:    key.name,
		Version: version,
		Deleted: true,
		Data:    []byte("{}"),
	}
}

package platform

import (
	"encoding/json"
	"slices"
	"sort"
	"sync"

	"github.com/papayacove/papayacove/api"
)

// maxDataBytes is the largest size in bytes of the data of an object.
const maxDataBytes = 1 << 20

// objectKey identifies an object.
type objectKey struct {
	kind string
	name string
}

// store holds the objects of all kinds. One revision counts the changes of all of them. A deleted object stays,
// marked as deleted, until the history is compacted. The methods are safe for concurrent use unless they say
// otherwise.
type store struct {
	mu       sync.Mutex
	revision uint64
	// compactedRevision is the earliest revision after which changes can still be listed.
	compactedRevision uint64
	objects           map[objectKey]api.Object
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newStore() *store {
	return &store{
		objects: make(map[objectKey]api.Object),
		changed: make(chan struct{}),
	}
}

// list returns the objects of one kind.
func (s *store) list(kind string) api.ObjectList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.collect(func(o api.Object) bool {
		return o.Kind == kind && !o.Deleted
	})
}

// all returns the objects of all kinds.
func (s *store) all() api.ObjectList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.collect(func(o api.Object) bool {
		return !o.Deleted
	})
}

// get returns one object.
func (s *store) get(key objectKey) (api.Object, *failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.find(key)
}

// create stores a new object.
func (s *store) create(key objectKey, data json.RawMessage) (api.Object, *failure) {
	if f := checkData(data); f != nil {
		return api.Object{}, f
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, f := s.find(key); f == nil {
		return api.Object{}, failExists
	}
	return s.put(key, data, false), nil
}

// update replaces the data of an object if the object has the given version.
func (s *store) update(key objectKey, version uint64, data json.RawMessage) (api.Object, *failure) {
	if f := checkData(data); f != nil {
		return api.Object{}, f
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.checkVersion(key, version); f != nil {
		return api.Object{}, f
	}
	return s.put(key, data, false), nil
}

// remove deletes an object if the object has the given version.
func (s *store) remove(key objectKey, version uint64) (api.Object, *failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.checkVersion(key, version); f != nil {
		return api.Object{}, f
	}
	return s.put(key, json.RawMessage("{}"), true), nil
}

// overwrite stores an object without a check of its version.
func (s *store) overwrite(o api.Object) api.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(objectKey{o.Kind, o.Name}, o.Data, o.Deleted)
}

// changesAfter returns the objects of the given kinds that changed after a revision, deleted ones included, and a
// channel that is closed at the next change. It fails if the history after the revision has been compacted, or if
// the revision is higher than the current one.
func (s *store) changesAfter(after uint64, kinds []string) (api.ObjectList, <-chan struct{}, *failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compactedRevision || after > s.revision {
		return api.ObjectList{}, nil, failCompacted
	}
	changes := s.collect(func(o api.Object) bool {
		return o.Version > after && slices.Contains(kinds, o.Kind)
	})
	return changes, s.changed, nil
}

// compact discards the history up to the current revision.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision = s.revision
	for key, o := range s.objects {
		if o.Deleted {
			delete(s.objects, key)
		}
	}
}

// collect returns the objects that match, in the order of their versions. The caller holds s.mu.
func (s *store) collect(match func(api.Object) bool) api.ObjectList {
	objects := []api.Object{}
	for _, o := range s.objects {
		if match(o) {
			objects = append(objects, o)
		}
	}
	sort.Slice(objects, func(i, j int) bool {
		return objects[i].Version < objects[j].Version
	})
	return api.ObjectList{Revision: s.revision, Objects: objects}
}

// find returns an object that is not deleted. The caller holds s.mu.
func (s *store) find(key objectKey) (api.Object, *failure) {
	o, ok := s.objects[key]
	if !ok || o.Deleted {
		return api.Object{}, failNotFound
	}
	return o, nil
}

// checkVersion fails unless the object exists and has the given version. The caller holds s.mu.
func (s *store) checkVersion(key objectKey, version uint64) *failure {
	o, f := s.find(key)
	if f != nil {
		return f
	}
	if o.Version != version {
		return failConflict
	}
	return nil
}

// put stores an object under the next revision and wakes the watches. The caller holds s.mu.
func (s *store) put(key objectKey, data json.RawMessage, deleted bool) api.Object {
	s.revision++
	o := api.Object{
		Kind:    key.kind,
		Name:    key.name,
		Version: s.revision,
		Deleted: deleted,
		Data:    slices.Clone(data),
	}
	s.objects[key] = o
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// checkData fails unless the data is a JSON object of at most maxDataBytes.
func checkData(data json.RawMessage) *failure {
	if len(data) > maxDataBytes {
		return failTooLarge
	}
	var document map[string]json.RawMessage
	if err := json.Unmarshal(data, &document); err != nil || document == nil {
		return failInvalid
	}
	return nil
}

package platform

import (
	"encoding/json"
	"slices"
	"sort"
	"sync"

	"github.com/papayacove/papayacove/api"
)

// maxDataBytes is the largest object data that the platform keeps.
const maxDataBytes = 1 << 20

// objectKey identifies one object.
type objectKey struct {
	kind string
	name string
}

// store keeps the objects and the deletions of all kinds under one rising revision.
type store struct {
	mu        sync.Mutex
	revision  uint64
	compacted uint64
	objects   map[objectKey]api.Object
	changed   chan struct{}
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

// update replaces the data of an object whose version is known to the caller.
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

// remove deletes an object whose version is known to the caller.
func (s *store) remove(key objectKey, version uint64) (api.Object, *failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.checkVersion(key, version); f != nil {
		return api.Object{}, f
	}
	return s.put(key, json.RawMessage("{}"), true), nil
}

// overwrite stores an object whatever its version.
func (s *store) overwrite(o api.Object) api.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(objectKey{o.Kind, o.Name}, o.Data, o.Deleted)
}

// changesAfter returns what changed in the kinds after a revision, and a channel that is
// closed at the next change.
func (s *store) changesAfter(after uint64, kinds []string) (api.ObjectList, <-chan struct{}, *failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted || after > s.revision {
		return api.ObjectList{}, nil, failCompacted
	}
	changes := s.collect(func(o api.Object) bool {
		return o.Version > after && slices.Contains(kinds, o.Kind)
	})
	return changes, s.changed, nil
}

// compact drops the history up to the current revision.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	for key, o := range s.objects {
		if o.Deleted {
			delete(s.objects, key)
		}
	}
}

// collect returns the objects that match in the order of their versions; s.mu is held.
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

// find returns an object that is not deleted; s.mu is held.
func (s *store) find(key objectKey) (api.Object, *failure) {
	o, ok := s.objects[key]
	if !ok || o.Deleted {
		return api.Object{}, failNotFound
	}
	return o, nil
}

// checkVersion fails unless the object exists in the given version; s.mu is held.
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

// put stores an object under the next revision and wakes the watches; s.mu is held.
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

// checkData fails unless the data is a JSON object of an allowed size.
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

package workspace

import (
	"encoding/json"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/objectstore"
)

// changes are the objects that one Apply replaced.
type changes struct {
	groups     bool
	templates  map[string]bool
	workspaces map[string]bool
}

// isFresh reports whether the object is newer than the known one.
func (v *view) isFresh(object api.Object) bool {
	known, found := v.objects[objectKey{object.Kind, object.Name}]
	return !found || object.Version > known.Version
}

// fresh returns the objects that are newer than the known ones.
func (v *view) fresh(objects []api.Object) []api.Object {
	var list []api.Object
	for _, object := range objects {
		if v.isFresh(object) {
			list = append(list, object)
		}
	}
	return list
}

// takeAll takes in the objects that are newer than the known ones.
func (v *view) takeAll(objects []api.Object) {
	changed := changes{templates: map[string]bool{}, workspaces: map[string]bool{}}
	for _, object := range objects {
		// A batch may hold an object twice, so each one is looked at again.
		if !v.isFresh(object) {
			continue
		}
		v.objects[objectKey{object.Kind, object.Name}] = object
		v.take(object, &changed)
	}
	v.resolveChanged(changed)
}

// take decodes a stored object and notes what it changes.
func (v *view) take(object api.Object, changed *changes) {
	key := objectKey{object.Kind, object.Name}
	switch object.Kind {
	case objectstore.KindGroup:
		changed.groups = true
		v.takeGroup(key, object)
	case objectstore.KindTemplate:
		changed.templates[object.Name] = true
		v.takeTemplate(key, object)
	case objectstore.KindWorkspace:
		changed.workspaces[object.Name] = true
		v.takeWorkspace(key, object)
	}
}

func (v *view) takeGroup(key objectKey, object api.Object) {
	if object.Deleted {
		delete(v.groups, key.name)
		v.accept(key)
		return
	}
	var group api.GroupSpec
	problems := malformed(key)
	if json.Unmarshal(object.Data, &group) == nil && group.Name == key.name {
		problems = CheckGroup(group)
	}
	if v.admit(key, object.Version, problems) {
		v.groups[key.name] = group
	}
}

func (v *view) takeTemplate(key objectKey, object api.Object) {
	if object.Deleted {
		delete(v.templates, key.name)
		v.accept(key)
		return
	}
	var template api.Template
	problems := malformed(key)
	if json.Unmarshal(object.Data, &template) == nil && template.Name == key.name {
		problems = CheckTemplate(template)
	}
	// The stored object keeps the history; the daemon has no use for it.
	template.History, template.RecentChanges = nil, nil
	if v.admit(key, object.Version, problems) {
		v.templates[key.name] = template
	}
}

// admit notes whether a group or template comes into force, and reports it.
func (v *view) admit(key objectKey, version uint64, problems []Problem) bool {
	if len(problems) > 0 {
		v.refuse(key, version, v.versions[key], problems)
		return false
	}
	v.versions[key] = version
	v.accept(key)
	return true
}

func (v *view) takeWorkspace(key objectKey, object api.Object) {
	var newest api.Workspace
	if object.Deleted {
		delete(v.workspaces, key.name)
		v.accept(key)
		return
	}
	if json.Unmarshal(object.Data, &newest) != nil || newest.Name != key.name {
		entry := v.workspaces[key.name]
		v.workspaces[key.name] = workspaceEntry{version: object.Version, inForce: entry.inForce, problems: malformed(key)}
		return
	}
	if newest.Deleted {
		delete(v.workspaces, key.name)
		v.accept(key)
		return
	}
	newest.History, newest.RecentChanges = nil, nil
	entry := v.workspaces[key.name]
	v.workspaces[key.name] = workspaceEntry{newest: newest, version: object.Version, inForce: entry.inForce}
}

// resolveChanged resolves the workspaces that a change concerns.
func (v *view) resolveChanged(changed changes) {
	if changed.groups {
		v.groupList = v.listGroups()
	}
	for name, entry := range v.workspaces {
		if changed.groups || changed.workspaces[name] || changed.templates[entry.newest.Template] {
			v.workspaces[name] = v.resolve(name, entry)
		}
	}
}

// resolve brings the newest object of a workspace into force, or keeps the last valid one.
func (v *view) resolve(name string, entry workspaceEntry) workspaceEntry {
	key := objectKey{objectstore.KindWorkspace, name}
	var effective Effective
	if entry.newest.Name != "" {
		template := v.templates[entry.newest.Template]
		effective, entry.problems = Resolve(template, entry.newest, v.groupList)
		effective.Revision = v.revisionOf(entry)
	}
	if len(entry.problems) == 0 {
		entry.inForce = &effective
		v.accept(key)
		return entry
	}
	if entry.inForce == nil {
		entry.inForce = v.resolveValues(entry)
	}
	v.refuse(key, entry.version, inForceRevision(entry), entry.problems)
	return entry
}

// resolveValues serves a daemon that starts after a database group has changed under a workspace:
// it has no earlier version to keep, and a workspace that fits its template but not the groups is
// better in force than unknown. It returns nil when the values are not valid either.
func (v *view) resolveValues(entry workspaceEntry) *Effective {
	template := v.templates[entry.newest.Template]
	effective, problems := ResolveValues(template, entry.newest)
	if entry.newest.Name == "" || len(problems) > 0 {
		return nil
	}
	effective.Revision = v.revisionOf(entry)
	return &effective
}

// revisionOf is the newest version of the objects that a workspace is resolved from.
func (v *view) revisionOf(entry workspaceEntry) uint64 {
	return max(entry.version, v.versions[objectKey{objectstore.KindTemplate, entry.newest.Template}])
}

func inForceRevision(entry workspaceEntry) uint64 {
	if entry.inForce == nil {
		return 0
	}
	return entry.inForce.Revision
}

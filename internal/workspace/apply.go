package workspace

import (
	"encoding/json"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/objectstore"
)

// changes records which objects one call of Catalog.Apply has replaced.
type changes struct {
	groups     bool
	templates  map[string]bool
	workspaces map[string]bool
}

// isNewer reports whether the object has a higher version than the known one, or is not known yet.
func (v *view) isNewer(object api.Object) bool {
	known, found := v.objects[objectKey{object.Kind, object.Name}]
	return !found || object.Version > known.Version
}

// newerObjects returns those of the objects that are newer than the known ones.
func (v *view) newerObjects(objects []api.Object) []api.Object {
	var list []api.Object
	for _, object := range objects {
		if v.isNewer(object) {
			list = append(list, object)
		}
	}
	return list
}

// applyAll applies the objects that are newer than the known ones and resolves the workspaces that they affect.
func (v *view) applyAll(objects []api.Object) {
	changed := changes{templates: map[string]bool{}, workspaces: map[string]bool{}}
	for _, object := range objects {
		// The list may contain several versions of an object, so each version is compared with the latest one applied.
		if !v.isNewer(object) {
			continue
		}
		v.objects[objectKey{object.Kind, object.Name}] = object
		v.apply(object, &changed)
	}
	v.resolveChanged(changed)
}

// apply decodes a stored object, applies it and adds it to changed.
func (v *view) apply(object api.Object, changed *changes) {
	key := objectKey{object.Kind, object.Name}
	switch object.Kind {
	case objectstore.KindGroup:
		changed.groups = true
		v.applyGroup(key, object)
	case objectstore.KindTemplate:
		changed.templates[object.Name] = true
		v.applyTemplate(key, object)
	case objectstore.KindWorkspace:
		changed.workspaces[object.Name] = true
		v.applyWorkspace(key, object)
	}
}

func (v *view) applyGroup(key objectKey, object api.Object) {
	if object.Deleted {
		delete(v.groups, key.name)
		v.recordAccepted(key)
		return
	}
	var group api.GroupSpec
	problems := malformedProblems(key)
	if json.Unmarshal(object.Data, &group) == nil && group.Name == key.name {
		problems = CheckGroup(group)
	}
	if v.recordCheck(key, object.Version, problems) {
		v.groups[key.name] = group
	}
}

func (v *view) applyTemplate(key objectKey, object api.Object) {
	if object.Deleted {
		delete(v.templates, key.name)
		v.recordAccepted(key)
		return
	}
	var template api.Template
	problems := malformedProblems(key)
	if json.Unmarshal(object.Data, &template) == nil && template.Name == key.name {
		problems = CheckTemplate(template)
	}
	// The history remains in the stored object; the daemon does not use it.
	template.History, template.RecentChanges = nil, nil
	if v.recordCheck(key, object.Version, problems) {
		v.templates[key.name] = template
	}
}

// recordCheck puts a version of a group or template in force if it has no problems, and records and reports the
// result.
func (v *view) recordCheck(key objectKey, version uint64, problems []Problem) bool {
	if len(problems) > 0 {
		v.recordRefused(key, version, v.inForceVersions[key], problems)
		return false
	}
	v.inForceVersions[key] = version
	v.recordAccepted(key)
	return true
}

func (v *view) applyWorkspace(key objectKey, object api.Object) {
	var newest api.Workspace
	if object.Deleted {
		delete(v.workspaces, key.name)
		v.recordAccepted(key)
		return
	}
	if json.Unmarshal(object.Data, &newest) != nil || newest.Name != key.name {
		entry := v.workspaces[key.name]
		v.workspaces[key.name] = workspaceEntry{version: object.Version, inForce: entry.inForce, problems: malformedProblems(key)}
		return
	}
	if newest.Deleted {
		delete(v.workspaces, key.name)
		v.recordAccepted(key)
		return
	}
	newest.History, newest.RecentChanges = nil, nil
	entry := v.workspaces[key.name]
	v.workspaces[key.name] = workspaceEntry{newest: newest, version: object.Version, inForce: entry.inForce}
}

// resolveChanged resolves the workspaces that are affected by the changes.
func (v *view) resolveChanged(changed changes) {
	if changed.groups {
		v.sortedGroups = v.listGroups()
	}
	for name, entry := range v.workspaces {
		if changed.groups || changed.workspaces[name] || changed.templates[entry.newest.Template] {
			v.workspaces[name] = v.resolve(name, entry)
		}
	}
}

// resolve returns the entry with the newest version of a workspace in force, or with the last valid one if the
// newest has problems. It records the result.
func (v *view) resolve(name string, entry workspaceEntry) workspaceEntry {
	key := objectKey{objectstore.KindWorkspace, name}
	var effective Effective
	if entry.newest.Name != "" {
		template := v.templates[entry.newest.Template]
		effective, entry.problems = Resolve(template, entry.newest, v.sortedGroups)
		effective.Revision = v.revisionOf(entry)
	}
	if len(entry.problems) == 0 {
		entry.inForce = &effective
		v.recordAccepted(key)
		return entry
	}
	if entry.inForce == nil {
		entry.inForce = v.resolveValues(entry)
	}
	v.recordRefused(key, entry.version, inForceRevision(entry), entry.problems)
	return entry
}

// resolveValues resolves a workspace without checking it against the groups. It is for a daemon that starts after
// a database group has changed so that the workspace no longer fits it: the daemon has no earlier valid version
// to keep, and serving a workspace that matches its template is better than refusing its callers as unknown. It
// returns nil if the values are not valid either.
func (v *view) resolveValues(entry workspaceEntry) *Effective {
	template := v.templates[entry.newest.Template]
	effective, problems := ResolveValues(template, entry.newest)
	if entry.newest.Name == "" || len(problems) > 0 {
		return nil
	}
	effective.Revision = v.revisionOf(entry)
	return &effective
}

// revisionOf returns the higher of the versions of the workspace and of its template in force.
func (v *view) revisionOf(entry workspaceEntry) uint64 {
	return max(entry.version, v.inForceVersions[objectKey{objectstore.KindTemplate, entry.newest.Template}])
}

func inForceRevision(entry workspaceEntry) uint64 {
	if entry.inForce == nil {
		return 0
	}
	return entry.inForce.Revision
}

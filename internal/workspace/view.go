package workspace

import (
	"maps"
	"sort"

	"github.com/papayacove/papayacove/api"
)

// objectKey identifies an object of the platform.
type objectKey struct {
	kind string
	name string
}

// workspaceEntry holds the newest version of a workspace and its configuration in force; inForce is nil if there
// is none.
type workspaceEntry struct {
	newest   api.Workspace
	version  uint64
	inForce  *Effective
	problems []Problem
}

// view is one state of the catalog. It is immutable once published.
type view struct {
	revision     uint64
	objects      map[objectKey]api.Object
	groups       map[string]api.GroupSpec
	sortedGroups []api.GroupSpec
	templates    map[string]api.Template
	// inForceVersions holds the versions in force of groups and templates.
	inForceVersions map[objectKey]uint64
	workspaces      map[string]workspaceEntry
	statuses        map[objectKey]ObjectStatus
}

func emptyView() *view {
	return &view{
		objects:         map[objectKey]api.Object{},
		groups:          map[string]api.GroupSpec{},
		templates:       map[string]api.Template{},
		inForceVersions: map[objectKey]uint64{},
		workspaces:      map[string]workspaceEntry{},
		statuses:        map[objectKey]ObjectStatus{},
	}
}

// clone returns a copy with its own maps, which can be changed while others read v.
func (v *view) clone() *view {
	return &view{
		revision:        v.revision,
		objects:         maps.Clone(v.objects),
		groups:          maps.Clone(v.groups),
		sortedGroups:    v.sortedGroups,
		templates:       maps.Clone(v.templates),
		inForceVersions: maps.Clone(v.inForceVersions),
		workspaces:      maps.Clone(v.workspaces),
		statuses:        maps.Clone(v.statuses),
	}
}

func (v *view) listGroups() []api.GroupSpec {
	list := make([]api.GroupSpec, 0, len(v.groups))
	for _, group := range v.groups {
		list = append(list, group)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

func (v *view) snapshot() []api.Object {
	list := make([]api.Object, 0, len(v.objects))
	for _, object := range v.objects {
		list = append(list, object)
	}
	sort.Slice(list, func(i, j int) bool { return objectLess(list[i], list[j]) })
	return list
}

func objectLess(a, b api.Object) bool {
	if a.Version != b.Version {
		return a.Version < b.Version
	}
	if a.Kind != b.Kind {
		return a.Kind < b.Kind
	}
	return a.Name < b.Name
}

func (v *view) listStatuses() []ObjectStatus {
	list := make([]ObjectStatus, 0, len(v.statuses))
	for _, status := range v.statuses {
		list = append(list, status)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Kind != list[j].Kind {
			return list[i].Kind < list[j].Kind
		}
		return list[i].Name < list[j].Name
	})
	return list
}

// versionsNeverDecrease reports whether next has every object of v in the same or a higher version.
func (v *view) versionsNeverDecrease(next *view) bool {
	for key, object := range v.objects {
		if next.objects[key].Version < object.Version {
			return false
		}
	}
	return true
}

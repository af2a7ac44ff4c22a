package workspace

import (
	"sort"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/frontend"
	"github.com/papayacove/papayacove/internal/invariant"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/result"
)

// Catalog holds the configuration of a daemon in memory. It is safe for concurrent use, and reads take
// no lock. Results are shared and must not be modified. Term objects are kept only to pass them to peers;
// package terms evaluates them.
type Catalog struct {
	current atomic.Pointer[view]

	// mu serializes writers and guards subscribers.
	mu          sync.Mutex
	subscribers []chan struct{}
}

var _ frontend.Credentials = (*Catalog)(nil)

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog {
	c := &Catalog{}
	c.current.Store(emptyView())
	return c
}

// Apply stores the objects whose version is higher than the known one and reports whether there were any.
// The revision is the one up to which the caller has received all objects. An invalid object is stored too,
// but the last valid version stays in force.
func (c *Catalog) Apply(objects []api.Object, revision uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.current.Load()
	newerObjects := before.newerObjects(objects)
	if len(newerObjects) == 0 {
		c.raiseRevision(before, revision)
		return false
	}
	next := before.clone()
	next.applyAll(newerObjects)
	next.revision = max(next.revision, revision)
	c.publish(next)
	return true
}

// raiseRevision records a higher revision up to which the objects are complete. The caller holds mu.
func (c *Catalog) raiseRevision(before *view, revision uint64) {
	if revision <= before.revision {
		return
	}
	next := *before
	next.revision = revision
	c.publish(&next)
}

// publish makes next the current view and notifies the subscribers, unless its revision or the version of an object
// would decrease. The caller holds mu.
func (c *Catalog) publish(next *view) {
	before := c.current.Load()
	nonDecreasing := next.revision >= before.revision && before.versionsNeverDecrease(next)
	if !invariant.Check(nonDecreasing, "config_version_never_falls", logrus.Fields{
		logfield.Known: before.revision, logfield.Stated: next.revision,
	}) {
		return
	}
	c.current.Store(next)
	for _, subscriber := range c.subscribers {
		select {
		case subscriber <- struct{}{}:
		default:
		}
	}
}

// Subscribe returns a channel that receives a value after a change. Changes in quick succession may
// be combined into one value.
func (c *Catalog) Subscribe() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	subscriber := make(chan struct{}, 1)
	c.subscribers = append(c.subscribers, subscriber)
	return subscriber
}

// Revision returns the revision up to which the catalog is complete.
func (c *Catalog) Revision() uint64 {
	return c.current.Load().revision
}

// Snapshot returns the newest version of all objects, ordered by version, for a peer to apply.
func (c *Catalog) Snapshot() []api.Object {
	return c.current.Load().snapshot()
}

// Since returns the objects whose newest version is after a revision, ordered by version. A catalog that
// is complete up to the revision lacks no other objects.
func (c *Catalog) Since(revision uint64) []api.Object {
	objects := c.Snapshot()
	first := sort.Search(len(objects), func(i int) bool { return objects[i].Version > revision })
	return objects[first:]
}

// Statuses returns the objects whose newest version is not in force, ordered by kind and name.
func (c *Catalog) Statuses() []ObjectStatus {
	return c.current.Load().listStatuses()
}

// Workspace returns the configuration in force of a workspace, or false if there is none.
func (c *Catalog) Workspace(name string) (Effective, bool) {
	entry := c.current.Load().workspaces[name]
	if entry.inForce == nil {
		return Effective{}, false
	}
	return *entry.inForce, true
}

// MayUse reports whether the configuration in force of a workspace includes a group.
func (c *Catalog) MayUse(workspace, group string) bool {
	effective, found := c.Workspace(workspace)
	return found && effective.HasGroup(group)
}

// MaxSlots returns the maximum number of slots of one target that a workspace uses at a time; 0 means all slots.
func (c *Catalog) MaxSlots(workspace string) int {
	effective, _ := c.Workspace(workspace)
	return effective.Slots
}

// Workspaces returns the configurations in force of all workspaces, ordered by name.
func (c *Catalog) Workspaces() []Effective {
	var list []Effective
	for _, entry := range c.current.Load().workspaces {
		if entry.inForce != nil {
			list = append(list, *entry.inForce)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Groups returns the database groups, ordered by name.
func (c *Catalog) Groups() []api.GroupSpec {
	return c.current.Load().sortedGroups
}

// Group returns the database group with a name, or false if there is none.
func (c *Catalog) Group(name string) (api.GroupSpec, bool) {
	group, found := c.current.Load().groups[name]
	return group, found
}

// Credential returns the verifier and the allowed read staleness of a user. The error has the code
// UnknownWorkspace, UnknownGroup or AuthenticationFailed.
func (c *Catalog) Credential(workspace, group, user string) (frontend.Credential, error) {
	effective, found := c.Workspace(workspace)
	if !found {
		return frontend.Credential{}, result.Errorf(result.UnknownWorkspace, "no workspace %q", workspace)
	}
	if !effective.HasGroup(group) {
		return frontend.Credential{}, result.Errorf(result.UnknownGroup, "workspace %q has no group %q", workspace, group)
	}
	account, found := effective.Users[user]
	if !found {
		return frontend.Credential{}, result.Errorf(result.AuthenticationFailed, "unknown user or wrong password")
	}
	return frontend.Credential{Verifier: account.Verifier, MaxAge: account.MaxStaleness}, nil
}

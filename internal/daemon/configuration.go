package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/objectstore"
	"github.com/papayacove/papayacove/internal/peer"
	"github.com/papayacove/papayacove/internal/terms"
	"github.com/sirupsen/logrus"
)

const (
	// peerFetchInterval is the time between checks for a peer with a newer configuration.
	peerFetchInterval = 300 * time.Millisecond
	// peerFetchTimeout bounds one request for the configuration of a peer.
	peerFetchTimeout = time.Second
)

// configurationKinds are the kinds of platform objects that make up the configuration.
var configurationKinds = []string{objectstore.KindTemplate, objectstore.KindWorkspace, objectstore.KindGroup, objectstore.KindTerm}

// followConfiguration applies the configuration objects of the platform as they change, until ctx ends. It calls the
// platform only while this daemon is one of the watchers of its availability zone, and otherwise once per
// maxTimeWithoutWatch.
func (d *Daemon) followConfiguration(ctx context.Context) {
	options := objectstore.FollowOptions{Kinds: configurationKinds, AfterCall: d.platformAccess.recordOutcome, BeforeCall: d.awaitWatch}
	_ = d.platform.Follow(ctx, options, func(list api.ObjectList) { d.applyObjects(list.Objects, list.Revision, "platform") })
}

// followVMs applies the VM list of the platform as it changes, until ctx ends.
func (d *Daemon) followVMs(ctx context.Context) {
	options := objectstore.FollowOptions{AfterCall: d.platformAccess.recordOutcome}
	_ = d.platform.FollowVMs(ctx, options, d.applyVMs)
}

// applyObjects applies configuration objects from the platform or a peer, and recomputes the placement of the targets
// if they change the catalog.
func (d *Daemon) applyObjects(objects []api.Object, revision uint64, source string) {
	changed := d.catalog.Apply(objects, revision)
	for _, object := range objects {
		d.applyTerm(object)
	}
	if !changed {
		return
	}
	logrus.WithFields(logrus.Fields{logfield.Revision: d.catalog.Revision(), logfield.Objects: len(objects), logfield.Source: source}).Info(logevent.ConfigurationApplied)
	d.refresh()
}

func (d *Daemon) applyTerm(object api.Object) {
	if object.Kind != objectstore.KindTerm || object.Deleted {
		return
	}
	record, err := terms.DecodeRecord(object)
	if err != nil {
		d.unreadable.Report(logevent.TermUnreadable, object.Kind, object.Name, err)
		return
	}
	d.unreadable.Clear(object.Kind, object.Name)
	d.observeTerm(terms.FromRecord(record), "platform")
}

// observeTerm records a term. If the term was not known yet, it logs it and returns true.
func (d *Daemon) observeTerm(term api.GroupTerm, source string) bool {
	if !d.terms.Observe(term) {
		return false
	}
	logrus.WithFields(logrus.Fields{
		logfield.Group: term.Group, logfield.Term: term.Term, logfield.Primary: term.Primary, logfield.Start: term.Start.String(), logfield.Source: source,
	}).Info(logevent.TermObserved)
	return true
}

func (d *Daemon) applyVMs(list api.VMList) {
	if !d.vms.set(list) {
		return
	}
	d.members.SetVMs(list)
}

// fetchFromPeers fetches the configuration from daemons that have a newer one, until ctx ends. Peers have a newer one
// while only they watch the platform, or while the platform cannot be reached from this daemon.
func (d *Daemon) fetchFromPeers(ctx context.Context) {
	ticker := time.NewTicker(peerFetchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.fetchNewest(ctx)
	}
}

// fetchNewest fetches the configuration from the live daemon with the newest one. If no live daemon has a newer one and
// this daemon has no configuration or no VM list, it asks all peers of the settings, since it may know no live daemon.
func (d *Daemon) fetchNewest(ctx context.Context) {
	have := d.catalog.Revision()
	if newest, ok := d.members.ClientWithNewestConfig(have); ok {
		d.fetchFrom(ctx, newest, have)
		return
	}
	if have > 0 && !d.vms.isEmpty() {
		return
	}
	for _, seed := range d.seeds {
		d.fetchFrom(ctx, seed, have)
	}
}

func (d *Daemon) fetchFrom(ctx context.Context, from *peer.Client, have uint64) {
	ctx, cancel := context.WithTimeout(ctx, peerFetchTimeout)
	defer cancel()
	reply, err := from.Configuration(ctx, &api.ConfigRequest{Have: have, HaveVms: d.vms.get().Revision})
	if err != nil {
		return
	}
	d.applyVMs(reply.Vms)
	if reply.Revision > have {
		d.applyObjects(reply.Objects, reply.Revision, "peer")
	}
}

// vmTable keeps the newest VM list.
type vmTable struct {
	mu      sync.RWMutex
	list    api.VMList
	leaving map[string]bool
}

// set stores the list if it is newer than the present one, and reports whether it is.
func (t *vmTable) set(list api.VMList) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if list.Revision <= t.list.Revision {
		return false
	}
	t.list = list
	t.leaving = make(map[string]bool)
	for _, vm := range list.Vms {
		if vm.State == api.VMStateLeaving {
			t.leaving[vm.Name] = true
		}
	}
	return true
}

func (t *vmTable) get() api.VMList {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.list
}

func (t *vmTable) isEmpty() bool {
	return t.get().Revision == 0
}

// isDaemon reports whether an entry VM of this name is listed. It accepts every name until a first list is known,
// because this daemon may have to fetch that list from its peers.
func (t *vmTable) isDaemon(name string) bool {
	list := t.get()
	if list.Revision == 0 {
		return true
	}
	return slices.ContainsFunc(list.Vms, func(vm api.VM) bool { return vm.Role == api.VMRoleEntry && vm.Name == name })
}

// isLeaving reports whether a VM is listed as leaving.
func (t *vmTable) isLeaving(name string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.leaving[name]
}

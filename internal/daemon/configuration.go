package daemon

import (
	"context"
	"encoding/json"
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
	// learnInterval is the time between two looks for a peer with a newer configuration.
	learnInterval = 300 * time.Millisecond
	// learnTimeout is the time that a peer gets to send its configuration.
	learnTimeout = time.Second
)

// configurationKinds are the objects that make up the configuration.
var configurationKinds = []string{objectstore.KindTemplate, objectstore.KindWorkspace, objectstore.KindGroup, objectstore.KindTerm}

// followConfiguration applies the objects of the platform as they change, while this daemon is one of
// those that watch.
func (d *Daemon) followConfiguration(ctx context.Context) {
	options := objectstore.FollowOptions{Kinds: configurationKinds, Reached: d.contact.note, Hold: d.awaitWatch}
	_ = d.platform.Follow(ctx, options, func(list api.ObjectList) { d.applyObjects(list.Objects, list.Revision, "platform") })
}

// followVMs applies the VM list of the platform as it changes.
func (d *Daemon) followVMs(ctx context.Context) {
	options := objectstore.FollowOptions{Reached: d.contact.note}
	_ = d.platform.FollowVMs(ctx, options, d.applyVMs)
}

// applyObjects takes in configuration, from the platform or a peer.
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
	var record api.TermRecord
	if err := json.Unmarshal(object.Data, &record); err != nil {
		logrus.WithFields(logrus.Fields{logfield.Object: object.Name, logfield.Error: err}).Warn(logevent.TermUnreadable)
		return
	}
	d.observeTerm(terms.FromRecord(record), "platform")
}

// observeTerm takes in a term and logs it when it is news.
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

// learnFromPeers fetches the configuration from daemons that have a newer one, which happens while
// others watch the platform or it cannot be reached from here.
func (d *Daemon) learnFromPeers(ctx context.Context) {
	ticker := time.NewTicker(learnInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.learn(ctx)
	}
}

func (d *Daemon) learn(ctx context.Context) {
	have := d.catalog.Revision()
	if newest, ok := d.members.Newest(have); ok {
		d.learnFrom(ctx, newest, have)
		return
	}
	if have > 0 && !d.vms.isEmpty() {
		return
	}
	for _, seed := range d.seeds {
		d.learnFrom(ctx, seed, have)
	}
}

func (d *Daemon) learnFrom(ctx context.Context, from *peer.Client, have uint64) {
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
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

// set takes in a list and reports whether it is newer.
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

// isDaemon reports whether an entry VM of this name is listed. Before the first list is known, which
// a daemon may have to learn from its peers, each name passes.
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

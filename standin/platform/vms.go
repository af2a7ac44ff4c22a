package platform

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/papayacove/papayacove/api"
)

// vmList is the list of VMs. Callers see a change after a lag. Its methods are safe for concurrent use.
type vmList struct {
	mu       sync.Mutex
	revision uint64
	vms      []api.VM
	changed  chan struct{}
}

func newVMList() *vmList {
	return &vmList{
		vms:     []api.VM{},
		changed: make(chan struct{}),
	}
}

// set replaces the list after a lag. It doesn't wait for it.
func (l *vmList) set(vms []api.VM, lag time.Duration) {
	sorted := append([]api.VM{}, vms...)
	slices.SortFunc(sorted, func(a, b api.VM) int {
		return strings.Compare(a.Name, b.Name)
	})
	if lag <= 0 {
		l.publish(sorted)
		return
	}
	time.AfterFunc(lag, func() { l.publish(sorted) })
}

// publish makes a list the visible one and wakes the watches.
func (l *vmList) publish(vms []api.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision++
	l.vms = vms
	close(l.changed)
	l.changed = make(chan struct{})
}

// get returns the visible list and a channel that is closed at the next change.
func (l *vmList) get() (api.VMList, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return api.VMList{Revision: l.revision, Vms: l.vms}, l.changed
}

package objectstore

import (
	"expvar"
	"sync/atomic"
)

// calls and failures count the calls and the failed calls of all clients in the process by kind.
var (
	calls    = expvar.NewMap("platform_calls")
	failures = expvar.NewMap("platform_failures")
)

// Counts holds the numbers of calls of one client by kind; a watch is one call however long it waits.
type Counts struct {
	Get      uint64
	List     uint64
	Create   uint64
	Update   uint64
	Delete   uint64
	Watch    uint64
	VMs      uint64
	WatchVMs uint64
}

// Total returns the number of all calls.
func (c Counts) Total() uint64 {
	reads := c.Get + c.List + c.VMs
	writes := c.Create + c.Update + c.Delete
	watches := c.Watch + c.WatchVMs
	return reads + writes + watches
}

// callKind is a kind of call.
type callKind int

const (
	callGet callKind = iota
	callList
	callCreate
	callUpdate
	callDelete
	callWatch
	callVMs
	callWatchVMs
	callKindCount
)

// callKindNames holds the names of the kinds in metrics, logs and errors.
var callKindNames = [callKindCount]string{
	callGet:      "get",
	callList:     "list",
	callCreate:   "create",
	callUpdate:   "update",
	callDelete:   "delete",
	callWatch:    "watch",
	callVMs:      "vms",
	callWatchVMs: "watch_vms",
}

// String returns the name of the kind.
func (k callKind) String() string {
	return callKindNames[k]
}

// isChange reports whether calls of the kind change an object.
func (k callKind) isChange() bool {
	return k == callCreate || k == callUpdate || k == callDelete
}

// callCounter counts the calls of one client.
type callCounter struct {
	byKind [callKindCount]atomic.Uint64
}

// add counts one call.
func (c *callCounter) add(kind callKind) {
	c.byKind[kind].Add(1)
	calls.Add(kind.String(), 1)
}

// get returns the counts so far.
func (c *callCounter) get() Counts {
	return Counts{
		Get:      c.byKind[callGet].Load(),
		List:     c.byKind[callList].Load(),
		Create:   c.byKind[callCreate].Load(),
		Update:   c.byKind[callUpdate].Load(),
		Delete:   c.byKind[callDelete].Load(),
		Watch:    c.byKind[callWatch].Load(),
		VMs:      c.byKind[callVMs].Load(),
		WatchVMs: c.byKind[callWatchVMs].Load(),
	}
}

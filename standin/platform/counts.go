package platform

import "sync"

// Counts are the numbers of calls, by kind, that reached the platform since its start. A watch counts as one call
// however long it waits.
type Counts struct {
	List     uint64 `json:"list"`
	Get      uint64 `json:"get"`
	Create   uint64 `json:"create"`
	Update   uint64 `json:"update"`
	Delete   uint64 `json:"delete"`
	Watch    uint64 `json:"watch"`
	VMs      uint64 `json:"vms"`
	WatchVMs uint64 `json:"watch_vms"`
}

// Total returns the number of calls of all kinds.
func (c Counts) Total() uint64 {
	reads := c.List + c.Get + c.VMs
	writes := c.Create + c.Update + c.Delete
	watches := c.Watch + c.WatchVMs
	return reads + writes + watches
}

// callCounter counts calls by kind. Its methods are safe for concurrent use.
type callCounter struct {
	mu     sync.Mutex
	counts Counts
}

// add counts one call; field selects the count of its kind.
func (c *callCounter) add(field func(*Counts) *uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*field(&c.counts)++
}

// get returns the current counts.
func (c *callCounter) get() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

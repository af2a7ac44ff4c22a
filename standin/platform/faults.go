package platform

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Faults are the faults that the stand-in injects.
type Faults struct {
	// Down drops the connection of each request. No request is executed.
	Down bool `json:"down"`

	// DelayMs is the time in milliseconds before a request is executed.
	DelayMs int64 `json:"delay_ms"`

	// ResponseLossProbability is the probability from 0 to 1 that a change takes effect without a response.
	ResponseLossProbability float64 `json:"lose_probability"`

	// LoseNextResponses is the number of changes, from the next one on, that take effect without a response.
	LoseNextResponses int `json:"lose_next"`

	// PartitionedZones names the availability zones that are partitioned from the platform. Their requests hang and
	// are never executed.
	PartitionedZones []string `json:"cut_zones"`
}

// faultInjector holds the active faults and decides which of them apply to a request. Its methods are safe for
// concurrent use.
type faultInjector struct {
	mu      sync.Mutex
	active  Faults
	random  *rand.Rand
	changed chan struct{}
}

func newFaultInjector(seed uint64) *faultInjector {
	return &faultInjector{
		random:  rand.New(rand.NewPCG(seed, seed)),
		changed: make(chan struct{}),
	}
}

// set replaces the active faults and wakes the waiting watches, because the new faults may partition their zone.
func (f *faultInjector) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	faults.PartitionedZones = slices.Clone(faults.PartitionedZones)
	f.active = faults
	close(f.changed)
	f.changed = make(chan struct{})
}

// get returns the active faults and a channel that is closed when they are replaced.
func (f *faultInjector) get() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	faults := f.active
	faults.PartitionedZones = slices.Clone(faults.PartitionedZones)
	return faults, f.changed
}

// classify returns whether a request from an availability zone reaches the platform.
func (f *faultInjector) classify(zone string) reachability {
	f.mu.Lock()
	defer f.mu.Unlock()
	if slices.Contains(f.active.PartitionedZones, zone) {
		return zonePartitioned
	}
	if f.active.Down {
		return platformDown
	}
	return reachable
}

// delay returns the time before a request is executed.
func (f *faultInjector) delay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.active.DelayMs) * time.Millisecond
}

// losesResponse decides whether the response to a change that took effect is lost.
func (f *faultInjector) losesResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active.LoseNextResponses > 0 {
		f.active.LoseNextResponses--
		return true
	}
	return f.active.ResponseLossProbability > 0 && f.random.Float64() < f.active.ResponseLossProbability
}

// reachability is whether a request reaches the platform, and if not, how it fails.
type reachability int

const (
	// reachable means that the request is executed.
	reachable reachability = iota
	// platformDown means that the connection is dropped.
	platformDown
	// zonePartitioned means that the request hangs without a response.
	zonePartitioned
)

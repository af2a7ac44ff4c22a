package platform

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Knobs select the faults that the stand-in brings about.
type Knobs struct {
	// Down drops each connection that carries a request; nothing is carried out.
	Down bool `json:"down"`

	// DelayMs is the time in milliseconds before a request is carried out.
	DelayMs int64 `json:"delay_ms"`

	// LoseProbability is the share of changes that take effect without an answer.
	LoseProbability float64 `json:"lose_probability"`

	// LoseNext is the number of coming changes that take effect without an answer.
	LoseNext int `json:"lose_next"`

	// CutZones names the availability zones whose requests hang and are never carried
	// out.
	CutZones []string `json:"cut_zones"`
}

// faults holds the knobs and decides for each request.
type faults struct {
	mu      sync.Mutex
	knobs   Knobs
	random  *rand.Rand
	changed chan struct{}
}

func newFaults(seed uint64) *faults {
	return &faults{
		random:  rand.New(rand.NewPCG(seed, seed)),
		changed: make(chan struct{}),
	}
}

// set replaces the knobs and wakes the waiting watches, which may be cut off now.
func (f *faults) set(k Knobs) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k.CutZones = slices.Clone(k.CutZones)
	f.knobs = k
	close(f.changed)
	f.changed = make(chan struct{})
}

// get returns the knobs and a channel that is closed when they change.
func (f *faults) get() (Knobs, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.knobs
	k.CutZones = slices.Clone(k.CutZones)
	return k, f.changed
}

// reach tells what becomes of a request from an availability zone.
func (f *faults) reach(zone string) reachability {
	f.mu.Lock()
	defer f.mu.Unlock()
	if slices.Contains(f.knobs.CutZones, zone) {
		return reachCut
	}
	if f.knobs.Down {
		return reachDown
	}
	return reachOpen
}

// delay returns the time before a request is carried out.
func (f *faults) delay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.knobs.DelayMs) * time.Millisecond
}

// losesAnswer decides whether the answer to a change that took effect is lost.
func (f *faults) losesAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.knobs.LoseNext > 0 {
		f.knobs.LoseNext--
		return true
	}
	return f.knobs.LoseProbability > 0 && f.random.Float64() < f.knobs.LoseProbability
}

// reachability is what becomes of a request.
type reachability int

const (
	// reachOpen lets the request through.
	reachOpen reachability = iota
	// reachDown drops the connection.
	reachDown
	// reachCut leaves the request without an answer.
	reachCut
)

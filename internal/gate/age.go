package gate

import (
	"sync"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/observer"
)

// ageSamples is the number of primary positions that are kept.
const ageSamples = 512

// ageTracker bounds the age of a replica by samples of the primary's position.
type ageTracker struct {
	mu      sync.Mutex
	samples []ageSample
}

// ageSample says that the log of the group ended at a position when it was asked for.
type ageSample struct {
	asked    time.Time
	position api.Position
}

func newAgeTracker() *ageTracker {
	return &ageTracker{}
}

// note takes in an answer of the primary of a term.
func (a *ageTracker) note(seen observer.Observation, term uint64) {
	position := seen.Status.LogPosition()
	if seen.Asked.IsZero() || position.Term != term {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if last := len(a.samples) - 1; last >= 0 && !seen.Asked.After(a.samples[last].asked) {
		return
	}
	if len(a.samples) == ageSamples {
		a.samples = append(a.samples[:0], a.samples[1:]...)
	}
	a.samples = append(a.samples, ageSample{asked: seen.Asked, position: position})
}

// bound returns the bound on the age of data at the applied position; negative when unknown.
func (a *ageTracker) bound(applied api.Position, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := len(a.samples) - 1; i >= 0; i-- {
		if applied.Compare(a.samples[i].position) >= 0 {
			return now.Sub(a.samples[i].asked)
		}
	}
	return -1
}

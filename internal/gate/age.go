package gate

import (
	"sync"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/observer"
	"github.com/papayacove/papayacove/internal/policy/confirm"
	"github.com/papayacove/papayacove/internal/policy/staleness"
)

// lagResolution is how much the known lag of a replica may exceed its lag: the positions of primary
// and replica are each asked for at intervals of 100 ms.
const lagResolution = 200 * time.Millisecond

// ageSamples is the number of primary positions that are kept.
const ageSamples = 512

// ageTracker bounds the age of the data of a target by samples of the primary's position.
type ageTracker struct {
	confirmer *confirmer

	mu      sync.Mutex
	history *staleness.History
}

func newAgeTracker(c *confirmer) *ageTracker {
	return &ageTracker{confirmer: c, history: staleness.NewHistory(ageSamples)}
}

// note takes in the newest answer of the primary of a term. It counts once a majority is known to
// have followed the term when it was asked for, since a replaced primary says nothing about age.
func (a *ageTracker) note(seen observer.Observation, current api.GroupTerm) {
	if seen.Asked.IsZero() || seen.Status.LogTerm != current.Term {
		return
	}
	backed := false
	a.confirmer.at(current, func(t *confirm.Tracker) { backed = t.IsBacked(seen.Asked) })
	if !backed {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.history.Add(staleness.Sample{AskedAt: seen.Asked, Position: seen.Status.LogPosition()})
}

// bound returns the bound on the age of data at the applied position.
func (a *ageTracker) bound(applied api.Position, now time.Time) staleness.Bound {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.history.Bound(applied, now)
}

// ageOf returns a bound as a duration; negative when it is unknown.
func ageOf(bound staleness.Bound) time.Duration {
	if !bound.Known {
		return -1
	}
	return bound.Age
}

// certainLag bounds the age of data and states the least lag that the replica has for certain, so
// that a read is not sent on from a replica that has what it needs in a moment.
func (g *Gate) certainLag(applied api.Position) staleness.Bound {
	bound := g.age.bound(applied, time.Now())
	bound.Lag = max(bound.Lag-lagResolution, 0)
	return bound
}

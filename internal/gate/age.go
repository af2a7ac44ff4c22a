package gate

import (
	"sync"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/observer"
	"github.com/papayacove/papayacove/internal/policy/confirm"
	"github.com/papayacove/papayacove/internal/policy/staleness"
)

// lagResolution is the largest amount by which the measured lag of a replica may exceed its real lag: the
// positions of the primary and of the replica are each polled every 100 ms.
const lagResolution = 200 * time.Millisecond

// ageSamples is the number of samples of the primary's position that are kept.
const ageSamples = 512

// ageTracker computes an upper bound on the age of a target's data from samples of the primary's position. It is
// safe for concurrent use.
type ageTracker struct {
	confirmer *confirmer

	mu      sync.Mutex
	history *staleness.History
}

func newAgeTracker(c *confirmer) *ageTracker {
	return &ageTracker{confirmer: c, history: staleness.NewHistory(ageSamples)}
}

// recordPrimary adds a sample from the newest status of the primary of a term. The status is ignored unless a
// majority is known to have followed the term when it was requested, because the position of a replaced primary
// gives no bound on age.
func (a *ageTracker) recordPrimary(observation observer.Observation, current api.GroupTerm) {
	if observation.AskedAt.IsZero() || observation.Status.LogTerm != current.Term {
		return
	}
	hasMajority := false
	a.confirmer.withTracker(current, func(t *confirm.Tracker) { hasMajority = t.HasMajority(observation.AskedAt) })
	if !hasMajority {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.history.Add(staleness.Sample{AskedAt: observation.AskedAt, Position: observation.Status.LogPosition()})
}

// bound returns the upper bound, as of now, on the age of data at the applied position.
func (a *ageTracker) bound(applied api.Position, now time.Time) staleness.Bound {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.history.Bound(applied, now)
}

// ageOf converts a bound to a duration; the result is negative when the bound is unknown.
func ageOf(bound staleness.Bound) time.Duration {
	if !bound.Known {
		return -1
	}
	return bound.Age
}

// certainLag returns the bound on the age of data at the applied position, with the lag reduced to the least that
// the replica certainly has. Without the reduction, reads would be refused by a replica that is about to apply
// what they need.
func (g *Gate) certainLag(applied api.Position) staleness.Bound {
	bound := g.age.bound(applied, time.Now())
	bound.Lag = max(bound.Lag-lagResolution, 0)
	return bound
}

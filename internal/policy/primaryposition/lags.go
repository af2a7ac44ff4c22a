package primaryposition

import (
	"slices"
	"time"

	"github.com/papayacove/papayacove/api"
)

const (
	// keptLags bounds the lags that are kept of one replica.
	keptLags = 32
	// lagValidity is the time for which a lag counts.
	lagValidity = 3 * time.Second
	// maxSampleAge is the age of the newest sample from which on it tells nothing of the lag.
	maxSampleAge = 100 * time.Millisecond
	// leastLags is the number of lags from which on their distribution is known.
	leastLags = 8
	// lagPercent is the part of the lags, in percent, that the expected one is not below. A read that finds the replica
	// behind costs a round trip; one that goes to the primary instead costs a slot of the primary.
	lagPercent = 75
)

type observedLag struct {
	lag, at time.Duration
}

// Lags are the lags of one replica that were observed lately. The load that this answers is a replica whose lag varies:
// small for most of the time, many times that for a while. Times are of a clock that includes suspended time. The zero
// value is empty. It is not safe for concurrent use.
type Lags struct {
	kept []observedLag
}

// Add records a lag that was observed at the time now.
func (l *Lags) Add(lag, now time.Duration) {
	if len(l.kept) == keptLags {
		l.kept = append(l.kept[:0], l.kept[1:]...)
	}
	l.kept = append(l.kept, observedLag{lag, now})
}

// Expected returns the lag that the replica is expected to have at most; false when too few were observed lately. The
// latest one counts if it is longer: a replica that falls behind is not expected to have caught up.
func (l *Lags) Expected(now time.Duration) (time.Duration, bool) {
	var lags []time.Duration
	for _, k := range l.kept {
		if now-k.at < lagValidity {
			lags = append(lags, k.lag)
		}
	}
	if len(lags) < leastLags {
		return 0, false
	}
	latest := lags[len(lags)-1]
	slices.Sort(lags)
	return max(latest, lags[(len(lags)-1)*lagPercent/100]), true
}

// LagOf returns how far a replica was behind the primary whose log ended at applied, at the time appliedAt; false when the
// samples do not show it. A replica that has all that is known is behind at most by the age of the newest sample.
func (s *Samples) LagOf(applied api.Position, appliedAt time.Duration) (time.Duration, bool) {
	if passed, ok := s.passedAt(applied); ok {
		return max(0, appliedAt-passed), true
	}
	if len(s.kept) == 0 {
		return 0, false
	}
	age := appliedAt - s.kept[len(s.kept)-1].AskedAt
	return max(0, age), age < maxSampleAge
}

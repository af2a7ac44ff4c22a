// Package floor finds the log position that a read with an allowed age must not fall behind.
//
// A sample is the position of the primary, asked for at some time while it surely led. It covers
// every commit that was acknowledged before that time.
package floor

import (
	"time"

	"github.com/papayacove/papayacove/api"
)

const (
	// sampleSpacing is the least time between two kept samples; it bounds their number.
	sampleSpacing = 25 * time.Millisecond
	// maxSamples bounds the memory of a group: 10 s of samples.
	maxSamples = 400
)

type sample struct {
	askedAt  time.Duration
	position api.Position
}

// Samples are the positions of a group's primary over the last seconds, oldest first. Times are of
// a clock that counts suspended time. The zero value is empty. It is not safe for concurrent use.
type Samples struct {
	kept []sample
}

// Add takes in a position that the primary told when asked at askedAt. The primary must have led
// at that time.
func (s *Samples) Add(askedAt time.Duration, position api.Position) {
	if n := len(s.kept); n > 0 && askedAt < s.kept[n-1].askedAt+sampleSpacing {
		return
	}
	if len(s.kept) >= maxSamples {
		s.kept = append(s.kept[:0], s.kept[1:]...)
	}
	s.kept = append(s.kept, sample{askedAt, position})
}

// Oldest returns the oldest sample that was asked for no earlier than since, and drops the ones
// before dropBefore. False means that there is none.
func (s *Samples) Oldest(since, dropBefore time.Duration) (api.Position, bool) {
	drop := 0
	for drop < len(s.kept) && s.kept[drop].askedAt < dropBefore {
		drop++
	}
	if drop > 0 {
		s.kept = append(s.kept[:0], s.kept[drop:]...)
	}
	for _, k := range s.kept {
		if k.askedAt >= since {
			return k.position, true
		}
	}
	return api.Position{}, false
}

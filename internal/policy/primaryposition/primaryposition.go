// Package primaryposition keeps samples of the position of a group's primary and finds in them the minimum position of
// a read with an allowed age.
//
// A sample is the position of a target, requested at a time at which it was certainly the primary. Every commit that
// was acknowledged before that time is at or before the sample.
package primaryposition

import (
	"sort"
	"time"

	"github.com/papayacove/papayacove/api"
)

const (
	// sampleInterval is the minimum time between two kept samples; it bounds their number.
	sampleInterval = 25 * time.Millisecond
	// maxSamples bounds the memory of a group; at sampleInterval it covers 10 s.
	maxSamples = 400
)

// SourceKind is what the position of a sample was read in.
type SourceKind uint8

// What positions are read in.
const (
	// OfReply is the primary's reply to a statement.
	OfReply SourceKind = iota
	// OfStatus is the primary's answer to a status call.
	OfStatus
)

var sourceNames = [...]string{OfReply: "reply", OfStatus: "status"}

// String returns the name of the kind in logs.
func (k SourceKind) String() string { return sourceNames[k] }

// Source is where a sample comes from.
type Source struct {
	Kind SourceKind
	// Target is the name of the target that reported the position.
	Target string
}

// Sample is a position that covers every commit acknowledged before AskedAt.
type Sample struct {
	api.Position
	// AskedAt is the time of the request that the position was reported to.
	AskedAt time.Duration
	Source  Source
}

// Samples holds the positions of a group's primary over the last seconds, oldest first. Times are of
// a clock that includes suspended time. The zero value is empty. It is not safe for concurrent use.
type Samples struct {
	kept []Sample
}

// Add records the position that the source reported to a request sent at askedAt. A target must have been the primary
// at that time. A sample less than sampleInterval after the newest one is dropped.
func (s *Samples) Add(askedAt time.Duration, position api.Position, source Source) {
	if n := len(s.kept); n > 0 && askedAt < s.kept[n-1].AskedAt+sampleInterval {
		return
	}
	if len(s.kept) >= maxSamples {
		s.kept = append(s.kept[:0], s.kept[1:]...)
	}
	s.kept = append(s.kept, Sample{Position: position, AskedAt: askedAt, Source: source})
}

// Oldest drops the samples requested before dropBefore, and returns the oldest one that was requested at or after
// since; false if there is none.
func (s *Samples) Oldest(since, dropBefore time.Duration) (Sample, bool) {
	drop := 0
	for drop < len(s.kept) && s.kept[drop].AskedAt < dropBefore {
		drop++
	}
	if drop > 0 {
		s.kept = append(s.kept[:0], s.kept[drop:]...)
	}
	for _, k := range s.kept {
		if k.AskedAt >= since {
			return k, true
		}
	}
	return Sample{}, false
}

// reachedAt returns the time at which the primary was first known to have reached a position; false when no sample
// shows it.
func (s *Samples) reachedAt(position api.Position) (time.Duration, bool) {
	i := sort.Search(len(s.kept), func(i int) bool { return s.kept[i].Compare(position) >= 0 })
	if i == len(s.kept) {
		return 0, false
	}
	return s.kept[i].AskedAt, true
}

// passedAt returns the time at which the primary was first known to be beyond a position; false when no sample shows it.
func (s *Samples) passedAt(position api.Position) (time.Duration, bool) {
	i := sort.Search(len(s.kept), func(i int) bool { return s.kept[i].Compare(position) > 0 })
	if i == len(s.kept) {
		return 0, false
	}
	return s.kept[i].AskedAt, true
}

// ExpectedAt returns the time at which a replica is expected to hold the position wanted, if it stays as far behind the
// primary as it was when its log ended at applied, at the time appliedAt.
func (s *Samples) ExpectedAt(wanted, applied api.Position, appliedAt, now time.Duration) time.Duration {
	if applied.Compare(wanted) >= 0 {
		return appliedAt
	}
	lag := time.Duration(0)
	if passed, ok := s.passedAt(applied); ok {
		lag = max(0, appliedAt-passed)
	}
	reached, ok := s.reachedAt(wanted)
	if !ok {
		reached = now
	}
	return reached + lag
}

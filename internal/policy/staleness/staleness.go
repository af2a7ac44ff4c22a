// Package staleness bounds the age of the data of a replica from samples of its primary.
//
// A sample states that the log of the primary ended at a position at or after the time of the
// request for it. A replica that has applied that position holds all data that the primary held at
// the time of the request, so its data is at most as old as the sample. The bound never
// underestimates the age, whatever the network delays.
package staleness

import (
	"sort"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/sirupsen/logrus"
)

// DefaultCapacity is the number of samples that a History keeps.
const DefaultCapacity = 128

// Sample is the end of the log of a primary at a time.
//
// The caller takes samples only of a primary that a majority of its group backed at AskedAt
// (confirm.Tracker.HasMajority): the log of a replaced primary does not bound the age of data.
type Sample struct {
	// AskedAt is the monotonic time at which the request to the primary was sent.
	AskedAt  time.Time
	Position api.Position
}

// Reason says what a Bound is based on.
type Reason string

// The reasons of a Bound.
const (
	ReasonSample    Reason = "sample_applied"
	ReasonNoSamples Reason = "no_samples"
	ReasonBehindAll Reason = "behind_all_samples"
)

// Bound is an upper bound on the age of the data at a position.
type Bound struct {
	Known bool
	// Age is the bound; meaningful only if Known is true.
	Age time.Duration
	// Lag is the time from the newest applied sample to the newest sample. Unlike Age it does not grow
	// between two samples, so it estimates how long the replica takes to catch up.
	Lag     time.Duration
	Reason  Reason
	Applied api.Position
	Sampled api.Position
	Samples int
}

// Fields returns the fields of the log line of the bound.
func (b Bound) Fields() logrus.Fields {
	return logrus.Fields{
		logfield.Known:   b.Known,
		logfield.Age:     b.Age,
		logfield.Lag:     b.Lag,
		logfield.Reason:  string(b.Reason),
		logfield.Applied: b.Applied.String(),
		logfield.Sampled: b.Sampled.String(),
		logfield.Samples: b.Samples,
	}
}

// History is a bounded list of the samples of a group. It is not safe for concurrent use.
type History struct {
	capacity int
	// samples are in ascending order of both AskedAt and Position.
	samples []Sample
}

// NewHistory returns an empty History for capacity samples, at least minCapacity; 0 means DefaultCapacity.
func NewHistory(capacity int) *History {
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	capacity = max(capacity, minCapacity)
	return &History{capacity: capacity, samples: make([]Sample, 0, capacity)}
}

// minCapacity is the smallest capacity at which thin removes a sample.
const minCapacity = 4

// Add records a sample and reports whether it was kept. A sample that was requested before the newest
// one, or that precedes it in the log, is delayed or from a replaced primary and is dropped. Samples
// of earlier terms are kept: positions are ordered across terms.
func (h *History) Add(s Sample) bool {
	if len(h.samples) == 0 {
		h.samples = append(h.samples, s)
		return true
	}
	newest := &h.samples[len(h.samples)-1]
	order := s.Position.Compare(newest.Position)
	switch {
	case order < 0, s.AskedAt.Before(newest.AskedAt):
		return false
	case order == 0:
		newest.AskedAt = s.AskedAt
		return true
	}
	if len(h.samples) == h.capacity {
		h.thin()
	}
	h.samples = append(h.samples, s)
	return true
}

// thin drops every other sample of the older half. High ages become coarser but never too low, and
// the history reaches further back than its capacity times the sampling interval.
func (h *History) thin() {
	half := len(h.samples) / 2
	kept := h.samples[:0]
	for i, s := range h.samples {
		if i >= half || i%2 == 0 {
			kept = append(kept, s)
		}
	}
	h.samples = kept
}

// Bound returns the bound on the age, at now, of the data of a replica that has applied the given position.
func (h *History) Bound(applied api.Position, now time.Time) Bound {
	b := Bound{Applied: applied, Samples: len(h.samples), Reason: ReasonNoSamples}
	if len(h.samples) == 0 {
		return b
	}
	beyond := sort.Search(len(h.samples), func(i int) bool {
		return h.samples[i].Position.Compare(applied) > 0
	})
	if beyond == 0 {
		b.Reason = ReasonBehindAll
		return b
	}
	s := h.samples[beyond-1]
	b.Known = true
	b.Age = now.Sub(s.AskedAt)
	b.Lag = h.samples[len(h.samples)-1].AskedAt.Sub(s.AskedAt)
	b.Reason = ReasonSample
	b.Sampled = s.Position
	return b
}

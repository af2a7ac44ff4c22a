package bench

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// shortestLatency and longestLatency are the limits of recorded durations, in microseconds.
	shortestLatency = 1
	longestLatency  = 60_000_000
	// latencyDigits is the number of significant decimal digits of recorded durations.
	latencyDigits = 3
)

// latencies is a histogram of durations. It is safe for concurrent use.
type latencies struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{histogram: hdrhistogram.New(shortestLatency, longestLatency, latencyDigits)}
}

// record adds a duration. Those outside the limits are recorded as the nearest limit.
func (l *latencies) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.histogram.RecordValue(min(max(d.Microseconds(), shortestLatency), longestLatency))
}

// percentile returns the recorded duration at a percentile from 0 to 100.
func (l *latencies) percentile(percentile float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.histogram.ValueAtQuantile(percentile)) * time.Microsecond
}

// highest returns the longest recorded duration.
func (l *latencies) highest() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.histogram.Max()) * time.Microsecond
}

// count returns the number of recorded durations.
func (l *latencies) count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.histogram.TotalCount()
}

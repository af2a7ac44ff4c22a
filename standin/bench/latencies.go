package bench

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// shortestLatency and longestLatency bound what is recorded, in microseconds.
	shortestLatency = 1
	longestLatency  = 60_000_000
	// latencyDigits is the number of significant digits that are kept.
	latencyDigits = 3
)

// latencies records durations. It is safe for concurrent use.
type latencies struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{histogram: hdrhistogram.New(shortestLatency, longestLatency, latencyDigits)}
}

func (l *latencies) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.histogram.RecordValue(min(max(d.Microseconds(), shortestLatency), longestLatency))
}

// at returns the duration at a percentile.
func (l *latencies) at(percentile float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.histogram.ValueAtQuantile(percentile)) * time.Microsecond
}

func (l *latencies) highest() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.histogram.Max()) * time.Microsecond
}

func (l *latencies) count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.histogram.TotalCount()
}

package telemetry

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyPeriod is the time for which a histogram is filled; the last two are reported.
	latencyPeriod = time.Minute
	// maxLatency is the largest time that is told apart.
	maxLatency = time.Minute
	// latencyDigits is the number of significant digits of a percentile.
	latencyDigits = 2
)

// LatencyKey names what a histogram is about.
type LatencyKey struct {
	Workspace string
	Group     string
	// Decision is what was decided about the statement: read, write or transaction.
	Decision string
}

// LatencySummary is the distribution of statement times of one key.
type LatencySummary struct {
	Workspace string `json:"workspace"`
	Group     string `json:"group"`
	Decision  string `json:"decision"`
	Count     int64  `json:"count"`
	P50Us     int64  `json:"p50_us"`
	P90Us     int64  `json:"p90_us"`
	P99Us     int64  `json:"p99_us"`
	MaxUs     int64  `json:"max_us"`
}

type histograms map[LatencyKey]*hdrhistogram.Histogram

// Latencies keeps statement times of the last one to two minutes. Keys without statements in that
// time take no memory.
type Latencies struct {
	mu       sync.Mutex
	since    time.Time
	current  histograms
	previous histograms
}

// StatementLatencies are those of this process, published as the expvar variable "latency".
var StatementLatencies = publishLatencies()

func publishLatencies() *Latencies {
	latencies := NewLatencies()
	expvar.Publish("latency", expvar.Func(func() any { return latencies.Summaries(time.Now()) }))
	return latencies
}

// NewLatencies returns an empty set.
func NewLatencies() *Latencies {
	return &Latencies{current: make(histograms), previous: make(histograms)}
}

// Record takes in the time that a statement took.
func (l *Latencies) Record(key LatencyKey, taken time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	histogram, ok := l.current[key]
	if !ok {
		histogram = newHistogram()
		l.current[key] = histogram
	}
	// The value is clamped to the range, so that it is always taken.
	_ = histogram.RecordValue(min(max(taken, time.Microsecond), maxLatency).Microseconds())
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
}

// rotate begins a new period when the last one has passed. The caller holds the lock.
func (l *Latencies) rotate(now time.Time) {
	passed := now.Sub(l.since)
	if passed < latencyPeriod {
		return
	}
	l.previous = l.current
	if passed >= 2*latencyPeriod {
		l.previous = make(histograms)
	}
	l.current, l.since = make(histograms), now
}

// Summaries returns the percentiles of each key.
func (l *Latencies) Summaries(now time.Time) []LatencySummary {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	merged := make(histograms)
	for _, period := range []histograms{l.previous, l.current} {
		for key, histogram := range period {
			if merged[key] == nil {
				merged[key] = newHistogram()
			}
			merged[key].Merge(histogram)
		}
	}
	summaries := make([]LatencySummary, 0, len(merged))
	for key, histogram := range merged {
		summaries = append(summaries, summarize(key, histogram))
	}
	return summaries
}

func summarize(key LatencyKey, histogram *hdrhistogram.Histogram) LatencySummary {
	return LatencySummary{
		Workspace: key.Workspace, Group: key.Group, Decision: key.Decision, Count: histogram.TotalCount(),
		P50Us: histogram.ValueAtQuantile(50), P90Us: histogram.ValueAtQuantile(90), P99Us: histogram.ValueAtQuantile(99),
		MaxUs: histogram.Max(),
	}
}

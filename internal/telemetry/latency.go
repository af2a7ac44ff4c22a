package telemetry

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyPeriod is the time that one histogram covers. Summaries merge the current and the previous one.
	latencyPeriod = time.Minute
	// maxLatency is the upper end of the histograms. Longer times are recorded as this value.
	maxLatency = time.Minute
	// latencyDigits is the number of significant decimal digits of a recorded time.
	latencyDigits = 2
)

// LatencyKey identifies the statements that share a histogram.
type LatencyKey struct {
	Workspace string
	Group     string
	// Decision is how the statement was routed: read, write or transaction.
	Decision string
}

// LatencySummary is the distribution of the statement times of one key, in microseconds.
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

// Latencies keeps the statement times of the last one to two minutes. Keys without statements in
// that time use no memory. It is safe for concurrent use.
type Latencies struct {
	mu       sync.Mutex
	since    time.Time
	current  histograms
	previous histograms
}

// StatementLatencies are the statement times of this process, published as the expvar variable "latency".
var StatementLatencies = publishLatencies()

func publishLatencies() *Latencies {
	latencies := NewLatencies()
	expvar.Publish("latency", expvar.Func(func() any { return latencies.Summaries(time.Now()) }))
	return latencies
}

// NewLatencies returns Latencies without recorded times.
func NewLatencies() *Latencies {
	return &Latencies{current: make(histograms), previous: make(histograms)}
}

// Record adds the duration of a statement. Values outside the range 1 µs to maxLatency are clamped to it.
func (l *Latencies) Record(key LatencyKey, elapsed time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	histogram, ok := l.current[key]
	if !ok {
		histogram = newHistogram()
		l.current[key] = histogram
	}
	// RecordValue fails only for values out of range, and the value is clamped.
	_ = histogram.RecordValue(min(max(elapsed, time.Microsecond), maxLatency).Microseconds())
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
}

// rotate begins a new period when the current one has ended. The caller must hold l.mu.
func (l *Latencies) rotate(now time.Time) {
	elapsed := now.Sub(l.since)
	if elapsed < latencyPeriod {
		return
	}
	l.previous = l.current
	if elapsed >= 2*latencyPeriod {
		l.previous = make(histograms)
	}
	l.current, l.since = make(histograms), now
}

// Summaries returns the percentiles of each key for the current and the previous period, in no particular order.
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

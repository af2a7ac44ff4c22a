package telemetry

import (
	"testing"
	"time"
)

func TestLatenciesOfTheLastPeriods(t *testing.T) {
	l := NewLatencies()
	began := time.Unix(1_000_000, 0)
	key := LatencyKey{Workspace: "kelani", Group: "rounds-db-1", Decision: "read"}
	for i := 1; i <= 100; i++ {
		l.Record(key, time.Duration(i)*time.Millisecond, began)
	}
	l.Record(key, time.Hour, began.Add(latencyPeriod))
	summaries := l.Summaries(began.Add(latencyPeriod))
	if len(summaries) != 1 || summaries[0].Count != 101 {
		t.Fatalf("after 101 statements of one key: got summaries %+v, want one with count 101", summaries)
	}
	got := summaries[0]
	if got.P50Us < 50_000 || got.P50Us > 52_000 || got.P99Us < 99_000 || got.P99Us > 101_000 || got.MaxUs < maxLatency.Microseconds() {
		t.Errorf("got percentiles %+v, want p50 near 50 ms, p99 near 100 ms and the maximum at the upper end", got)
	}
	if late := l.Summaries(began.Add(2 * latencyPeriod)); len(late) != 1 || late[0].Count != 1 {
		t.Errorf("one period later: got summaries %+v, want one with count 1", late)
	}
	if none := l.Summaries(began.Add(5 * latencyPeriod)); len(none) != 0 {
		t.Errorf("after periods without statements: got summaries %+v, want none", none)
	}
}

// BenchmarkLatencyRecord measures the cost of recording one statement.
func BenchmarkLatencyRecord(b *testing.B) {
	l := NewLatencies()
	now := time.Unix(1_000_000, 0)
	b.ReportAllocs()
	for b.Loop() {
		l.Record(LatencyKey{Workspace: "kelani", Group: "rounds-db-1", Decision: "read"}, 3*time.Millisecond, now)
	}
}

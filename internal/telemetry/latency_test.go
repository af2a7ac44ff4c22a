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
		t.Fatalf("summaries = %+v", summaries)
	}
	got := summaries[0]
	if got.P50Us < 50_000 || got.P50Us > 52_000 || got.P99Us < 99_000 || got.P99Us > 101_000 || got.MaxUs < maxLatency.Microseconds() {
		t.Errorf("percentiles = %+v", got)
	}
	if late := l.Summaries(began.Add(2 * latencyPeriod)); len(late) != 1 || late[0].Count != 1 {
		t.Errorf("a period later: %+v", late)
	}
	if none := l.Summaries(began.Add(5 * latencyPeriod)); len(none) != 0 {
		t.Errorf("after a pause: %+v", none)
	}
}

// BenchmarkLatencyRecord is the cost of one measured statement.
func BenchmarkLatencyRecord(b *testing.B) {
	l := NewLatencies()
	now := time.Unix(1_000_000, 0)
	b.ReportAllocs()
	for b.Loop() {
		l.Record(LatencyKey{Workspace: "kelani", Group: "rounds-db-1", Decision: "read"}, 3*time.Millisecond, now)
	}
}

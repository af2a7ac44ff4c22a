package engine

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/internal/telemetry"
)

// benchmarkRequest returns a request of an engine whose target answers at once. The log is formatted as in the
// daemon and discarded.
func benchmarkRequest(b *testing.B) *request {
	b.Helper()
	output := telemetry.NewOutput(discardWriter{})
	logrus.SetOutput(output)
	e := newTestEngine(&fakeTarget{})
	s := newSession(e, &scriptedCaller{}, "d", "s1", callers.Identity{})
	r, refusal := s.request(Statement{ID: "5c0e7a21d94b36f8", Op: OpRead, Text: "READ 1a4"}, OpRead, time.Now())
	if refusal != nil {
		b.Fatal(refusal.Reason)
	}
	return r
}

type discardWriter struct{}

func (discardWriter) Write(data []byte) (int, error) { return len(data), nil }

// BenchmarkStatement measures a read through the engine without a network.
func BenchmarkStatement(b *testing.B) {
	r := benchmarkRequest(b)
	for b.Loop() {
		r.attempts, r.arrived, r.arrivedBoot = 0, time.Now(), clock.SinceBoot()
		if _, refusal := r.read(); refusal != nil {
			b.Fatal(refusal.Reason)
		}
	}
}

// BenchmarkServedLine measures the cost of the log and the metrics for a statement that is served.
func BenchmarkServedLine(b *testing.B) {
	r := benchmarkRequest(b)
	r.attempts = 1
	for b.Loop() {
		r.logServed("read")
	}
}

// BenchmarkRefusedLine measures the cost of the log and the metrics for a statement that is refused. Most log lines
// exceed the limit per second and are not written.
func BenchmarkRefusedLine(b *testing.B) {
	r := benchmarkRequest(b)
	refusal := refuse(result.NotRunOverloaded, "queue_full")
	for b.Loop() {
		r.session.logRefusal(r.statement, refusal, time.Now())
	}
}

// BenchmarkWrittenLine measures one log line that is written.
func BenchmarkWrittenLine(b *testing.B) {
	r := benchmarkRequest(b)
	for b.Loop() {
		r.session.log(r.statement).WithFields(r.session.engine.groupFields("d")).Info("statement_refused")
	}
}

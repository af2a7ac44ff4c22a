package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// stalledWriter blocks writes until open is closed.
type stalledWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (w *stalledWriter) Write(data []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(data)
}

func (w *stalledWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.String()
}

// TestStalledOutputDoesNotBlockLogging writes more lines than the queue holds while the writer blocks, and then
// unblocks the writer.
func TestStalledOutputDoesNotBlockLogging(t *testing.T) {
	w := &stalledWriter{open: make(chan struct{})}
	o := NewOutput(w)
	const lines = 3 * outputLines
	for i := range lines {
		if n, err := fmt.Fprintf(o, "line %d\n", i); err != nil || n == 0 {
			t.Fatal(n, err)
		}
	}
	close(w.open)
	o.Flush(time.Minute)
	text := w.String()
	if !strings.Contains(text, "line 0\n") || !strings.Contains(text, "msg=log_lines_dropped lines=") {
		t.Errorf("got %d bytes that lack the first line or the number of dropped lines", len(text))
	}
	written := strings.Count(text, "line ")
	if written >= lines || written < outputLines {
		t.Errorf("got %d of %d lines written, want at least the queue length and fewer than all", written, lines)
	}
}

func TestLimiterLimitsEachKindPerSecond(t *testing.T) {
	l := NewLimiter()
	now := time.Unix(1_000_000, 0)
	allowed := map[string]int{}
	for range 10 * linesPerSecond {
		for _, kind := range []string{"refused", "failed"} {
			if l.Allow(kind, now) {
				allowed[kind]++
			}
		}
	}
	if allowed["refused"] != linesPerSecond || allowed["failed"] != linesPerSecond {
		t.Errorf("got allowed lines in one second by kind %v, want linesPerSecond of each", allowed)
	}
	if !l.Allow("refused", now.Add(time.Second)) {
		t.Error("first line of the next second: got refused, want allowed")
	}
}

package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// stalledWriter blocks until it is opened.
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

// TestStalledOutputBlocksNobody writes more lines than fit while nothing is read, and then lets the reader go on.
func TestStalledOutputBlocksNobody(t *testing.T) {
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
		t.Errorf("%d bytes without the first line or without the number of dropped ones", len(text))
	}
	written := strings.Count(text, "line ")
	if written >= lines || written < outputLines {
		t.Errorf("%d of %d lines were written", written, lines)
	}
}

func TestLimiterLetsSomeLinesOfEachKindPass(t *testing.T) {
	l := NewLimiter()
	now := time.Unix(1_000_000, 0)
	passed := map[string]int{}
	for range 10 * linesPerSecond {
		for _, kind := range []string{"refused", "failed"} {
			if l.Allow(kind, now) {
				passed[kind]++
			}
		}
	}
	if passed["refused"] != linesPerSecond || passed["failed"] != linesPerSecond {
		t.Errorf("passed in a second: %v", passed)
	}
	if !l.Allow("refused", now.Add(time.Second)) {
		t.Error("the next second lets nothing pass")
	}
}

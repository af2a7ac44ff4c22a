package telemetry

import (
	"expvar"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// outputLines bounds the log lines that wait to be written.
const outputLines = 4096

// droppedLines counts the log lines that did not fit.
var droppedLines = expvar.NewInt("log_lines_dropped")

// Output writes log lines without ever blocking the one who logs. Lines that do not fit are counted, and one
// line says how many.
type Output struct {
	lines   chan []byte
	flush   chan chan struct{}
	dropped atomic.Int64
}

// NewOutput returns an output that writes to w.
func NewOutput(w io.Writer) *Output {
	o := &Output{lines: make(chan []byte, outputLines), flush: make(chan chan struct{})}
	go o.run(w)
	return o
}

// Write takes in one line.
func (o *Output) Write(line []byte) (int, error) {
	select {
	case o.lines <- append([]byte(nil), line...):
	default:
		o.dropped.Add(1)
		droppedLines.Add(1)
	}
	return len(line), nil
}

func (o *Output) run(w io.Writer) {
	for {
		select {
		case line := <-o.lines:
			o.write(w, line)
		case done := <-o.flush:
			for len(o.lines) > 0 {
				o.write(w, <-o.lines)
			}
			close(done)
		}
	}
}

// maxBatchBytes bounds what is written at once.
const maxBatchBytes = 16 << 10

// write puts the waiting lines together, since each system call costs.
func (o *Output) write(w io.Writer, line []byte) {
	for len(line) < maxBatchBytes && len(o.lines) > 0 {
		line = append(line, <-o.lines...)
	}
	if n := o.dropped.Swap(0); n > 0 {
		line = fmt.Appendf(line, "time=%q level=warning msg=log_lines_dropped lines=%d\n", time.Now().Format(time.RFC3339Nano), n)
	}
	// A log that cannot be written has nowhere to say so.
	_, _ = w.Write(line)
}

// Flush waits until the lines so far are written, at most for the given time.
func (o *Output) Flush(within time.Duration) {
	done := make(chan struct{})
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case o.flush <- done:
	case <-timer.C:
		return
	}
	select {
	case <-done:
	case <-timer.C:
	}
}

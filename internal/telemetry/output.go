package telemetry

import (
	"expvar"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// outputLines is the number of log lines that can wait to be written.
const outputLines = 4096

// droppedLines counts the log lines that were dropped because the queue was full.
var droppedLines = expvar.NewInt("log_lines_dropped")

// Output queues log lines, which a goroutine writes, so that logging never blocks. Lines that do not fit into the queue
// are dropped, and the next write ends with a line that gives their number. It is safe for concurrent use.
type Output struct {
	lines   chan []byte
	flush   chan chan struct{}
	dropped atomic.Int64
}

// NewOutput returns an Output that writes to w. Its goroutine never ends.
func NewOutput(w io.Writer) *Output {
	o := &Output{lines: make(chan []byte, outputLines), flush: make(chan chan struct{})}
	go o.run(w)
	return o
}

// Write queues a copy of one line, or drops the line when the queue is full. It never fails.
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

// maxBatchBytes is the size at which no further lines are added to one write.
const maxBatchBytes = 16 << 10

// write writes line and the lines that wait behind it in one call, to save system calls.
func (o *Output) write(w io.Writer, line []byte) {
	for len(line) < maxBatchBytes && len(o.lines) > 0 {
		line = append(line, <-o.lines...)
	}
	if n := o.dropped.Swap(0); n > 0 {
		line = fmt.Appendf(line, "time=%q level=warning msg=log_lines_dropped lines=%d\n", time.Now().Format(time.RFC3339Nano), n)
	}
	// A failed write of the log cannot be logged.
	_, _ = w.Write(line)
}

// Flush waits until the lines queued so far are written, but at most for timeout.
func (o *Output) Flush(timeout time.Duration) {
	done := make(chan struct{})
	timer := time.NewTimer(timeout)
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

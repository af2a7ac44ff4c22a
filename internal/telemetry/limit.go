package telemetry

import (
	"expvar"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
)

// linesPerSecond is the number of log lines of one kind that are written per second. Further lines are dropped and
// counted.
const linesPerSecond = 50

// limitedLines counts the dropped lines by kind.
var limitedLines = expvar.NewMap("log_lines_limited")

// Limiter limits the log lines of each kind to linesPerSecond. It is safe for concurrent use.
type Limiter struct {
	mu     sync.Mutex
	second int64
	lines  map[string]int
}

// NewLimiter returns a Limiter that has not counted any lines.
func NewLimiter() *Limiter { return &Limiter{lines: make(map[string]int)} }

// Allow reports whether one more line of the kind may be written at the time now. On the first call in a later second
// it logs how many lines of each kind were dropped.
func (l *Limiter) Allow(kind string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.report()
		l.second = second
		clear(l.lines)
	}
	l.lines[kind]++
	if l.lines[kind] <= linesPerSecond {
		return true
	}
	limitedLines.Add(kind, 1)
	return false
}

// report logs the number of dropped lines by kind. The caller must hold l.mu.
func (l *Limiter) report() {
	for kind, lines := range l.lines {
		if lines > linesPerSecond {
			logrus.WithFields(logrus.Fields{logfield.Kind: kind, logfield.Lines: lines - linesPerSecond}).Info(logevent.LogLinesLeftOut)
		}
	}
}

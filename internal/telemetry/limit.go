package telemetry

import (
	"expvar"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
)

// linesPerSecond bounds the log lines of one kind in a second. The rest are counted.
const linesPerSecond = 50

// limitedLines counts the lines that were left out, by kind.
var limitedLines = expvar.NewMap("log_lines_limited")

// Limiter bounds the log lines of each kind in a second. It is safe for concurrent use.
type Limiter struct {
	mu     sync.Mutex
	second int64
	lines  map[string]int
}

// NewLimiter returns a limiter that has let nothing pass yet.
func NewLimiter() *Limiter { return &Limiter{lines: make(map[string]int)} }

// Allow reports whether one more line of the kind is written now. With the first line of a later second it logs
// how many lines of each kind were left out.
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

// report logs what was left out. The caller holds the lock.
func (l *Limiter) report() {
	for kind, lines := range l.lines {
		if lines > linesPerSecond {
			logrus.WithFields(logrus.Fields{logfield.Kind: kind, logfield.Lines: lines - linesPerSecond}).Info(logevent.LogLinesLeftOut)
		}
	}
}

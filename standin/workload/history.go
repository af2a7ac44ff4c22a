package workload

import (
	"fmt"
	"sync"
	"time"
)

// historyLimit is the number of events of a history that are kept for a report.
const historyLimit = 400

// write is one write of a crew lead and what the caller was told.
type write struct {
	outcome Outcome
	group   string
	key     string
	at      time.Time
	detail  string
}

// History collects what callers were told, and the violations that were found.
type History struct {
	mu         sync.Mutex
	writes     map[string]*write
	events     []string
	faults     []string
	Requests   int64
	Acked      int64
	NotRun     int64
	Unknown    int64
	Cut        int64
	StaleReads int64
	Violations []string
	gaps       map[string]time.Time
	// LongestGap is the longest time in which no write of a group was acknowledged.
	LongestGap time.Duration
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{writes: make(map[string]*write), gaps: make(map[string]time.Time)}
}

// Event notes something that happened to the fleet.
func (h *History) Event(format string, arguments ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.note(fmt.Sprintf(format, arguments...))
}

func (h *History) note(text string) {
	h.events = append(h.events, time.Now().Format("15:04:05.000 ")+text)
	if len(h.events) > historyLimit {
		h.events = h.events[len(h.events)-historyLimit:]
	}
}

// Fault notes a failure that was brought about or healed; all of them are kept.
func (h *History) Fault(format string, arguments ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	text := fmt.Sprintf(format, arguments...)
	h.faults = append(h.faults, time.Now().Format("15:04:05.000 ")+text)
	h.note(text)
}

// Events returns all faults and the newest events.
func (h *History) Events() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append(append([]string(nil), h.faults...), h.events...)
}

// Violate notes a violation of a promise.
func (h *History) Violate(format string, arguments ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	text := fmt.Sprintf(format, arguments...)
	h.Violations = append(h.Violations, text)
	h.note("VIOLATION " + text)
}

// stale notes a read that lacked what its session relies on.
func (h *History) stale(format string, arguments ...any) {
	h.Violate(format, arguments...)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.StaleReads++
}

// told notes the outcome of a write.
func (h *History) told(group, key string, outcome Outcome, err error, began time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Requests++
	detail := ""
	if err != nil {
		detail = err.Error()
	}
	h.writes[key] = &write{outcome: outcome, group: group, key: key, at: began, detail: detail}
	now := time.Now()
	switch outcome {
	case Acknowledged:
		h.Acked++
		if last, ok := h.gaps[group]; ok && now.Sub(last) > h.LongestGap {
			h.LongestGap = now.Sub(last)
		}
		h.gaps[group] = now
	case NotRun:
		h.NotRun++
	case Unknown:
		h.Unknown++
	case Cut:
		h.Cut++
	}
	if err != nil {
		h.note(fmt.Sprintf("%s %s after %v: %s", group, key, now.Sub(began).Round(time.Millisecond), detail))
	}
}

// request counts a request that writes nothing.
func (h *History) request() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Requests++
}

// Verdict is the comparison of the history with the databases.
type Verdict struct {
	Lost       int
	Duplicated int
	Mixed      int
	FalseNot   int
	Details    []string
}

// Compare checks the writes of a group against its rows: the number of rows by key, and of both
// parts of each transaction.
func (h *History) Compare(group string, rows map[string]int) Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	verdict := Verdict{}
	for key, told := range h.writes {
		if told.group == group {
			verdict.add(told, rows[key])
		}
	}
	return verdict
}

// rowsPerWrite is the number of rows that each write leaves; a transaction writes both.
const rowsPerWrite = 2

func (v *Verdict) add(told *write, rows int) {
	fault := ""
	switch {
	case rows > rowsPerWrite:
		v.Duplicated++
		fault = "duplicated"
	case rows != 0 && rows != rowsPerWrite:
		v.Mixed++
		fault = "mixed"
	case told.outcome == Acknowledged && rows == 0:
		v.Lost++
		fault = "lost"
	case told.outcome == NotRun && rows != 0:
		v.FalseNot++
		fault = "false_not_run"
	}
	if fault != "" {
		v.Details = append(v.Details, fmt.Sprintf("%s: %s of %s at %s, %d rows, told %d: %s",
			fault, told.key, told.group, told.at.Format("15:04:05.000"), rows, told.outcome, told.detail))
	}
}

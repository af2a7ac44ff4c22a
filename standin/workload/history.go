package workload

import (
	"fmt"
	"sync"
	"time"
)

// maxEvents is the number of newest events that a history keeps for a report.
const maxEvents = 400

// write is one write of a crew lead and its outcome.
type write struct {
	outcome Outcome
	group   string
	key     string
	// at is the time at which the write began.
	at time.Time
	// detail is the text of the error; empty for none.
	detail string
}

// History records the outcomes of writes, counts of requests, faults and events, and the violations that were found. Its
// methods may be called concurrently; its fields are to be read after the run.
type History struct {
	mu       sync.Mutex
	writes   map[string]*write
	events   []string
	faults   []string
	Requests int64
	Acked    int64
	NotRun   int64
	Unknown  int64
	// Cut counts the writes with the outcome Truncated. In a soak of the protocol lines, which has no such outcome, it
	// counts the writes whose connection failed before their result.
	Cut        int64
	StaleReads int64
	Violations []string
	// lastAcked is the time of the last acknowledged write of each group.
	lastAcked map[string]time.Time
	// LongestGap is the longest time without an acknowledged write in a group.
	LongestGap time.Duration
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{writes: make(map[string]*write), lastAcked: make(map[string]time.Time)}
}

// RecordEvent records an event. Only the newest maxEvents are kept.
func (h *History) RecordEvent(format string, arguments ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addEvent(fmt.Sprintf(format, arguments...))
}

// addEvent records an event for callers that hold mu.
func (h *History) addEvent(text string) {
	h.events = append(h.events, time.Now().Format("15:04:05.000 ")+text)
	if len(h.events) > maxEvents {
		h.events = h.events[len(h.events)-maxEvents:]
	}
}

// RecordFault records that a fault was injected or has ended. All of them are kept.
func (h *History) RecordFault(format string, arguments ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	text := fmt.Sprintf(format, arguments...)
	h.faults = append(h.faults, time.Now().Format("15:04:05.000 ")+text)
	h.addEvent(text)
}

// Events returns all faults, followed by the newest events, in which recent faults appear again.
func (h *History) Events() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append(append([]string(nil), h.faults...), h.events...)
}

// RecordViolation records a violation of a promise to a caller.
func (h *History) RecordViolation(format string, arguments ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	text := fmt.Sprintf(format, arguments...)
	h.Violations = append(h.Violations, text)
	h.addEvent("VIOLATION " + text)
}

// recordStaleRead records a violation by a read that was older than its caller may see.
func (h *History) recordStaleRead(format string, arguments ...any) {
	h.RecordViolation(format, arguments...)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.StaleReads++
}

// recordWrite records the outcome of a write that began at a time.
func (h *History) recordWrite(group, key string, outcome Outcome, err error, began time.Time) {
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
		if last, ok := h.lastAcked[group]; ok && now.Sub(last) > h.LongestGap {
			h.LongestGap = now.Sub(last)
		}
		h.lastAcked[group] = now
	case NotRun:
		h.NotRun++
	case Unknown:
		h.Unknown++
	case Truncated:
		h.Cut++
	}
	if err != nil {
		h.addEvent(fmt.Sprintf("%s %s after %v: %s", group, key, now.Sub(began).Round(time.Millisecond), detail))
	}
}

// countRequest counts a request that is not recorded as a write.
func (h *History) countRequest() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Requests++
}

// Verdict holds the numbers of writes whose rows contradict their outcomes, and details of them.
type Verdict struct {
	// Lost writes were acknowledged and are missing.
	Lost int
	// Duplicated writes have more rows than one execution leaves.
	Duplicated int
	// Mixed writes have a part of their rows.
	Mixed int
	// FalseNotRun writes were reported as not run and have rows.
	FalseNotRun int
	Details     []string
}

// Compare compares the writes of a group with its rows, which are given as the number of rows of each key. A write
// leaves rowsPerWrite rows, one for each of its parts.
func (h *History) Compare(group string, rows map[string]int) Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	verdict := Verdict{}
	for key, recorded := range h.writes {
		if recorded.group == group {
			verdict.add(recorded, rows[key])
		}
	}
	return verdict
}

// rowsPerWrite is the number of rows that each write leaves, in one statement or in a transaction of two.
const rowsPerWrite = 2

// add compares one write with the number of its rows.
func (v *Verdict) add(recorded *write, rows int) {
	fault := ""
	switch {
	case rows > rowsPerWrite:
		v.Duplicated++
		fault = "duplicated"
	case rows != 0 && rows != rowsPerWrite:
		v.Mixed++
		fault = "mixed"
	case recorded.outcome == Acknowledged && rows == 0:
		v.Lost++
		fault = "lost"
	case recorded.outcome == NotRun && rows != 0:
		v.FalseNotRun++
		fault = "false_not_run"
	}
	if fault != "" {
		v.Details = append(v.Details, fmt.Sprintf("%s: %s of %s at %s, %d rows, outcome %d: %s",
			fault, recorded.key, recorded.group, recorded.at.Format("15:04:05.000"), rows, recorded.outcome, recorded.detail))
	}
}

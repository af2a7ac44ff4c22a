// Package telemetry sets up the log and keeps the newest decisions for the operators' command.
package telemetry

import (
	"cmp"
	"fmt"
	"slices"
	"sync"

	"github.com/papayacove/papayacove/api"
	"github.com/sirupsen/logrus"
)

// recentDecisions is the number of decisions that a daemon keeps.
const recentDecisions = 4096

// SetUp makes the standard logger write one line of key=value pairs for each event.
func SetUp(level api.SettingsLogLevel, daemon string) (*Recorder, error) {
	parsed, err := logrus.ParseLevel(string(level))
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	logrus.SetLevel(parsed)
	logrus.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000000Z07:00"})
	recorder := NewRecorder(daemon)
	logrus.AddHook(recorder)
	return recorder, nil
}

// Recorder keeps the newest log events. It is a hook of the logger.
type Recorder struct {
	daemon string

	mu   sync.Mutex
	ring []record
	next int
}

// record keeps an event as it was logged; its fields are formatted when they are asked for.
type record struct {
	timeMs int64
	event  string
	data   logrus.Fields
}

// NewRecorder returns an empty recorder.
func NewRecorder(daemon string) *Recorder {
	return &Recorder{daemon: daemon, ring: make([]record, 0, recentDecisions)}
}

// Levels returns the levels of the events that are kept.
func (r *Recorder) Levels() []logrus.Level {
	return logrus.AllLevels
}

// Fire keeps an event.
func (r *Recorder) Fire(entry *logrus.Entry) error {
	kept := record{timeMs: entry.Time.UnixMilli(), event: entry.Message, data: entry.Data}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < recentDecisions {
		r.ring = append(r.ring, kept)
		return nil
	}
	r.ring[r.next] = kept
	r.next = (r.next + 1) % recentDecisions
	return nil
}

// Filter selects decisions; empty fields select all.
type Filter struct {
	Group   string
	Session string
	Event   string
	// Limit is the number of decisions, the newest ones; 0 for all.
	Limit int
}

// Decisions returns the kept events that pass the filter, oldest first.
func (r *Recorder) Decisions(filter Filter) []api.Decision {
	r.mu.Lock()
	ordered := append(slices.Clone(r.ring[r.next:]), r.ring[:r.next]...)
	r.mu.Unlock()
	decisions := []api.Decision{}
	for _, kept := range ordered {
		if filter.passes(kept) {
			decisions = append(decisions, r.convert(kept))
		}
	}
	if filter.Limit > 0 && len(decisions) > filter.Limit {
		decisions = decisions[len(decisions)-filter.Limit:]
	}
	return decisions
}

func (f Filter) passes(kept record) bool {
	return matches(f.Event, kept.event) && matches(f.Group, kept.data["group"]) && matches(f.Session, kept.data["session"])
}

func matches(wanted string, value any) bool {
	return wanted == "" || fmt.Sprint(value) == wanted
}

func (r *Recorder) convert(kept record) api.Decision {
	decision := api.Decision{TimeMs: kept.timeMs, Daemon: r.daemon, Event: kept.event}
	for key, value := range kept.data {
		decision.Fields = append(decision.Fields, api.DecisionField{Key: key, Value: fmt.Sprint(value)})
	}
	slices.SortFunc(decision.Fields, func(a, b api.DecisionField) int { return cmp.Compare(a.Key, b.Key) })
	return decision
}

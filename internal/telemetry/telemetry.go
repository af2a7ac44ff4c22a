// Package telemetry sets up the log and keeps the newest decisions for the operators' command.
package telemetry

import (
	"cmp"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/sirupsen/logrus"
)

// recentDecisions is the number of decisions of each of the two kinds that a daemon keeps.
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
	current.Store(recorder)
	return recorder, nil
}

// current is the recorder that Trace feeds; nil before SetUp.
var current atomic.Pointer[Recorder]

// Trace notes a decision of a single statement. It is logged at level debug, and the recorder keeps
// it at every level. The fields must not be changed afterwards.
func Trace(event string, fields logrus.Fields) {
	if logrus.IsLevelEnabled(logrus.DebugLevel) {
		logrus.WithFields(fields).Debug(event)
		return
	}
	if recorder := current.Load(); recorder != nil {
		recorder.statements.add(record{timeNs: time.Now().UnixNano(), event: event, data: fields})
	}
}

// Recorder keeps the newest log events. It is a hook of the logger. Decisions of single statements,
// which are many, have a ring of their own, so that they do not push out the others.
type Recorder struct {
	daemon     string
	events     *ring
	statements *ring
}

// NewRecorder returns an empty recorder.
func NewRecorder(daemon string) *Recorder {
	return &Recorder{daemon: daemon, events: newRing(recentDecisions), statements: newRing(recentDecisions)}
}

// Levels returns the levels of the events that are kept.
func (r *Recorder) Levels() []logrus.Level {
	return logrus.AllLevels
}

// Fire keeps an event.
func (r *Recorder) Fire(entry *logrus.Entry) error {
	kept := record{timeNs: entry.Time.UnixNano(), event: entry.Message, data: entry.Data}
	if entry.Level >= logrus.DebugLevel {
		r.statements.add(kept)
		return nil
	}
	r.events.add(kept)
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
	ordered := append(r.events.ordered(), r.statements.ordered()...)
	slices.SortStableFunc(ordered, func(a, b record) int { return cmp.Compare(a.timeNs, b.timeNs) })
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
	decision := api.Decision{TimeMs: time.Unix(0, kept.timeNs).UnixMilli(), Daemon: r.daemon, Event: kept.event}
	for key, value := range kept.data {
		decision.Fields = append(decision.Fields, api.DecisionField{Key: key, Value: fmt.Sprint(value)})
	}
	slices.SortFunc(decision.Fields, func(a, b api.DecisionField) int { return cmp.Compare(a.Key, b.Key) })
	return decision
}

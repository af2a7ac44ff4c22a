// Package telemetry sets up the log, keeps the newest decisions for the operators' command and measures statement
// latencies. A decision is a log event together with its fields.
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

// recentDecisions is the number of decisions that each of the two rings of a Recorder keeps.
const recentDecisions = 4096

// SetUp makes the standard logger write one line of key=value pairs for each event of at least the given level, and
// adds a Recorder to it as a hook. It fails when the level is unknown.
func SetUp(level api.SettingsLogLevel, daemon string) (*Recorder, error) {
	parsed, err := logrus.ParseLevel(string(level))
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	logrus.SetLevel(parsed)
	logrus.SetFormatter(&logrus.TextFormatter{
		DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000000Z07:00",
		SortingFunc: orderFields,
	})
	recorder := NewRecorder(daemon)
	logrus.AddHook(recorder)
	current.Store(recorder)
	return recorder, nil
}

// current is the recorder that Trace adds records to; nil before SetUp.
var current atomic.Pointer[Recorder]

// Trace records a decision about a single statement. It is logged at level debug, and the recorder
// keeps it at every level. The fields must not be changed afterwards.
func Trace(event string, fields logrus.Fields) {
	if logrus.IsLevelEnabled(logrus.DebugLevel) {
		logrus.WithFields(fields).Debug(event)
		return
	}
	if recorder := current.Load(); recorder != nil {
		recorder.statements.add(record{timeNs: time.Now().UnixNano(), event: event, data: fields})
	}
}

// Recorder keeps the newest log events. It is a hook of the logger and safe for concurrent use.
// Decisions about single statements are frequent and have a ring of their own, so that they do not
// displace the other events.
type Recorder struct {
	daemon     string
	events     *ring
	statements *ring
}

// NewRecorder returns an empty recorder.
func NewRecorder(daemon string) *Recorder {
	return &Recorder{daemon: daemon, events: newRing(recentDecisions), statements: newRing(recentDecisions)}
}

// Levels returns all levels, since events of every level are kept.
func (r *Recorder) Levels() []logrus.Level {
	return logrus.AllLevels
}

// Fire keeps the event of a log entry. It never fails.
func (r *Recorder) Fire(entry *logrus.Entry) error {
	kept := record{timeNs: entry.Time.UnixNano(), event: entry.Message, data: entry.Data}
	if entry.Level >= logrus.DebugLevel {
		r.statements.add(kept)
		return nil
	}
	r.events.add(kept)
	return nil
}

// Filter selects decisions. An empty field matches every decision.
type Filter struct {
	Group   string
	Session string
	Event   string
	// Limit is the largest number of decisions, of which the newest are kept; 0 means no limit.
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

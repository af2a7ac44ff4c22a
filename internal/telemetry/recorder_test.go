package telemetry

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/sirupsen/logrus"
)

func fire(r *Recorder, event string, fields logrus.Fields) {
	_ = r.Fire(&logrus.Entry{Time: time.UnixMilli(1), Message: event, Data: fields})
}

func TestRecorderFilters(t *testing.T) {
	r := NewRecorder("d")
	fire(r, "read_routed", logrus.Fields{"group": "g", "session": "s", "age_ms": 3})
	fire(r, "read_routed", logrus.Fields{"group": "h", "session": "s"})
	fire(r, "promoted", logrus.Fields{"group": "g"})
	tests := []struct {
		name   string
		filter Filter
		want   int
	}{
		{"all", Filter{}, 3},
		{"group", Filter{Group: "g"}, 2},
		{"session", Filter{Session: "s"}, 2},
		{"event", Filter{Event: "promoted"}, 1},
		{"group and session", Filter{Group: "g", Session: "s"}, 1},
		{"unknown", Filter{Group: "x"}, 0},
		{"limit", Filter{Limit: 2}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := r.Decisions(test.filter); len(got) != test.want {
				t.Fatalf("got %d decisions, want the number of the case", len(got))
			}
		})
	}
	first := r.Decisions(Filter{Limit: 3})[0]
	want := api.Decision{TimeMs: 1, Daemon: "d", Event: "read_routed", Fields: []api.DecisionField{
		{Key: "age_ms", Value: "3"}, {Key: "group", Value: "g"}, {Key: "session", Value: "s"},
	}}
	if fmt.Sprint(first) != fmt.Sprint(want) {
		t.Fatalf("got %+v, want the first decision with its fields ordered by key", first)
	}
}

func TestRecorderKeepsTheNewest(t *testing.T) {
	r := NewRecorder("d")
	for i := range recentDecisions + 10 {
		fire(r, fmt.Sprint(i), nil)
	}
	kept := r.Decisions(Filter{})
	if len(kept) != recentDecisions {
		t.Fatalf("got %d decisions, want recentDecisions", len(kept))
	}
	for i, decision := range kept {
		if decision.Event != fmt.Sprint(i+10) {
			t.Fatalf("decision %d: got event %s, want that with number i+10", i, decision.Event)
		}
	}
	if newest := r.Decisions(Filter{Limit: 1}); newest[0].Event != fmt.Sprint(recentDecisions+9) {
		t.Fatalf("newest decision: got event %s, want the last one", newest[0].Event)
	}
}

func TestSetUpRefusesAnUnknownLevel(t *testing.T) {
	if _, err := SetUp("loud", "d"); err == nil {
		t.Fatal("unknown level: got no error")
	}
}

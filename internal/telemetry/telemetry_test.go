package telemetry

import (
	"io"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/sirupsen/logrus"
)

// setUp adds a recorder to the standard logger, discards the log output and removes the recorder when the test ends.
func setUp(t testing.TB, level api.SettingsLogLevel) *Recorder {
	t.Helper()
	logrus.SetOutput(io.Discard)
	recorder, err := SetUp(level, "entry-1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { logrus.StandardLogger().ReplaceHooks(make(logrus.LevelHooks)) })
	return recorder
}

func TestStatementDecisionsAreKeptAtEachLevel(t *testing.T) {
	for _, level := range []api.SettingsLogLevel{api.SettingsLogLevelInfo, api.SettingsLogLevelDebug} {
		recorder := setUp(t, level)
		Trace("read_routed", logrus.Fields{"group": "rounds-db-1", "attempt": 1})
		Trace("read_routed", logrus.Fields{"group": "rounds-db-2"})
		decisions := recorder.Decisions(Filter{Group: "rounds-db-1", Event: "read_routed"})
		if len(decisions) != 1 || len(decisions[0].Fields) != 2 || decisions[0].Fields[0].Value != "1" {
			t.Errorf("level %s: got decisions %+v, want one with two fields", level, decisions)
		}
	}
}

func TestStatementDecisionsDoNotDisplaceOtherEvents(t *testing.T) {
	recorder := setUp(t, api.SettingsLogLevelInfo)
	logrus.WithField("group", "rounds-db-1").Info("failover_decision")
	for range 2 * recentDecisions {
		Trace("batch_ran", logrus.Fields{"group": "rounds-db-1"})
	}
	decisions := recorder.Decisions(Filter{Group: "rounds-db-1"})
	if len(decisions) != recentDecisions+1 || decisions[0].Event != "failover_decision" {
		t.Errorf("got %d decisions, the first is %s; want recentDecisions+1, the first failover_decision", len(decisions), decisions[0].Event)
	}
	if newest := recorder.Decisions(Filter{Limit: 3}); len(newest) != 3 {
		t.Errorf("limit 3: got %d decisions, want 3", len(newest))
	}
}

// BenchmarkTrace measures the cost of recording one statement decision at level info.
func BenchmarkTrace(b *testing.B) {
	setUp(b, api.SettingsLogLevelInfo)
	position := api.Position{Term: 3, Offset: 1 << 40}
	b.ReportAllocs()
	for b.Loop() {
		Trace("batch_ran", logrus.Fields{
			"group": "rounds-db-1", "target": "rounds-db-1a", "session": "entry-1/18ede1a-1", "access": "read",
			"role": "replica", "position": position, "age_ms": int64(70), "duration": 3 * time.Millisecond,
		})
	}
}

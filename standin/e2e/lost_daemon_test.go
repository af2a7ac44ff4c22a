package e2e

import (
	"context"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/standin/database"
	"github.com/papayacove/papayacove/standin/soak"
	"github.com/papayacove/papayacove/standin/workload"
)

// lostGroup loses a daemon between a COMMIT and its answer.
const lostGroup = "rounds-db-2"

// A daemon is killed after the target has committed and before the caller has an answer. The caller
// learns that the outcome is unknown, and its operation key tells that the work is there, once.
func TestDaemonLostBetweenCommitAndAnswer(t *testing.T) {
	spec, _ := groupSpec(lostGroup)
	primary := soak.PrimaryOf(shared, spec)
	gate := holderOf(t, primary)
	entry := otherThan(gate)
	t.Run("entry daemon", func(t *testing.T) { loseDaemon(t, spec, primary, entry, entry, "entry daemon") })
	t.Run("gate daemon", func(t *testing.T) { loseDaemon(t, spec, primary, entry, gate, "gate daemon") })
}

func loseDaemon(t *testing.T, spec api.GroupSpec, primary, entry, killed, key string) {
	caller := connect(t, entry, lostGroup)
	mustExec(t, caller, "CREATE TABLE IF NOT EXISTS claims (name text NOT NULL)")
	stopReplication(t, spec, primary)
	mustExec(t, caller, "SET papayacove.operation_key = '"+key+"'")
	answered := make(chan error, 1)
	go func() {
		_, err := caller.Exec(context.Background(), "INSERT INTO claims VALUES ('"+key+"')")
		answered <- err
	}()
	awaitRow(t, primary, key)
	shared.Daemons[killed].Kill()
	if err := <-answered; workload.Classify(err) != workload.Unknown {
		t.Errorf("the caller was told %v, want an unknown outcome", err)
	}
	resumeReplication(t, primary)
	if err := shared.Daemons[killed].Start(); err != nil {
		t.Fatal(err)
	}
	if err := shared.WaitReady(testContext(t)); err != nil {
		t.Fatal(err)
	}
	again := connect(t, entry, lostGroup)
	mustExec(t, again, "SET papayacove.operation_key = '"+key+"'")
	_, err := again.Exec(testContext(t), "INSERT INTO claims VALUES ('"+key+"')")
	wantCode(t, err, result.AlreadyRan)
	if rows := mustQuery[int](t, again, "SELECT count(*) FROM claims WHERE name = $1", key); rows != 1 {
		t.Errorf("%d rows, want 1", rows)
	}
}

// stopReplication keeps commits at the primary, so that their confirmation is awaited.
func stopReplication(t *testing.T, spec api.GroupSpec, primary string) {
	t.Helper()
	for _, other := range spec.Targets {
		if other.Name != primary {
			setKnob(t, other.Name, map[string]any{"cut_from": []string{primary}})
		}
	}
}

func resumeReplication(t *testing.T, primary string) {
	t.Helper()
	for name := range shared.Targets {
		if name != primary {
			setKnob(t, name, map[string]any{"cut_from": []string{}})
		}
	}
}

func setKnob(t *testing.T, name string, knob map[string]any) {
	t.Helper()
	if err := shared.Post(shared.TargetAdmin(name), "/knobs", knob); err != nil {
		t.Fatal(err)
	}
}

// awaitRow waits until the target has committed the row of a name.
func awaitRow(t *testing.T, name, row string) {
	t.Helper()
	ctx := testContext(t)
	for ctx.Err() == nil {
		var dump database.Dump
		if err := shared.Get(shared.TargetAdmin(name), "/dump?table=claims", &dump); err == nil {
			for _, found := range dump.Rows {
				if found[0] == row {
					return
				}
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%s never committed %s", name, row)
}

// holderOf returns the daemon that holds a target.
func holderOf(t *testing.T, name string) string {
	t.Helper()
	for _, daemon := range daemonNames() {
		status, err := shared.Status(daemon)
		if err != nil {
			t.Fatal(err)
		}
		for _, held := range status.Targets {
			if held.Target == name {
				return daemon
			}
		}
	}
	t.Fatalf("nobody holds %s", name)
	return ""
}

func otherThan(daemon string) string {
	for _, name := range daemonNames() {
		if name != daemon {
			return name
		}
	}
	return ""
}

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

// daemonLossGroup is the group that is written to while a daemon is killed.
const daemonLossGroup = "rounds-db-2"

// TestDaemonLostBetweenCommitAndAnswer kills a daemon after the target has committed and before the caller has an
// answer. The caller must get an unknown outcome, a repetition under the same operation key must be refused as already
// run, and the row must exist once.
func TestDaemonLostBetweenCommitAndAnswer(t *testing.T) {
	spec, _ := groupSpec(daemonLossGroup)
	primary := soak.PrimaryOf(shared, spec)
	gate := holderOf(t, primary)
	entry := anyOtherDaemon(gate)
	t.Run("entry daemon", func(t *testing.T) { killDaemonDuringCommit(t, spec, primary, entry, entry, "entry daemon") })
	t.Run("gate daemon", func(t *testing.T) { killDaemonDuringCommit(t, spec, primary, entry, gate, "gate daemon") })
}

func killDaemonDuringCommit(t *testing.T, spec api.GroupSpec, primary, entry, killed, key string) {
	caller := connect(t, entry, daemonLossGroup)
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
		t.Errorf("got %v, want an unknown outcome", err)
	}
	resumeReplication(t, primary)
	if err := shared.Daemons[killed].Start(); err != nil {
		t.Fatal(err)
	}
	if err := shared.WaitReady(testContext(t)); err != nil {
		t.Fatal(err)
	}
	again := connect(t, entry, daemonLossGroup)
	mustExec(t, again, "SET papayacove.operation_key = '"+key+"'")
	_, err := again.Exec(testContext(t), "INSERT INTO claims VALUES ('"+key+"')")
	wantCode(t, err, result.AlreadyRan)
	if rows := mustQuery[int](t, again, "SELECT count(*) FROM claims WHERE name = $1", key); rows != 1 {
		t.Errorf("got %d rows, want 1", rows)
	}
}

// stopReplication partitions the replicas from the primary, so that commits wait for their confirmation.
func stopReplication(t *testing.T, spec api.GroupSpec, primary string) {
	t.Helper()
	for _, other := range spec.Targets {
		if other.Name != primary {
			setFaults(t, other.Name, map[string]any{"cut_from": []string{primary}})
		}
	}
}

func resumeReplication(t *testing.T, primary string) {
	t.Helper()
	for name := range shared.Targets {
		if name != primary {
			setFaults(t, name, map[string]any{"cut_from": []string{}})
		}
	}
}

// setFaults sets the fields of a target's faults that the map names, by their names in the admin API.
func setFaults(t *testing.T, name string, faults map[string]any) {
	t.Helper()
	if err := shared.Post(shared.TargetAdmin(name), "/knobs", faults); err != nil {
		t.Fatal(err)
	}
}

// awaitRow waits until a target has committed a row with a name.
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
	t.Fatalf("timed out waiting until %s has committed the row %s", name, row)
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
	t.Fatalf("no daemon holds %s", name)
	return ""
}

func anyOtherDaemon(daemon string) string {
	for _, name := range daemonNames() {
		if name != daemon {
			return name
		}
	}
	return ""
}

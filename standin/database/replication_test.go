package database

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/target"
)

func TestReplicaAppliesTheSameRows(t *testing.T) {
	primary, second, third := startGroup(t)
	conn := connectPGX(t, primary)
	mustExec(t, conn, "CREATE TABLE t (id bigserial PRIMARY KEY, r double precision, u text, at timestamptz DEFAULT now())")
	for range 20 {
		mustExec(t, conn, "INSERT INTO t (r, u) VALUES (random(), gen_random_uuid())")
	}
	want, err := primary.Dump("t")
	if err != nil {
		t.Fatal(err)
	}
	for _, replica := range []*Target{second, third} {
		awaitApplied(t, replica, primary)
		got, err := replica.Dump("t")
		if err != nil {
			t.Fatal(err)
		}
		if !equalJSON(t, got, want) {
			t.Fatalf("rows of the replica: got %v, want %v", got, want)
		}
	}
	if _, err := connectPGX(t, second).Exec(testContext(t), "INSERT INTO t (r) VALUES (1)"); sqlStateOf(err) != sqlStateReadOnly {
		t.Fatalf("write on a replica: got error %v, want SQLSTATE 25006", err)
	}
}

func TestLagDelaysApplyingButNotReceiving(t *testing.T) {
	primary, second, _ := startGroup(t)
	second.SetFaults(Faults{LagMs: time.Hour.Milliseconds()})
	conn := connectPGX(t, primary)
	mustExec(t, conn, "CREATE TABLE t (id bigint)")
	control := dialControl(t, second)
	status, err := control.Status(testContext(t), primary.Status().Received, waitTimeout)
	if err != nil {
		t.Fatal(err)
	}
	if status.LogPosition() != primary.Status().LogPosition() || status.Applied != 0 {
		t.Fatalf("status during the lag: got %+v, want all received and nothing applied", status)
	}
	second.SetFaults(Faults{})
	if status, err = control.StatusApplied(testContext(t), status.Received, waitTimeout); err != nil || status.Applied != status.Received {
		t.Fatalf("status without the lag: got %+v, %v, want all applied", status, err)
	}
}

func TestFencedPrimaryRefusesWrites(t *testing.T) {
	ctx := testContext(t)
	primary := startTarget(t, Options{})
	conn, other := connectPGX(t, primary), connectPGX(t, primary)
	mustExec(t, conn, "CREATE TABLE t (id bigint)")
	tx, err := conn.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(ctx, "INSERT INTO t (id) VALUES ($1)", 1); err != nil {
		t.Fatal(err)
	}
	control := dialControl(t, primary)
	status, err := control.Fence(ctx, 2)
	if err != nil || status.Role != target.RoleFenced || status.Term != 2 {
		t.Fatalf("fence: got %+v, %v, want a fenced target at term 2", status, err)
	}
	if err := tx.Commit(ctx); err == nil {
		t.Fatal("commit of a transaction of the fenced term succeeded, want an error")
	}
	if _, err := other.Exec(ctx, "INSERT INTO t (id) VALUES (2)"); sqlStateOf(err) != sqlStateReadOnly {
		t.Fatalf("write after the fence: got error %v, want SQLSTATE 25006", err)
	}
	if n := mustQuery[int64](t, other, "SELECT count(*) FROM t"); n != 0 {
		t.Fatalf("rows: got %d, want 0", n)
	}
	var tooLow *target.TermTooLowError
	if _, err := control.Fence(ctx, 2); !errors.As(err, &tooLow) || tooLow.TargetTerm != 2 {
		t.Fatalf("second fence at the same term: got error %v, want TermTooLowError with target term 2", err)
	}
	if _, err := control.Promote(ctx, 3); err == nil {
		t.Fatal("promotion at a term at which the target was not fenced succeeded, want an error")
	}
}

// promote fences s and other at term, promotes s and returns its status.
func promote(t *testing.T, term uint64, s, other *Target) target.Status {
	t.Helper()
	for _, fenced := range []*Target{s, other} {
		if _, err := fenced.Fence(term); err != nil {
			t.Fatal(err)
		}
	}
	status, err := dialControl(t, s).Promote(testContext(t), term)
	if err != nil {
		t.Fatal(err)
	}
	return status
}

func TestPromotionAppliesAllReceivedRecords(t *testing.T) {
	primary, second, third := startGroup(t)
	second.SetFaults(Faults{LagMs: time.Hour.Milliseconds()})
	conn := connectPGX(t, primary)
	mustExec(t, conn, "CREATE TABLE t (id bigint)")
	mustExec(t, conn, "INSERT INTO t (id) VALUES (1)")
	received := primary.Status().Received
	await(t, "replica has received all records", func() bool { return second.Status().Received == received })
	status := promote(t, 2, second, third)
	if status.Role != target.RolePrimary || status.LogTerm != 2 || status.Received != received+1 || status.Applied != received+1 {
		t.Fatalf("status after the promotion: got %+v, want a primary with log term 2 and one more record, all applied", status)
	}
	again, err := dialControl(t, second).Promote(testContext(t), 2)
	if err != nil || again != status {
		t.Fatalf("second promotion at the same term: got %+v, %v, want the same status", again, err)
	}
	if _, err := third.Follow(2, second.Address()); err != nil {
		t.Fatal(err)
	}
	mustExec(t, connectPGX(t, second), "INSERT INTO t (id) VALUES (2)")
	awaitApplied(t, third, second)
	if n := mustQuery[int64](t, connectPGX(t, third), "SELECT count(*) FROM t"); n != 2 {
		t.Fatalf("rows on the follower: got %d, want 2", n)
	}
}

func TestReplacedPrimaryTruncatesUnreplicatedRecords(t *testing.T) {
	primary, second, third := startGroup(t)
	conn := connectPGX(t, primary)
	mustExec(t, conn, "CREATE TABLE t (id bigint PRIMARY KEY)")
	mustExec(t, conn, "INSERT INTO t (id) VALUES (1)")
	awaitApplied(t, second, primary)
	awaitApplied(t, third, primary)
	primary.SetFaults(Faults{PartitionedFrom: []string{"b", "c"}})
	mustExec(t, conn, "INSERT INTO t (id) VALUES (100)")
	mustExec(t, conn, "CREATE TABLE lost (id bigint)")
	promote(t, 2, second, third)
	mustExec(t, connectPGX(t, second), "INSERT INTO t (id) VALUES (2)")
	if _, err := third.Follow(2, second.Address()); err != nil {
		t.Fatal(err)
	}
	primary.SetFaults(Faults{})
	if _, err := primary.Follow(2, second.Address()); err != nil {
		t.Fatal(err)
	}
	want, err := second.Dump("t")
	if err != nil {
		t.Fatal(err)
	}
	for _, follower := range []*Target{primary, third} {
		awaitApplied(t, follower, second)
		got, err := follower.Dump("t")
		if err != nil || !equalJSON(t, got, want) {
			t.Fatalf("rows of target %s: got %v, %v, want %v", follower.options.Name, got, err, want)
		}
	}
	if _, err := primary.Dump("lost"); err == nil {
		t.Fatal("dump of a table whose creation was truncated succeeded, want an error")
	}
}

func TestReopenedTargetKeepsRowsAndTerm(t *testing.T) {
	directory := t.TempDir()
	first := startTarget(t, Options{DataDirectory: directory})
	conn := connectPGX(t, first)
	mustExec(t, conn, "CREATE TABLE t (id bigint)")
	mustExec(t, conn, "INSERT INTO t (id) VALUES (1)")
	if _, err := first.Fence(4); err != nil {
		t.Fatal(err)
	}
	want := first.Status()
	first.Close()
	second := startTarget(t, Options{DataDirectory: directory})
	if got := second.Status(); got != want {
		t.Fatalf("status after reopening: got %+v, want %+v", got, want)
	}
	if n := mustQuery[int64](t, connectPGX(t, second), "SELECT count(*) FROM t"); n != 1 {
		t.Fatalf("rows after reopening: got %d, want 1", n)
	}
}

func TestNoRecordIsAppendedAfterFence(t *testing.T) {
	primary := startTarget(t, Options{})
	mustExec(t, connectPGX(t, primary), "CREATE TABLE t (id bigserial PRIMARY KEY)")
	var writers sync.WaitGroup
	for range 4 {
		conn := connectPGX(t, primary)
		writers.Go(func() {
			var err error
			for err == nil {
				_, err = conn.Exec(context.Background(), "INSERT INTO t DEFAULT VALUES")
			}
		})
	}
	await(t, "writers have committed more than 50 records", func() bool { return primary.Status().Received > 50 })
	fenced, err := primary.Fence(2)
	if err != nil {
		t.Fatal(err)
	}
	writers.Wait()
	if got := primary.Status(); got != fenced {
		t.Fatalf("status changed after the fence: from %+v to %+v", fenced, got)
	}
	dump, err := primary.Dump("t")
	if err != nil || uint64(len(dump.Rows)) != fenced.Received-1 {
		t.Fatalf("rows after the fence: got %d at %+v, %v, want one for each record but the first", len(dump.Rows), fenced, err)
	}
}

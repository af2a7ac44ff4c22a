package database

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/papayacove/papayacove/internal/target"
)

// waitTimeout bounds each wait of a test for a condition.
const waitTimeout = 20 * time.Second

func testContext(t testing.TB) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	t.Cleanup(cancel)
	return ctx
}

// startTarget runs a target in a temporary directory, unless options name one, until the test ends.
func startTarget(t testing.TB, options Options) *Target {
	t.Helper()
	if options.Name == "" {
		options.Name = "a"
	}
	if options.DataDirectory == "" {
		options.DataDirectory = t.TempDir()
	}
	s, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// startGroup runs the primary a and its replicas b and c.
func startGroup(t testing.TB) (primary, second, third *Target) {
	t.Helper()
	primary = startTarget(t, Options{Name: "a"})
	replica := Options{InitialRole: target.RoleReplica, Primary: primary.Address()}
	replica.Name = "b"
	second = startTarget(t, replica)
	replica.Name = "c"
	third = startTarget(t, replica)
	return primary, second, third
}

func connectPGX(t testing.TB, s *Target) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(testContext(t), fmt.Sprintf("postgres://tester@%s/rounds?sslmode=disable", s.Address()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

func mustExec(t testing.TB, conn *pgx.Conn, sql string, args ...any) {
	t.Helper()
	if _, err := conn.Exec(testContext(t), sql, args...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

// mustQuery returns the value of a query with one row and one column.
func mustQuery[T any](t testing.TB, conn *pgx.Conn, sql string, args ...any) T {
	t.Helper()
	var value T
	if err := conn.QueryRow(testContext(t), sql, args...).Scan(&value); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return value
}

// await waits until done returns true, and fails the test after waitTimeout.
func await(t testing.TB, what string, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !done() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// awaitApplied waits until s has applied all that primary has committed by now.
func awaitApplied(t testing.TB, s, primary *Target) {
	t.Helper()
	want := primary.Status().LogPosition()
	await(t, "replica applies "+want.String(), func() bool {
		return s.Status().AppliedPosition() == want
	})
}

func dialControl(t testing.TB, s *Target) *target.Control {
	t.Helper()
	c, err := target.DialControl(testContext(t), s.Address(), target.Options{User: "tester"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// equalJSON reports whether a and b have the same JSON encoding.
func equalJSON(t testing.TB, a, b any) bool {
	t.Helper()
	first, err := json.Marshal(a)
	if err != nil {
		t.Fatal(err)
	}
	second, err := json.Marshal(b)
	if err != nil {
		t.Fatal(err)
	}
	return string(first) == string(second)
}

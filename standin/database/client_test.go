package database

import (
	"bytes"
	"context"
	"database/sql"
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	_ "github.com/lib/pq"
)

const createCabinets = `CREATE TABLE cabinets (id bigint PRIMARY KEY, name text NOT NULL, done boolean NOT NULL DEFAULT false,
	share double precision, photo bytea, at timestamptz NOT NULL DEFAULT now(), crew integer)`

// sqlStateOf returns the SQLSTATE of err, or an empty string if it has none.
func sqlStateOf(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return ""
}

func TestPGXRoundTripOfTypes(t *testing.T) {
	conn := connectPGX(t, startTarget(t, Options{}))
	mustExec(t, conn, createCabinets)
	at := time.Date(2026, 12, 3, 7, 30, 0, 123456000, time.UTC)
	mustExec(t, conn, "INSERT INTO cabinets (id, name, done, share, photo, at, crew) VALUES ($1, $2, $3, $4, $5, $6, $7)",
		int64(7), "K-7", true, 0.25, []byte{0, 1}, at, int32(3))
	var (
		id    int64
		name  string
		done  bool
		share float64
		photo []byte
		when  time.Time
		crew  int32
	)
	row := conn.QueryRow(testContext(t), "SELECT id, name, done, share, photo, at, crew FROM cabinets WHERE id = $1 AND done = $2", int64(7), true)
	if err := row.Scan(&id, &name, &done, &share, &photo, &when, &crew); err != nil {
		t.Fatal(err)
	}
	if id != 7 || name != "K-7" || !done || share != 0.25 || !bytes.Equal(photo, []byte{0, 1}) || !when.Equal(at) || crew != 3 {
		t.Fatalf("row: got %v %v %v %v %v %v %v, want the values inserted", id, name, done, share, photo, when, crew)
	}
	if n := mustQuery[int64](t, conn, "SELECT count(*) FROM cabinets WHERE id = ANY($1)", []int64{7, 8}); n != 1 {
		t.Fatalf("count with ANY: got %d rows, want 1", n)
	}
	if n := mustQuery[int64](t, conn, "UPDATE cabinets SET crew = crew + $1 WHERE id IN ($2, $3) RETURNING crew", 2, 7, 9); n != 5 {
		t.Fatalf("crew after the update: got %d, want 5", n)
	}
	if n := mustQuery[int64](t, conn, "SELECT max(crew) FROM cabinets"); n != 5 {
		t.Fatalf("max(crew): got %d, want 5", n)
	}
	if sum := mustQuery[float64](t, conn, "SELECT sum(share) FROM cabinets"); sum != 0.25 {
		t.Fatalf("sum(share): got %v, want 0.25", sum)
	}
	mustExec(t, conn, "CREATE TABLE rounds (id bigint, label text)")
	mustExec(t, conn, "INSERT INTO rounds VALUES ($1, $2)", int64(9), "north")
	claim := "UPDATE rounds SET label = $1 WHERE id = (SELECT id FROM rounds WHERE label = $2 LIMIT 1 FOR UPDATE SKIP LOCKED) RETURNING id"
	if id := mustQuery[int64](t, conn, claim, "mine", "north"); id != 9 {
		t.Fatalf("claimed row: got id %d, want 9", id)
	}
	var role string
	if err := conn.QueryRow(testContext(t), "SELECT * FROM target_status()").Scan(&role, nil, nil, nil, nil, nil, &done); err != nil || role != "primary" || done {
		t.Fatalf("status: got role %q, leaving %v, %v, want primary, not leaving", role, done, err)
	}
}

func TestPGXTransactionsAndErrors(t *testing.T) {
	ctx := testContext(t)
	conn := connectPGX(t, startTarget(t, Options{}))
	mustExec(t, conn, "CREATE TABLE claims (id bigserial PRIMARY KEY, key text UNIQUE)")
	mustExec(t, conn, "INSERT INTO claims (key) VALUES ($1)", "k1")
	tx, err := conn.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(ctx, "INSERT INTO claims (key) VALUES ($1)", "k2"); err != nil {
		t.Fatal(err)
	}
	_, err = tx.Exec(ctx, "INSERT INTO claims (key) VALUES ($1)", "k1")
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) || pgErr.Code != sqlStateUnique || pgErr.ConstraintName != "claims_key_key" {
		t.Fatalf("repeated key: got error %v, want a unique violation of claims_key_key", err)
	}
	if _, err = tx.Exec(ctx, "SELECT 1"); sqlStateOf(err) != sqlStateFailedTransaction {
		t.Fatalf("statement in a failed transaction: got error %v, want SQLSTATE 25P02", err)
	}
	if err := tx.Commit(ctx); !errors.Is(err, pgx.ErrTxCommitRollback) {
		t.Fatalf("commit of a failed transaction: got error %v, want ErrTxCommitRollback", err)
	}
	if n := mustQuery[int64](t, conn, "SELECT count(*) FROM claims"); n != 1 {
		t.Fatalf("rows after the rollback: got %d, want 1", n)
	}
	if _, err := conn.Exec(ctx, "SELECT * FROM pg_catalog.pg_class"); err == nil {
		t.Fatal("catalog query succeeded, want an error")
	}
	if _, err := conn.Exec(ctx, "COPY claims FROM STDIN"); sqlStateOf(err) != sqlStateUnsupported {
		t.Fatalf("COPY: got error %v, want SQLSTATE 0A000", err)
	}
	ro, err := conn.BeginTx(ctx, pgx.TxOptions{AccessMode: pgx.ReadOnly})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ro.Exec(ctx, "DELETE FROM claims"); sqlStateOf(err) != sqlStateReadOnly {
		t.Fatalf("write in a READ ONLY transaction: got error %v, want SQLSTATE 25006", err)
	}
	ro.Rollback(ctx)
}

func TestRollbackToSavepointKeepsEarlierStatements(t *testing.T) {
	ctx := testContext(t)
	conn := connectPGX(t, startTarget(t, Options{}))
	mustExec(t, conn, "CREATE TABLE t (id bigint PRIMARY KEY)")
	tx, err := conn.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	tx.Exec(ctx, "INSERT INTO t (id) VALUES (1)")
	nested, err := tx.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := nested.Exec(ctx, "INSERT INTO t (id) VALUES (1)"); sqlStateOf(err) != sqlStateUnique {
		t.Fatalf("duplicate key: got error %v, want SQLSTATE 23505", err)
	}
	if err := nested.Rollback(ctx); err != nil {
		t.Fatal(err)
	}
	if err := tx.Commit(ctx); err != nil {
		t.Fatal(err)
	}
	if n := mustQuery[int64](t, conn, "SELECT count(*) FROM t"); n != 1 {
		t.Fatalf("rows after the commit: got %d, want 1", n)
	}
}

func TestBatchIsOneTransaction(t *testing.T) {
	conn := connectPGX(t, startTarget(t, Options{}))
	mustExec(t, conn, "CREATE TABLE t (id bigint PRIMARY KEY)")
	batch := &pgx.Batch{}
	batch.Queue("INSERT INTO t (id) VALUES ($1)", int64(1))
	batch.Queue("INSERT INTO t (id) VALUES ($1)", int64(1))
	if err := conn.SendBatch(testContext(t), batch).Close(); sqlStateOf(err) != sqlStateUnique {
		t.Fatalf("batch: got error %v, want SQLSTATE 23505", err)
	}
	if n := mustQuery[int64](t, conn, "SELECT count(*) FROM t"); n != 0 {
		t.Fatalf("rows of a failed batch: got %d, want 0", n)
	}
	_, err := conn.Exec(testContext(t), "INSERT INTO t VALUES (5); INSERT INTO t VALUES (5)")
	if sqlStateOf(err) != sqlStateUnique {
		t.Fatalf("script: got error %v, want SQLSTATE 23505", err)
	}
	if n := mustQuery[int64](t, conn, "SELECT count(*) FROM t"); n != 0 {
		t.Fatalf("rows of a failed script: got %d, want 0", n)
	}
}

func TestOnlyChangesAreLogged(t *testing.T) {
	s := startTarget(t, Options{})
	conn := connectPGX(t, s)
	mustExec(t, conn, "CREATE TABLE t (id bigint PRIMARY KEY)")
	mustExec(t, conn, "INSERT INTO t (id) VALUES ($1)", 1)
	want := s.Status()
	mustExec(t, conn, "CREATE TABLE IF NOT EXISTS t (id bigint)")
	mustExec(t, conn, "DROP TABLE IF EXISTS missing")
	mustExec(t, conn, "UPDATE t SET id = id WHERE id = $1", 9)
	mustExec(t, conn, "INSERT INTO t (id) VALUES ($1) ON CONFLICT DO NOTHING", 1)
	mustExec(t, conn, "BEGIN; SELECT * FROM t; COMMIT")
	if got := s.Status(); got != want {
		t.Fatalf("status: got %+v, want %+v", got, want)
	}
	mustExec(t, conn, "DROP TABLE t")
	if got := s.Status(); got.Received != want.Received+1 {
		t.Fatalf("status after DROP TABLE: got %+v, want one more record received", got)
	}
}

func TestSettings(t *testing.T) {
	conn := connectPGX(t, startTarget(t, Options{}))
	mustExec(t, conn, "SET papayacove.operation_key = 'k1'")
	mustExec(t, conn, "BEGIN; SET papayacove.operation_key = 'k2'; ROLLBACK")
	if got := mustQuery[string](t, conn, "SHOW papayacove.operation_key"); got != "k1" {
		t.Fatalf("setting after rollback: got %q, want k1", got)
	}
	mustExec(t, conn, "BEGIN; SET LOCAL statement_timeout = '3s'; COMMIT")
	if got := mustQuery[string](t, conn, "SELECT current_setting('statement_timeout')"); got != "0" {
		t.Fatalf("statement_timeout after SET LOCAL and COMMIT: got %q, want 0", got)
	}
	mustExec(t, conn, "RESET ALL")
	if got := mustQuery[string](t, conn, "SHOW papayacove.operation_key"); got != "" {
		t.Fatalf("setting after RESET ALL: got %q, want none", got)
	}
	mustExec(t, conn, "DISCARD ALL")
}

func TestSeriesAndRowLimit(t *testing.T) {
	ctx := testContext(t)
	conn := connectPGX(t, startTarget(t, Options{}))
	if n := mustQuery[int64](t, conn, "SELECT sum(i) FROM generate_series(1, $1) AS s(i)", 1000); n != 500500 {
		t.Fatalf("sum of the series: got %d, want 500500", n)
	}
	if n := mustQuery[int64](t, conn, "SELECT i FROM generate_series(3, 9) AS i WHERE i > $1", 8); n != 9 {
		t.Fatalf("last value of the series: got %d, want 9", n)
	}
	reader := conn.PgConn().ExecParams(ctx, "SELECT generate_series(1, 100000)", nil, nil, nil, nil)
	rows := 0
	for reader.NextRow() {
		rows++
	}
	if _, err := reader.Close(); err != nil || rows != 100000 {
		t.Fatalf("rows: got %d, %v, want 100000", rows, err)
	}
}

func TestCancelAndTimeout(t *testing.T) {
	s := startTarget(t, Options{})
	conn := connectPGX(t, s)
	mustExec(t, conn, "SET statement_timeout = '50ms'")
	if _, err := conn.Exec(testContext(t), "SELECT pg_sleep(15)"); sqlStateOf(err) != sqlStateCancelled {
		t.Fatalf("statement after its timeout: got error %v, want SQLSTATE 57014", err)
	}
	mustExec(t, conn, "SET statement_timeout = 0")
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "SELECT pg_sleep($1)", 15.0)
		done <- err
	}()
	await(t, "statement is running", func() bool {
		sessions := s.openSessions()
		return len(sessions) == 1 && sessions[0].running.Load()
	})
	if err := conn.PgConn().CancelRequest(testContext(t)); err != nil {
		t.Fatal(err)
	}
	if err := <-done; sqlStateOf(err) != sqlStateCancelled {
		t.Fatalf("canceled statement: got error %v, want SQLSTATE 57014", err)
	}
	mustExec(t, conn, "SELECT 1")
}

func TestLibPQ(t *testing.T) {
	s := startTarget(t, Options{})
	db, err := sql.Open("postgres", "postgres://tester@"+s.Address()+"/rounds?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	if _, err := db.Exec(createCabinets); err != nil {
		t.Fatal(err)
	}
	at := time.Date(2026, 12, 3, 7, 30, 0, 0, time.UTC)
	if _, err := db.Exec("INSERT INTO cabinets (id, name, done, photo, at) VALUES ($1, $2, $3, $4, $5)", 1, "x", true, []byte{9}, at); err != nil {
		t.Fatal(err)
	}
	var id int
	var done bool
	var photo []byte
	var when time.Time
	if err := db.QueryRow("SELECT id, done, photo, at FROM cabinets WHERE name = $1", "x").Scan(&id, &done, &photo, &when); err != nil {
		t.Fatal(err)
	}
	if id != 1 || !done || !bytes.Equal(photo, []byte{9}) || !when.Equal(at) {
		t.Fatalf("row: got %v %v %v %v, want the values inserted", id, done, photo, when)
	}
	tx, err := db.Begin()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec("UPDATE cabinets SET name = $1 WHERE id = $2", "y", 1); err != nil {
		t.Fatal(err)
	}
	if err := tx.Commit(); err != nil {
		t.Fatal(err)
	}
}

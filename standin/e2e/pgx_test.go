package e2e

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/papayacove/papayacove/internal/result"
)

func sqlStateOf(err error) string {
	var answer *pgconn.PgError
	if errors.As(err, &answer) {
		return answer.Code
	}
	return ""
}

func TestTypesThroughEachDaemon(t *testing.T) {
	table := createTable(t, "types", "id bigint PRIMARY KEY, name text, done boolean, share double precision, photo bytea, crew integer")
	throughEachDaemon(t, func(t *testing.T, daemon string) {
		conn := connect(t, daemon, group)
		id := int64(len(daemon)*1000) + int64(daemon[len(daemon)-1])
		photo := bytes.Repeat([]byte{0, 1, 255}, 100)
		mustExec(t, conn, "INSERT INTO "+table+" VALUES ($1, $2, $3, $4, $5, $6)", id, "kabinett ö", true, 0.25, photo, nil)
		var (
			name  string
			done  bool
			share float64
			got   []byte
			crew  *int32
		)
		row := conn.QueryRow(testContext(t), "SELECT name, done, share, photo, crew FROM "+table+" WHERE id = $1", id)
		if err := row.Scan(&name, &done, &share, &got, &crew); err != nil {
			t.Fatal(err)
		}
		if name != "kabinett ö" || !done || share != 0.25 || !bytes.Equal(got, photo) || crew != nil {
			t.Fatalf("got %q %v %v %d bytes %v, want the values that were inserted", name, done, share, len(got), crew)
		}
	})
}

func TestReadYourWritesAcrossDaemons(t *testing.T) {
	table := createTable(t, "roaming", "id bigint PRIMARY KEY")
	id := int64(0)
	throughEachDaemon(t, func(t *testing.T, writer string) {
		conn := connect(t, writer, group)
		for _, reader := range daemonNames() {
			id++
			mustExec(t, conn, "INSERT INTO "+table+" VALUES ($1)", id)
			other := connect(t, reader, group)
			if n := mustQuery[int64](t, other, "SELECT count(*) FROM "+table+" WHERE id = $1", id); n != 1 {
				t.Errorf("a row written through %s is missing in a read through %s", writer, reader)
			}
			_ = other.Close(context.Background())
		}
	})
}

func TestTransactionsThroughEachDaemon(t *testing.T) {
	table := createTable(t, "blocks", "name text PRIMARY KEY")
	throughEachDaemon(t, func(t *testing.T, daemon string) {
		ctx := testContext(t)
		conn := connect(t, daemon, group)
		kept, undone := daemon+" kept", daemon+" undone"
		if err := pgx.BeginFunc(ctx, conn, func(tx pgx.Tx) error {
			_, err := tx.Exec(ctx, "INSERT INTO "+table+" VALUES ($1)", kept)
			return err
		}); err != nil {
			t.Fatal(err)
		}
		tx, err := conn.Begin(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := tx.Exec(ctx, "INSERT INTO "+table+" VALUES ($1)", undone); err != nil {
			t.Fatal(err)
		}
		if _, err := tx.Exec(ctx, "INSERT INTO "+table+" VALUES ($1)", kept); sqlStateOf(err) != "23505" {
			t.Fatalf("INSERT of a duplicate name: got %v, want SQLSTATE 23505", err)
		}
		if _, err := tx.Exec(ctx, "SELECT 1"); sqlStateOf(err) != "25P02" {
			t.Fatalf("SELECT in a failed transaction: got %v, want SQLSTATE 25P02", err)
		}
		if err := tx.Rollback(ctx); err != nil {
			t.Fatal(err)
		}
		if n := mustQuery[int64](t, conn, "SELECT count(*) FROM "+table+" WHERE name IN ($1, $2)", kept, undone); n != 1 {
			t.Fatalf("got %d rows, want 1", n)
		}
	})
}

func TestPreparedStatementsThroughEachDaemon(t *testing.T) {
	table := createTable(t, "prepared", "id bigint PRIMARY KEY")
	insert, read := "INSERT INTO "+table+" VALUES ($1)", "SELECT count(*) FROM "+table+" WHERE id = $1"
	id := int64(0)
	throughEachDaemon(t, func(t *testing.T, daemon string) {
		first, second := connect(t, daemon, group), connect(t, daemon, group)
		for range 4 {
			for _, conn := range []*pgx.Conn{first, second} {
				id++
				mustExec(t, conn, insert, id)
				if n := mustQuery[int64](t, conn, read, id); n != 1 {
					t.Fatalf("got %d rows, want 1", n)
				}
			}
		}
	})
}

func TestPipelineErrorThroughEachDaemon(t *testing.T) {
	table := createTable(t, "pipeline", "name text PRIMARY KEY")
	throughEachDaemon(t, func(t *testing.T, daemon string) {
		ctx := testContext(t)
		conn := connect(t, daemon, group)
		good := &pgx.Batch{}
		for i := range 3 {
			good.Queue("INSERT INTO "+table+" VALUES ($1)", fmt.Sprint(daemon, i))
		}
		if err := conn.SendBatch(ctx, good).Close(); err != nil {
			t.Fatal(err)
		}
		bad := &pgx.Batch{}
		bad.Queue("INSERT INTO "+table+" VALUES ($1)", daemon+" undone")
		bad.Queue("INSERT INTO "+table+" VALUES ($1)", daemon+"0")
		bad.Queue("SELECT 1")
		if err := conn.SendBatch(ctx, bad).Close(); sqlStateOf(err) != "23505" {
			t.Fatalf("pipeline with a duplicate name: got %v, want SQLSTATE 23505", err)
		}
		if n := mustQuery[int64](t, conn, "SELECT count(*) FROM "+table+" WHERE name LIKE $1", daemon+"%"); n != 3 {
			t.Fatalf("got %d rows, want 3", n)
		}
	})
}

func TestRefusedStatementsKeepTheSession(t *testing.T) {
	throughEachDaemon(t, func(t *testing.T, daemon string) {
		ctx := testContext(t)
		conn := connect(t, daemon, group)
		for _, sql := range []string{"COPY x FROM STDIN", "LISTEN channel", "CREATE TEMP TABLE t (a int)", "PREPARE p AS SELECT 1"} {
			_, err := conn.Exec(ctx, sql)
			wantCode(t, err, result.Unsupported)
		}
		if _, err := conn.Exec(ctx, "SELECT * FROM pg_catalog.pg_policies_of_nothing"); sqlStateOf(err) == "" {
			t.Fatalf("SELECT from an unknown catalog table: got %v, want an SQLSTATE", err)
		}
		if n := mustQuery[int64](t, conn, "SELECT 7"); n != 7 {
			t.Fatalf("got %d, want 7", n)
		}
	})
}

func TestSettingsFollowTheSession(t *testing.T) {
	throughEachDaemon(t, func(t *testing.T, daemon string) {
		ctx := testContext(t)
		first, second := connect(t, daemon, group), connect(t, daemon, group)
		mustExec(t, first, "SET application_name = 'first'")
		mustExec(t, second, "SET application_name = 'second'")
		for range 3 {
			if name := mustQuery[string](t, first, "SHOW application_name"); name != "first" {
				t.Fatalf("first session: got application_name %q, want first", name)
			}
			if name := mustQuery[string](t, second, "SHOW application_name"); name != "second" {
				t.Fatalf("second session: got application_name %q, want second", name)
			}
		}
		tx, err := first.Begin(ctx)
		if err != nil {
			t.Fatal(err)
		}
		_, err = tx.Exec(ctx, "SET application_name = 'third'")
		wantCode(t, err, result.Unsupported)
		_ = tx.Rollback(ctx)
		if name := mustQuery[string](t, first, "SHOW application_name"); name != "first" {
			t.Fatalf("after a refused SET: got application_name %q, want first", name)
		}
	})
}

func TestMultipleStatementsInOneQuery(t *testing.T) {
	table := createTable(t, "multiple", "name text PRIMARY KEY")
	throughEachDaemon(t, func(t *testing.T, daemon string) {
		ctx := testContext(t)
		conn := connect(t, daemon, group)
		insert := "INSERT INTO " + table + " VALUES ('" + daemon + "')"
		results, err := conn.PgConn().Exec(ctx, insert+"; SELECT 1; SELECT 2").ReadAll()
		if err != nil || len(results) != 3 {
			t.Fatalf("got %d results and error %v, want 3 results", len(results), err)
		}
		if _, err := conn.PgConn().Exec(ctx, "INSERT INTO "+table+" VALUES ('undone'); "+insert).ReadAll(); sqlStateOf(err) != "23505" {
			t.Fatalf("INSERT of a duplicate name: got %v, want SQLSTATE 23505", err)
		}
		if n := mustQuery[int64](t, conn, "SELECT count(*) FROM "+table+" WHERE name = 'undone'"); n != 0 {
			t.Fatal("found the row of a query that failed, want it rolled back")
		}
	})
}

func TestCancelThroughEachDaemon(t *testing.T) {
	throughEachDaemon(t, func(t *testing.T, daemon string) {
		conn := connect(t, daemon, group)
		for _, sql := range []string{"SELECT pg_sleep(15)", "BEGIN; SELECT pg_sleep(15)"} {
			timer := time.AfterFunc(300*time.Millisecond, func() { _ = conn.PgConn().CancelRequest(testContext(t)) })
			_, err := conn.PgConn().Exec(testContext(t), sql).ReadAll()
			timer.Stop()
			if sqlStateOf(err) != "57014" {
				t.Fatalf("%s: got %v, want SQLSTATE 57014", sql, err)
			}
		}
		mustExec(t, conn, "ROLLBACK")
		if n := mustQuery[int64](t, conn, "SELECT 7"); n != 7 {
			t.Fatalf("got %d, want 7", n)
		}
	})
}

func TestStaleReadsWithMaxAge(t *testing.T) {
	table := createTable(t, "aged", "id bigint PRIMARY KEY")
	writer := connect(t, daemonNames()[0], group)
	mustExec(t, writer, "INSERT INTO "+table+" VALUES (1)")
	throughEachDaemon(t, func(t *testing.T, daemon string) {
		conn := connectAs(t, daemon, group, staleReadUser)
		// A row that is younger than the maximum age of the user may be missing, so the read is repeated until the row
		// is old enough.
		for deadline := time.Now().Add(eventTimeout); ; {
			var n int64
			err := conn.QueryRow(testContext(t), "SELECT count(*) FROM "+table).Scan(&n)
			if err == nil && n == 1 {
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("got %d rows and error %v, want 1 row", n, err)
			}
		}
	})
}

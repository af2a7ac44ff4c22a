package e2e

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/standin/soak"
	"github.com/papayacove/papayacove/standin/workload"
)

// keyedWork is one way to run an INSERT under an operation key.
type keyedWork struct {
	name string
	run  func(ctx context.Context, conn *pgx.Conn, insert string) error
}

func simpleQuery(sql string) func(ctx context.Context, conn *pgx.Conn, insert string) error {
	return func(ctx context.Context, conn *pgx.Conn, insert string) error {
		_, err := conn.PgConn().Exec(ctx, sql+insert).ReadAll()
		return err
	}
}

var keyedWorks = []keyedWork{
	{"autocommit", func(ctx context.Context, conn *pgx.Conn, insert string) error {
		_, err := conn.Exec(ctx, insert)
		return err
	}},
	{"simple query", simpleQuery("")},
	{"block", func(ctx context.Context, conn *pgx.Conn, insert string) error {
		return pgx.BeginFunc(ctx, conn, func(tx pgx.Tx) error {
			_, err := tx.Exec(ctx, insert)
			return err
		})
	}},
	{"block in one query", func(ctx context.Context, conn *pgx.Conn, insert string) error {
		_, err := conn.PgConn().Exec(ctx, "BEGIN; "+insert+"; COMMIT").ReadAll()
		return err
	}},
	{"block in one pipeline", func(ctx context.Context, conn *pgx.Conn, insert string) error {
		batch := &pgx.Batch{}
		for _, sql := range []string{"BEGIN", insert, "COMMIT"} {
			batch.Queue(sql)
		}
		return conn.SendBatch(ctx, batch).Close()
	}},
	{"block begun in one query", func(ctx context.Context, conn *pgx.Conn, insert string) error {
		if _, err := conn.PgConn().Exec(ctx, "BEGIN; "+insert).ReadAll(); err != nil {
			return err
		}
		_, err := conn.PgConn().Exec(ctx, "COMMIT").ReadAll()
		return err
	}},
	{"commented begin", func(ctx context.Context, conn *pgx.Conn, insert string) error {
		for _, sql := range []string{"/* claim */ BEGIN", insert, "COMMIT"} {
			if _, err := conn.PgConn().Exec(ctx, sql).ReadAll(); err != nil {
				return err
			}
		}
		return nil
	}},
	{"prepared begin", func(ctx context.Context, conn *pgx.Conn, insert string) error {
		if _, err := conn.Prepare(ctx, "begin_claim", "BEGIN"); err != nil {
			return err
		}
		for _, sql := range []string{"begin_claim", insert, "COMMIT"} {
			if _, err := conn.Exec(ctx, sql); err != nil {
				return err
			}
		}
		return nil
	}},
}

// TestOperationKeyRunsOnce repeats an INSERT under the same operation key at another daemon. The second attempt must be
// refused as already run.
func TestOperationKeyRunsOnce(t *testing.T) {
	table := createTable(t, "keyed", "name text")
	daemons := daemonNames()
	for i, work := range keyedWorks {
		t.Run(work.name, func(t *testing.T) {
			insert := "INSERT INTO " + table + " VALUES ('" + work.name + "')"
			key := "key " + work.name
			for attempt := range 2 {
				conn := connect(t, daemons[(i+attempt)%len(daemons)], group)
				mustExec(t, conn, "SET papayacove.operation_key = '"+key+"'")
				err := work.run(testContext(t), conn, insert)
				if attempt == 0 && err != nil {
					t.Fatal(err)
				}
				if attempt == 1 {
					wantCode(t, err, result.AlreadyRan)
				}
			}
			reader := connect(t, daemons[0], group)
			if n := mustQuery[int64](t, reader, "SELECT count(*) FROM "+table+" WHERE name = '"+work.name+"'"); n != 1 {
				t.Fatalf("got %d rows, want 1", n)
			}
			if outcome := mustQuery[string](t, reader, "SELECT papayacove_outcome('"+key+"')"); outcome != "committed" {
				t.Fatalf("got outcome %q, want committed", outcome)
			}
		})
	}
}

func TestOutcomeOfAnUnusedKey(t *testing.T) {
	throughEachDaemon(t, func(t *testing.T, daemon string) {
		conn := connect(t, daemon, group)
		if outcome := mustQuery[string](t, conn, "SELECT papayacove_outcome('unused')"); outcome != "not committed" {
			t.Fatalf("got outcome %q, want not committed", outcome)
		}
	})
}

// TestOperationKeyAfterAChangeOfPrimary repeats an INSERT under a key that the old primary committed before it was
// killed. The new primary must refuse it as already run.
func TestOperationKeyAfterAChangeOfPrimary(t *testing.T) {
	daemon := daemonNames()[3]
	conn := connect(t, daemon, failoverGroup)
	mustExec(t, conn, "CREATE TABLE keyed (name text)")
	mustExec(t, conn, "SET papayacove.operation_key = 'before'")
	mustExec(t, conn, "INSERT INTO keyed VALUES ('before')")
	spec, found := groupSpec(failoverGroup)
	if !found {
		t.Fatal("the deployment does not have the failover group")
	}
	old := soak.PrimaryOf(shared, spec)
	shared.Targets[old].Kill()
	defer func() { _ = shared.Targets[old].Start() }()
	for deadline := time.Now().Add(eventTimeout); ; {
		again := connect(t, daemon, failoverGroup)
		mustExec(t, again, "SET papayacove.operation_key = 'before'")
		_, err := again.Exec(testContext(t), "INSERT INTO keyed VALUES ('before')")
		if err == nil {
			t.Fatal("the INSERT ran again under the same key, want it refused as already run")
		}
		if workload.CodeOf(err) == result.AlreadyRan {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
}

// TestOperationKeyOfARolledBackBlock rolls back blocks that begin in different ways. Their keys must be reported as
// not committed, and their rows must be gone.
func TestOperationKeyOfARolledBackBlock(t *testing.T) {
	table := createTable(t, "undone", "name text")
	insert := "INSERT INTO " + table + " VALUES ('undone')"
	begins := map[string][]string{
		"lone":        {"BEGIN", insert},
		"with modes":  {"BEGIN ISOLATION LEVEL SERIALIZABLE", insert},
		"commented":   {"/* claim */ BEGIN -- now", insert},
		"with work":   {"BEGIN; " + insert},
		"semicolons":  {"BEGIN;;", insert},
		"transaction": {"START TRANSACTION", insert},
	}
	for name, statements := range begins {
		t.Run(name, func(t *testing.T) {
			ctx := testContext(t)
			conn := connect(t, daemonNames()[0], group)
			mustExec(t, conn, "SET papayacove.operation_key = 'undone "+name+"'")
			for _, sql := range append(statements, "ROLLBACK") {
				if _, err := conn.PgConn().Exec(ctx, sql).ReadAll(); err != nil {
					t.Fatalf("%s: %v", sql, err)
				}
			}
			if outcome := mustQuery[string](t, conn, "SELECT papayacove_outcome('undone "+name+"')"); outcome != "not committed" {
				t.Errorf("got outcome %q, want not committed", outcome)
			}
			if n := mustQuery[int64](t, conn, "SELECT count(*) FROM "+table); n != 0 {
				t.Errorf("got %d rows, want 0", n)
			}
		})
	}
}

// TestOperationKeyOfAPreparedBegin begins a block with a prepared statement and rolls it back. Its key must be reported
// as not committed.
func TestOperationKeyOfAPreparedBegin(t *testing.T) {
	ctx := testContext(t)
	conn := connect(t, daemonNames()[1], group)
	if _, err := conn.Prepare(ctx, "begin_claim", "BEGIN"); err != nil {
		t.Fatal(err)
	}
	mustExec(t, conn, "SET papayacove.operation_key = 'prepared undone'")
	mustExec(t, conn, "begin_claim")
	if status := conn.PgConn().TxStatus(); status != 'T' {
		t.Fatalf("got status %c after BEGIN, want T", status)
	}
	mustExec(t, conn, "ROLLBACK")
	if outcome := mustQuery[string](t, conn, "SELECT papayacove_outcome('prepared undone')"); outcome != "not committed" {
		t.Fatalf("got outcome %q, want not committed", outcome)
	}
}

// TestOperationKeyOfAPipelinedBlock sends a whole block in a pipeline with one Sync, twice under the same key.
func TestOperationKeyOfAPipelinedBlock(t *testing.T) {
	table := createTable(t, "pipelined_block", "name text")
	for attempt, want := range []string{"ready I", "error 23505"} {
		c := newRawClient(t, daemonNames()[attempt])
		c.send(&pgproto3.Query{String: "SET papayacove.operation_key = 'pipelined block'"})
		c.expect("SET", "ready I")
		for _, sql := range []string{"BEGIN", "INSERT INTO " + table + " VALUES ('a')", "COMMIT"} {
			c.frontend.Send(&pgproto3.Parse{Query: sql})
			c.frontend.Send(&pgproto3.Bind{})
			c.frontend.Send(&pgproto3.Execute{})
		}
		c.send(&pgproto3.Sync{})
		if got := c.readUntilReady(); got != want {
			t.Errorf("attempt %d: got %q, want %q", attempt, got, want)
		}
	}
	if n := mustQuery[int64](t, connect(t, daemonNames()[0], group), "SELECT count(*) FROM "+table); n != 1 {
		t.Fatalf("got %d rows, want 1", n)
	}
}

// TestOperationKeyBeforeAFlushIsRefused sends a Flush after a BEGIN under an operation key, which is not supported.
func TestOperationKeyBeforeAFlushIsRefused(t *testing.T) {
	c := newRawClient(t, daemonNames()[0])
	c.send(&pgproto3.Query{String: "SET papayacove.operation_key = 'flushed'"})
	c.expect("SET", "ready I")
	c.send(&pgproto3.Parse{Query: "BEGIN"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Flush{}, &pgproto3.Sync{})
	c.expect("error 0A000", "ready I")
}

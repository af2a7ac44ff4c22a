package e2e

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/standin/soak"
	"github.com/papayacove/papayacove/standin/workload"
)

// keyedWork is one way of doing the same work under an operation key.
type keyedWork struct {
	name string
	run  func(ctx context.Context, conn *pgx.Conn, insert string) error
}

func simple(sql string) func(ctx context.Context, conn *pgx.Conn, insert string) error {
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
	{"simple query", simple("")},
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

// TestOperationKeyRunsOnce repeats work under its key at another daemon.
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
				t.Fatalf("the work exists %d times", n)
			}
			if outcome := mustQuery[string](t, reader, "SELECT papayacove_outcome('"+key+"')"); outcome != "committed" {
				t.Fatalf("outcome %q", outcome)
			}
		})
	}
}

func TestOutcomeOfAnUnusedKey(t *testing.T) {
	throughEachDaemon(t, func(t *testing.T, daemon string) {
		conn := connect(t, daemon, group)
		if outcome := mustQuery[string](t, conn, "SELECT papayacove_outcome('unused')"); outcome != "not committed" {
			t.Fatalf("outcome %q", outcome)
		}
	})
}

// TestOperationKeyAfterAChangeOfPrimary repeats a key that the old primary committed.
func TestOperationKeyAfterAChangeOfPrimary(t *testing.T) {
	daemon := daemonNames()[3]
	conn := connect(t, daemon, failoverGroup)
	mustExec(t, conn, "CREATE TABLE keyed (name text)")
	mustExec(t, conn, "SET papayacove.operation_key = 'before'")
	mustExec(t, conn, "INSERT INTO keyed VALUES ('before')")
	spec, found := groupSpec(failoverGroup)
	if !found {
		t.Fatal("no group")
	}
	old := soak.PrimaryOf(shared, spec)
	shared.Targets[old].Kill()
	defer func() { _ = shared.Targets[old].Start() }()
	for deadline := time.Now().Add(eventually); ; {
		again := connect(t, daemon, failoverGroup)
		mustExec(t, again, "SET papayacove.operation_key = 'before'")
		_, err := again.Exec(testContext(t), "INSERT INTO keyed VALUES ('before')")
		if err == nil {
			t.Fatal("the work ran twice")
		}
		if workload.CodeOf(err) == result.AlreadyRan {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
}

package frontend

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/papayacove/papayacove/internal/credential"
)

func connect(t *testing.T, server *Server, extra string) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(context.Background(), "postgres://crew:pencil@"+server.Addr().String()+"/kelani.rounds?"+extra)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

func withPassword(t *testing.T) func(*Options) {
	verifier, err := credential.Make("pencil", credential.DefaultIterations, []byte("0123456789abcdef"))
	if err != nil {
		t.Fatal(err)
	}
	return func(o *Options) { o.Directory = fakeDirectory{"crew": verifier} }
}

func TestPgxTransactionWithPreparedStatements(t *testing.T) {
	ctx := context.Background()
	runner := newFakeRunner()
	conn := connect(t, startServer(t, runner, withPassword(t)), "sslmode=disable")
	tx, err := conn.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		var value string
		if err := tx.QueryRow(ctx, "SELECT v FROM cabinet WHERE name = $1", "c1").Scan(&value); err != nil {
			t.Fatal(err)
		}
		if value != "row" {
			t.Errorf("value = %q, want row", value)
		}
	}
	if err := tx.Commit(ctx); err != nil {
		t.Fatal(err)
	}
	last := runner.lastBatch(t)
	if !last.InTransaction || last.Access != "write" {
		t.Errorf("commit ran with in_transaction %v, access %s", last.InTransaction, last.Access)
	}
}

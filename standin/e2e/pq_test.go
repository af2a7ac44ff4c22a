package e2e

import (
	"database/sql"
	"errors"
	"testing"

	"github.com/lib/pq"
)

func openPQ(t *testing.T, daemon string) *sql.DB {
	t.Helper()
	db, err := sql.Open("postgres", connectURL(daemon, group, "crew"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = db.Close() })
	return db
}

func TestPQThroughEachDaemon(t *testing.T) {
	table := createTable(t, "pq_claims", "name text PRIMARY KEY, photo bytea, crew integer")
	throughEachDaemon(t, func(t *testing.T, daemon string) {
		ctx := testContext(t)
		db := openPQ(t, daemon)
		statement, err := db.PrepareContext(ctx, "INSERT INTO "+table+" VALUES ($1, $2, $3)")
		if err != nil {
			t.Fatal(err)
		}
		defer statement.Close()
		if _, err := statement.ExecContext(ctx, daemon, []byte{0, 255}, nil); err != nil {
			t.Fatal(err)
		}
		_, err = statement.ExecContext(ctx, daemon, nil, nil)
		var answer *pq.Error
		if !errors.As(err, &answer) || answer.Code != "23505" {
			t.Fatalf("INSERT of a duplicate name: got %v, want SQLSTATE 23505", err)
		}
		tx, err := db.BeginTx(ctx, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := tx.ExecContext(ctx, "UPDATE "+table+" SET crew = $1 WHERE name = $2", 3, daemon); err != nil {
			t.Fatal(err)
		}
		if err := tx.Commit(); err != nil {
			t.Fatal(err)
		}
		var crew sql.NullInt64
		var photo []byte
		row := db.QueryRowContext(ctx, "SELECT crew, photo FROM "+table+" WHERE name = $1", daemon)
		if err := row.Scan(&crew, &photo); err != nil || crew.Int64 != 3 || len(photo) != 2 {
			t.Fatalf("got crew %v, photo %v and error %v, want crew 3 and a photo of 2 bytes", crew, photo, err)
		}
	})
}

func TestPQReadOnlyTransaction(t *testing.T) {
	throughEachDaemon(t, func(t *testing.T, daemon string) {
		ctx := testContext(t)
		db := openPQ(t, daemon)
		tx, err := db.BeginTx(ctx, &sql.TxOptions{ReadOnly: true})
		if err != nil {
			t.Fatal(err)
		}
		var one int
		if err := tx.QueryRowContext(ctx, "SELECT 1").Scan(&one); err != nil {
			t.Fatal(err)
		}
		if err := tx.Commit(); err != nil {
			t.Fatal(err)
		}
	})
}

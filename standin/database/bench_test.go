package database

import (
	"context"
	"testing"
)

func BenchmarkInsert(b *testing.B) {
	conn := connectPGX(b, startTarget(b, Options{}))
	mustExec(b, conn, "CREATE TABLE t (id bigserial PRIMARY KEY, v text)")
	for b.Loop() {
		if _, err := conn.Exec(context.Background(), "INSERT INTO t (v) VALUES ($1)", "x"); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSelect(b *testing.B) {
	conn := connectPGX(b, startTarget(b, Options{}))
	mustExec(b, conn, "CREATE TABLE t (id bigint PRIMARY KEY, v text)")
	mustExec(b, conn, "INSERT INTO t VALUES (1, 'x')")
	var v string
	for b.Loop() {
		if err := conn.QueryRow(context.Background(), "SELECT v FROM t WHERE id = $1", 1).Scan(&v); err != nil {
			b.Fatal(err)
		}
	}
}

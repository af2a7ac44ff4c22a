package sqltext

import (
	"flag"
	"os"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests, so that each run checks the same cases.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestSplitKeepsSemicolonsInsideStrings(t *testing.T) {
	got := Split("INSERT INTO a VALUES ('x;y'); -- note;\n SELECT 1;;")
	want := []string{"INSERT INTO a VALUES ('x;y')", "-- note;\n SELECT 1"}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %q, want %q", got, want)
	}
}

func TestParseKinds(t *testing.T) {
	cases := map[string]Kind{
		"SELECT 1":                             KindRead,
		"with a as (select 1) select * from a": KindRead,
		"WITH a AS (DELETE FROM t RETURNING *) SELECT * FROM a": KindWrite,
		"UPDATE t SET a = 1":                 KindWrite,
		"create table t(a int)":              KindSchema,
		"START TRANSACTION READ ONLY":        KindBegin,
		"ROLLBACK TO SAVEPOINT a":            KindSavepoint,
		"abort":                              KindRollback,
		"SELECT * FROM target_status()":      KindStatus,
		"COPY t FROM STDIN":                  KindUnsupported,
		"SET LOCAL statement_timeout = '2s'": KindSet,
	}
	for sql, want := range cases {
		if got := Parse(sql).Kind; got != want {
			t.Errorf("%s: got kind %d, want %d", sql, got, want)
		}
	}
}

func TestTranslate(t *testing.T) {
	cases := map[string]string{
		"SELECT a::text FROM public.t WHERE b = $1::bigint":                                               "SELECT a FROM t WHERE b = ?1",
		"CREATE TABLE t (id bigserial PRIMARY KEY, at timestamptz NOT NULL DEFAULT now(), n varchar(20))": "CREATE TABLE t (id INTEGER PRIMARY KEY AUTOINCREMENT, at TIMESTAMPTZ NOT NULL DEFAULT (now()), n TEXT)",
		"CREATE TABLE t (id bigint GENERATED ALWAYS AS IDENTITY PRIMARY KEY, b bigint)":                   "CREATE TABLE t (id INTEGER PRIMARY KEY AUTOINCREMENT, b INT8)",
		"SELECT * FROM t WHERE id = ANY($1) AND b = 2":                                                    "SELECT * FROM t WHERE id IN (SELECT value FROM json_each(?1)) AND b = 2",
		"SELECT 1 FROM t FOR UPDATE":                                                                      "SELECT 1 FROM t ",
		"UPDATE t SET a = 1 WHERE id = (SELECT id FROM t FOR UPDATE SKIP LOCKED LIMIT 1) RETURNING id":    "UPDATE t SET a = 1 WHERE id = (SELECT id FROM t  LIMIT 1) RETURNING id",
		"TRUNCATE TABLE t": `DELETE FROM "t"`,
		"SELECT '$1::x'":   "SELECT '$1::x'",
	}
	for sql, want := range cases {
		if got := Parse(sql).SQL; got != want {
			t.Errorf("%s:\n got %s\nwant %s", sql, got, want)
		}
	}
}

func TestParameterHints(t *testing.T) {
	cases := map[string][]Hint{
		"INSERT INTO t (a, b) VALUES ($1, $2), ($3, now())": {{Column: "a"}, {Column: "b"}, {Column: "a"}},
		"UPDATE t SET a = $1, n = n + $2 WHERE t.b = $3":    {{Column: "a"}, {Column: "n"}, {Column: "b"}},
		"SELECT * FROM t WHERE a IN ($1, $2) LIMIT $3":      {{Column: "a"}, {Column: "a"}, {Type: "bigint"}},
		"SELECT * FROM t WHERE a BETWEEN $1 AND $2":         {{Column: "a"}, {Column: "a"}},
		"INSERT INTO t VALUES ($1, now(), $2)":              {{Ordinal: 1}, {Ordinal: 3}},
		"SELECT $1::double precision, $2":                   {{Type: "double precision"}, {}},
		"SELECT * FROM t WHERE a = ANY($1)":                 {{Column: "a", Array: true}},
	}
	for sql, want := range cases {
		if got := Parse(sql).Parameters; !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, want %+v", sql, got, want)
		}
	}
}

func TestColumnHints(t *testing.T) {
	cases := map[string][]Hint{
		"SELECT count(*), max(t.a) AS m, b FROM t":                  {{Type: "bigint"}, {Column: "a"}, {Column: "b"}},
		"SELECT 1, 'x', 2.5, a = 3, $2":                             {{Type: "integer"}, {Type: "text"}, {Type: "double precision"}, {Type: "boolean"}, {Parameter: 2}},
		"INSERT INTO t (a) VALUES (1) RETURNING id":                 {{Column: "id"}},
		"SELECT sum(share), CASE WHEN a THEN 'x' ELSE b END FROM t": {{Column: "share", Sum: true}, {Type: "text"}},
		"SELECT * FROM t": nil,
	}
	for sql, want := range cases {
		if got := Parse(sql).Columns; !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, want %+v", sql, got, want)
		}
	}
}

func TestSetValues(t *testing.T) {
	s := Parse("SET LOCAL papayacove.operation_key TO 'a''b'")
	if !s.Local || s.Setting != "papayacove.operation_key" || s.Value != "a'b" {
		t.Fatalf("statement: got %+v, want local setting papayacove.operation_key with value a'b", s)
	}
}

// Split and Parse accept any sequence of tokens without a panic.
func TestParseAcceptsAnyText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		words := rapid.SliceOf(rapid.SampledFrom([]string{
			"select", "insert", "into", "values", "(", ")", ",", "$1", "::", "a", "'x", "\"", "generate_series",
			"any", "=", "default", "for", "update", "create", "table", "in", "between", "and", "truncate", "set", "--", "/*",
		})).Draw(t, "words")
		sql := ""
		for _, w := range words {
			sql += w + " "
		}
		for _, statement := range Split(sql) {
			Parse(statement)
		}
		Parse(sql)
	})
}

package frontend

import (
	"strings"
	"testing"

	"github.com/papayacove/papayacove/api"
	"pgregory.net/rapid"
)

func TestClassifyAccess(t *testing.T) {
	const read, write = api.ExecuteRequestAccessRead, api.ExecuteRequestAccessWrite
	for text, want := range map[string]api.ExecuteRequestAccess{
		"":                  read,
		";;":                read,
		"-- only a comment": read,
		"SELECT 1":          read,
		" /* a /* nested */ b */ select 1; table t ; values (1)":    read,
		"(SELECT 1) UNION (SELECT 2)":                               read,
		"SHOW transaction_read_only":                                write,
		"SELECT pg_is_in_recovery()":                                write,
		"SHOW TimeZone":                                             read,
		"EXPLAIN SELECT 1":                                          read,
		"EXPLAIN (ANALYZE) DELETE FROM t":                           write,
		"EXPLAIN ANALYZE DELETE FROM t":                             write,
		"WITH a AS (SELECT 1) SELECT * FROM a":                      read,
		"WITH a AS (DELETE FROM t RETURNING *) SELECT * FROM a":     write,
		`WITH a AS (SELECT 1) SELECT "delete" FROM a`:               read,
		"WITH a AS (SELECT 1) SELECT 'insert' FROM a":               read,
		"SELECT * FROM t FOR UPDATE":                                write,
		"SELECT * FROM t FOR NO KEY UPDATE":                         write,
		"SELECT * FROM t FOR SHARE":                                 write,
		"SELECT substring(a FROM 1 FOR 2) FROM t":                   read,
		"SELECT 'FOR UPDATE'":                                       read,
		"SELECT 1 INTO t":                                           write,
		"SELECT nextval('s')":                                       write,
		"SELECT pg_advisory_xact_lock(1)":                           write,
		"SELECT 1; UPDATE t SET a = 1":                              write,
		"INSERT INTO t SELECT 1":                                    write,
		"BEGIN":                                                     write,
		"BEGIN READ ONLY":                                           read,
		"START TRANSACTION ISOLATION LEVEL SERIALIZABLE, READ ONLY": read,
		"BEGIN READ WRITE":                                          write,
		"CALL p()":                                                  write,
		"SELECT $a$ FOR UPDATE $a$":                                 read,
		"SELECT E'\\' FOR UPDATE'":                                  read,
		"SELECT set_config('work_mem', '1MB', true)":                read,
	} {
		q := classify(text)
		if got := q.access(); got != want || q.refusal() != "" {
			t.Errorf("classify(%q) = %s, refusal %q; want %s", text, got, q.refusal(), want)
		}
	}
}

func TestClassifyRefusesConnectionBoundStatements(t *testing.T) {
	for _, text := range []string{
		"LISTEN a",
		"NOTIFY a",
		"UNLISTEN a",
		"SELECT pg_notify('a', 'b')",
		"PREPARE p AS SELECT 1",
		"EXECUTE p",
		"COPY t FROM STDIN",
		"LOAD 'auto_explain'",
		"CREATE TEMP TABLE t (a int)",
		"CREATE LOCAL TEMPORARY TABLE t (a int)",
		"SELECT 1 INTO TEMP t",
		"DECLARE c CURSOR WITH HOLD FOR SELECT 1",
		"SELECT pg_advisory_lock(1)",
		"SELECT 1; /* c */ select pg_try_advisory_lock (1)",
		"SET work_mem = '1MB'; SELECT 1",
		"SELECT 1, set_config('a.b', 'c', false)",
		"SELECT set_config('a.b', set_config('c.d', 'e', true), false)",
		"SET LOCAL papayacove.max_staleness = '1s'",
	} {
		if classify(text).refusal() == "" {
			t.Errorf("classify(%q): no refusal, want one", text)
		}
	}
}

func TestClassifyRefusesTheOperationTable(t *testing.T) {
	for _, text := range []string{
		"SELECT * FROM papayacove_operation",
		`DELETE FROM public."papayacove_operation"`,
		"SELECT 1; TABLE PapayaCove_Operation",
		"DO $$ BEGIN DELETE FROM papayacove_operation; END $$",
		"SELECT query_to_xml('SELECT * FROM papayacove_operation', true, true, '')",
		`SELECT * FROM U&"papayacove\005foperation"`,
	} {
		if classify(text).refusal() == "" {
			t.Errorf("classify(%q): no refusal, want one", text)
		}
	}
	for _, text := range []string{"SELECT a&\"b\" FROM t", "SELECT papayacove_outcome('a')", "SELECT u & \"b\" FROM t"} {
		if reason := classify(text).refusal(); reason != "" {
			t.Errorf("classify(%q): refusal = %q, want none", text, reason)
		}
	}
}

func TestClassifyBlockEffect(t *testing.T) {
	for text, want := range map[string]blockEffect{
		"BEGIN":                        blockBegins,
		"START TRANSACTION":            blockBegins,
		"COMMIT":                       blockEnds,
		"END":                          blockEnds,
		"ABORT":                        blockEnds,
		"ROLLBACK":                     blockEnds,
		"ROLLBACK TO a":                blockKept,
		"ROLLBACK WORK TO SAVEPOINT a": blockKept,
		"COMMIT AND CHAIN":             blockKept,
		"COMMIT AND NO CHAIN":          blockEnds,
		"ROLLBACK PREPARED 'a'":        blockKept,
		"SAVEPOINT a":                  blockKept,
		"CREATE FUNCTION f() RETURNS int BEGIN ATOMIC SELECT CASE WHEN true THEN 1 END; END": blockKept,
	} {
		q := classify(text)
		if len(q.statements) != 1 || q.statements[0].block != want {
			t.Errorf("classify(%q) = %+v, want one statement with effect %d", text, q.statements, want)
		}
	}
}

func TestHintsOfLeadingComment(t *testing.T) {
	h := classify("/* papayacove operation_key=abc max_staleness=250ms */ INSERT INTO t VALUES (1)").hints
	if h.operationKey != "abc" || !h.hasMaxAge || h.maxAge.Milliseconds() != 250 || h.err != nil {
		t.Errorf("hints = %+v, want operation key abc and maximum age 250ms", h)
	}
	if h := classify("/* papayacove max_staleness=soon */ SELECT 1").hints; h.err == nil {
		t.Error("malformed max_staleness: no error, want one")
	}
	if h := classify("/* other operation_key=abc */ SELECT 1").hints; h.operationKey != "" {
		t.Error("comment of another program: got an operation key, want none")
	}
}

// TestQuotedKeywordsAreIgnored puts text that would change the classification into every kind of quote,
// in which it must have no effect.
func TestQuotedKeywordsAreIgnored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hidden := rapid.SampledFrom([]string{"; COPY t FROM STDIN", "FOR UPDATE", "; SET a.b = 1", "/* ", "-- ", "$x$"}).Draw(t, "hidden")
		quote := rapid.SampledFrom([][2]string{{"'", "'"}, {`"`, `"`}, {"$q$", "$q$"}, {"E'\\'", "'"}}).Draw(t, "quote")
		text := "SELECT " + quote[0] + hidden + quote[1] + " FROM t"
		q := classify(text)
		if len(q.statements) != 1 || q.refusal() != "" || q.access() != api.ExecuteRequestAccessRead {
			t.Fatalf("classify(%q) = %+v, want one read statement without a refusal", text, q)
		}
	})
}

func FuzzClassify(f *testing.F) {
	for _, seed := range []string{
		"SELECT 1", "SET a = 'b'", "'", `"`, "/*", "--", "$a$", "$1", "E'\\", ";", "(;", "SET", "RESET", "SHOW papayacove.",
		"SELECT set_config(", "DEALLOCATE", "DISCARD", "SET TIME ZONE", "SET papayacove.max_staleness = -", "\xff\x00",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		checkTokens(t, text)
		q := classify(text)
		for i := range q.statements {
			s := &q.statements[i]
			if s.kind == kindSet || s.kind == kindReset || s.kind == kindSetConfig {
				_, _ = parseAssignments(s)
			}
			_ = s.resultColumn()
		}
	})
}

// checkTokens verifies that tokens do not overlap and that only white space lies between them.
func checkTokens(t *testing.T, text string) {
	tokens := tokenizer{text: text}
	end := 0
	for {
		next := tokens.next()
		if strings.Trim(text[end:next.start], " \t\n\r\f\v") != "" || next.end < next.start {
			t.Fatalf("token %+v of %q: want it after offset %d and only white space between", next, text, end)
		}
		end = next.end
		if next.kind == tokenEnd {
			return
		}
	}
}

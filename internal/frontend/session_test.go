package frontend

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
)

func expectQuery(t *testing.T, c *client, text, want string) {
	t.Helper()
	if got := c.query(text); got != want {
		t.Errorf("%s: answers = %q, want %q", text, got, want)
	}
}

func TestRefusalEndsTheTransaction(t *testing.T) {
	runner := newFakeRunner()
	c := dial(t, startServer(t, runner, nil), nil)
	expectQuery(t, c, "BEGIN", "columns done:BEGIN ready:T")
	expectQuery(t, c, "SET work_mem = '1MB'", "error:0A000 ready:E")
	if last := runner.lastBatch(t); !last.InTransaction || !strings.Contains(string(last.Messages), "ROLLBACK") {
		t.Errorf("the last batch is %q, want a rollback", last.Messages)
	}
	count := len(runner.recorded())
	expectQuery(t, c, "INSERT INTO t VALUES (1)", "error:25P02 ready:E")
	c.expect("error:25P02 ready:E", parse("", "INSERT INTO t VALUES (1)"), bind(""), execute(), syncAll())
	expectQuery(t, c, "", "other ready:E")
	expectQuery(t, c, "COMMIT", "done:ROLLBACK ready:I")
	if len(runner.recorded()) != count {
		t.Error("a statement of a lost transaction was passed on")
	}
	expectQuery(t, c, "SELECT 1", "columns row:row done:SELECT ready:I")
}

func TestLostTransactionMustBeEndedByTheCaller(t *testing.T) {
	runner := newFakeRunner()
	c := dial(t, startServer(t, runner, nil), nil)
	runner.fail = func(b *Batch) *result.Error {
		if strings.Contains(string(b.Messages), "INSERT") {
			return result.Errorf(result.TransactionLost, "lost").WithRetryAfter(200 * time.Millisecond)
		}
		return nil
	}
	c.query("BEGIN")
	c.send(&pgproto3.Query{String: "INSERT INTO t VALUES (1)"})
	failed, ok := c.receive().(*pgproto3.ErrorResponse)
	if !ok || failed.Code != "40001" || failed.Hint != "retry after 200 ms" || failed.Message != "papayacove 3002 transaction_lost: lost" {
		t.Errorf("error = %+v", failed)
	}
	if got := c.answers(); got != "ready:E" {
		t.Errorf("answers = %q, want ready:E", got)
	}
	c.expect("parsed bound nodata done:ROLLBACK ready:I", parse("", "ROLLBACK"), bind(""),
		&pgproto3.Describe{ObjectType: objectPortal}, execute(), syncAll())
}

func TestFailedCommitLeavesNoBlock(t *testing.T) {
	runner := newFakeRunner()
	c := dial(t, startServer(t, runner, nil), nil)
	c.query("BEGIN")
	runner.fail = func(*Batch) *result.Error { return result.Errorf(result.OutcomeUnknown, "no confirmation") }
	expectQuery(t, c, "COMMIT", "error:08007 ready:I")
}

func TestSettingsFollowTheSession(t *testing.T) {
	runner := newFakeRunner()
	c := dial(t, startServer(t, runner, nil), map[string]string{"options": "-c papayacove.max_staleness=2s"})
	expectQuery(t, c, "SET TimeZone = 'Europe/Vienna'", "done:SET TimeZone=Europe/Vienna ready:I")
	expectQuery(t, c, "SET datestyle = german", "done:SET DateStyle=German, DMY ready:I")
	expectQuery(t, c, "SELECT 1", "columns row:row done:SELECT ready:I")
	batch := runner.lastBatch(t)
	if len(batch.Settings) != 2 || batch.MaxAge != 2*time.Second || batch.Access != api.ExecuteRequestAccessRead {
		t.Errorf("batch = %+v", batch)
	}
	expectQuery(t, c, "SET papayacove.max_staleness = off", "done:SET ready:I")
	c.query("/* papayacove max_staleness=1s */ SELECT 1")
	if batch := runner.lastBatch(t); batch.MaxAge != time.Second {
		t.Errorf("max age = %v, want 1s", batch.MaxAge)
	}
	expectQuery(t, c, "SHOW papayacove.max_staleness", "columns row:off done:SHOW ready:I")
	expectQuery(t, c, "SET jit = off; SET ROLE a", "error:0A000 ready:I")
	expectQuery(t, c, "DISCARD ALL", "done:DISCARD ALL DateStyle=ISO, MDY TimeZone=UTC ready:I")
	c.query("SELECT 1")
	if settings := runner.lastBatch(t).Settings; len(settings) != 0 {
		t.Errorf("settings = %v, want none", settings)
	}
}

func TestReadOnlyBlockKeepsItsAccess(t *testing.T) {
	runner := newFakeRunner()
	c := dial(t, startServer(t, runner, nil), nil)
	c.query("SET default_transaction_read_only = on")
	c.query("BEGIN")
	c.query("UPDATE t SET a = 1")
	if batch := runner.lastBatch(t); batch.Access != api.ExecuteRequestAccessRead || !batch.InTransaction {
		t.Errorf("batch = %+v", batch)
	}
	c.query("ROLLBACK")
	c.query("BEGIN READ WRITE")
	if batch := runner.lastBatch(t); batch.Access != api.ExecuteRequestAccessWrite {
		t.Error("BEGIN READ WRITE ran as a read")
	}
}

func TestOperationKeyIsUsedOnce(t *testing.T) {
	runner := newFakeRunner()
	c := dial(t, startServer(t, runner, nil), nil)
	c.query("SET papayacove.operation_key = 'claim-0'")
	c.query("SELECT claim(5)")
	if batch := runner.lastBatch(t); batch.OperationKey != "claim-0" || batch.Access != api.ExecuteRequestAccessWrite {
		t.Errorf("a function that may write ran with key %q, access %s", batch.OperationKey, batch.Access)
	}
	c.query("SET papayacove.operation_key = 'claim-1'")
	for _, text := range []string{"SHOW TimeZone", "BEGIN READ ONLY", "SELECT 1", "COMMIT"} {
		c.query(text)
		if key := runner.lastBatch(t).OperationKey; key != "" {
			t.Errorf("%s used the key", text)
		}
	}
	c.expect("parsed ready:I", parse("s", "INSERT INTO t VALUES (1)"), syncAll())
	c.expect("bound row:row done:INSERT ready:I", bind("s"), execute(), syncAll())
	if key := runner.lastBatch(t).OperationKey; key != "claim-1" {
		t.Errorf("key = %q, want claim-1", key)
	}
	c.query("INSERT INTO t VALUES (2)")
	if key := runner.lastBatch(t).OperationKey; key != "" {
		t.Errorf("the key was used again: %q", key)
	}
	c.query("/* papayacove operation_key=claim-2 */ INSERT INTO t VALUES (3)")
	if key := runner.lastBatch(t).OperationKey; key != "claim-2" {
		t.Errorf("key = %q, want claim-2", key)
	}
	for _, text := range []string{
		"/* papayacove operation_key=k */ SHOW TimeZone",
		"/* papayacove operation_key=k */ BEGIN READ ONLY",
		"SELECT 1; /* papayacove operation_key=k */ INSERT INTO t VALUES (4)",
		"INSERT /* papayacove operation_key=k */ INTO t VALUES (4)",
	} {
		expectQuery(t, c, text, "error:0A000 ready:I")
	}
	expectQuery(t, c, "SHOW papayacove.outcome", "columns row:committed done:SHOW ready:I")
	expectQuery(t, c, "SELECT papayacove_outcome('o''clock')", "columns row:committed done:SELECT 1 ready:I")
	asked := string(runner.lastBatch(t).Messages)
	if !strings.Contains(asked, "workspace = 'kelani' AND operation_key = 'o''clock'") {
		t.Errorf("the outcome was asked with %q", asked)
	}
}

func TestBadInputEndsOneSession(t *testing.T) {
	runner := newFakeRunner()
	server := startServer(t, runner, func(o *Options) { o.Limits.MaxMessageBytes = 1000 })
	other := dial(t, server, nil)
	for name, test := range map[string]struct {
		input string
		code  string
	}{
		"unknown type":    {"z\x00\x00\x00\x04", "08P01"},
		"length below 4":  {"Q\x00\x00\x00\x03", "08P01"},
		"oversized":       {"Q\x7f\x00\x00\x00", "54000"},
		"query":           {"Q\x00\x00\x00\x07a\x00b", "08P01"},
		"truncated parse": {"P\x00\x00\x00\x06a\x00", "08P01"},
		"truncated bind":  {"B\x00\x00\x00\x06\x00\x00", "08P01"},
		"describe":        {"D\x00\x00\x00\x06Z\x00", "08P01"},
	} {
		c := dial(t, server, nil)
		if _, err := c.conn.Write([]byte(test.input)); err != nil {
			t.Fatal(err)
		}
		failed, ok := c.receive().(*pgproto3.ErrorResponse)
		if !ok || failed.Code != test.code || failed.Severity != severityFatal {
			t.Errorf("%s: answer = %+v, want %s", name, failed, test.code)
		}
		if _, err := c.Receive(); err == nil {
			t.Errorf("%s: the session goes on", name)
		}
	}
	expectQuery(t, other, "SELECT 1", "columns row:row done:SELECT ready:I")
}

func TestLongPipelineIsRefused(t *testing.T) {
	server := startServer(t, newFakeRunner(), func(o *Options) { o.Limits.MaxMessageBytes = 1000 })
	c := dial(t, server, nil)
	long := parse("", "SELECT '"+strings.Repeat("a", 600)+"'")
	c.expect("error:54000 ready:I", long, bind(""), execute(), long, bind(""), execute(), syncAll())
	expectQuery(t, c, "SELECT 1", "columns row:row done:SELECT ready:I")
}

func TestCopyDataAfterRefusalIsSkipped(t *testing.T) {
	c := dial(t, startServer(t, newFakeRunner(), nil), nil)
	c.send(&pgproto3.Query{String: "COPY t FROM STDIN"}, &pgproto3.CopyData{Data: []byte("1")}, &pgproto3.CopyDone{})
	if got := c.answers(); got != "error:0A000 ready:I" {
		t.Errorf("answers = %q", got)
	}
	expectQuery(t, c, "SELECT 1", "columns row:row done:SELECT ready:I")
}

func TestIdleTransactionEnds(t *testing.T) {
	runner := newFakeRunner()
	c := dial(t, startServer(t, runner, func(o *Options) { o.Limits.IdleTransactionTimeoutMs = 20 }), nil)
	c.query("BEGIN")
	failed, ok := c.receive().(*pgproto3.ErrorResponse)
	if !ok || failed.Code != sqlStateIdleInTransaction {
		t.Errorf("answer = %+v, want %s", failed, sqlStateIdleInTransaction)
	}
	if runner.closedSessions() != 1 {
		t.Error("the transaction was not given up")
	}
}

func TestVanishedCallerCancelsItsBatch(t *testing.T) {
	runner := newFakeRunner()
	runner.hold = make(chan struct{})
	c := dial(t, startServer(t, runner, nil), nil)
	c.send(&pgproto3.Query{String: "SELECT 1"})
	<-runner.running
	c.conn.Close()
	waitFor(t, func() bool { return runner.closedSessions() == 1 })
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for !condition() {
		if ctx.Err() != nil {
			t.Fatal("the condition did not come true within a minute")
		}
		time.Sleep(time.Millisecond)
	}
}

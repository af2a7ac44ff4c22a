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

func TestRefusalFailsTheTransaction(t *testing.T) {
	runner := newFakeRunner()
	c := dial(t, startServer(t, runner, nil), nil)
	c.expectQuery("BEGIN", "columns done:BEGIN ready:T")
	c.expectQuery("SET work_mem = '1MB'", "error:0A000 ready:E")
	if last := runner.lastBatch(t); !last.InTransaction || !strings.Contains(string(last.Messages), "ROLLBACK") {
		t.Errorf("last batch = %q, want a rollback in the transaction", last.Messages)
	}
	count := len(runner.recorded())
	c.expectQuery("INSERT INTO t VALUES (1)", "error:25P02 ready:E")
	c.expect("error:25P02 ready:E", parse("", "INSERT INTO t VALUES (1)"), bind(""), execute(), syncAll())
	c.expectQuery("", "other ready:E")
	c.expectQuery("COMMIT", "done:ROLLBACK ready:I")
	if len(runner.recorded()) != count {
		t.Error("a statement of a lost transaction was forwarded, want none")
	}
	c.expectQuery("SELECT 1", "columns row:row done:SELECT ready:I")
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
		t.Errorf("error = %+v, want code 40001 with hint and message of a lost transaction", failed)
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
	c.expectQuery("COMMIT", "error:08007 ready:I")
}

func TestSettingsAreSentWithEachBatch(t *testing.T) {
	runner := newFakeRunner()
	c := dial(t, startServer(t, runner, nil), map[string]string{"options": "-c papayacove.max_staleness=2s"})
	c.expectQuery("SET TimeZone = 'Europe/Vienna'", "done:SET TimeZone=Europe/Vienna ready:I")
	c.expectQuery("SET datestyle = german", "done:SET DateStyle=German, DMY ready:I")
	c.expectQuery("SELECT 1", "columns row:row done:SELECT ready:I")
	batch := runner.lastBatch(t)
	if len(batch.Settings) != 2 || batch.MaxAge != 2*time.Second || batch.Access != api.ExecuteRequestAccessRead {
		t.Errorf("batch = %+v, want a read with two settings and maximum age 2s", batch)
	}
	c.expectQuery("SET papayacove.max_staleness = off", "done:SET ready:I")
	c.query("/* papayacove max_staleness=1s */ SELECT 1")
	if batch := runner.lastBatch(t); batch.MaxAge != time.Second {
		t.Errorf("max age = %v, want 1s", batch.MaxAge)
	}
	c.expectQuery("SHOW papayacove.max_staleness", "columns row:off done:SHOW ready:I")
	c.expectQuery("SET jit = off; SET ROLE a", "error:0A000 ready:I")
	c.expectQuery("DISCARD ALL", "done:DISCARD ALL DateStyle=ISO, MDY TimeZone=UTC ready:I")
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
		t.Errorf("batch = %+v, want a read in a transaction", batch)
	}
	c.query("ROLLBACK")
	c.query("BEGIN READ WRITE")
	if batch := runner.lastBatch(t); batch.Access != api.ExecuteRequestAccessWrite {
		t.Error("BEGIN READ WRITE: access is not write, want write")
	}
}

func TestOperationKeyIsUsedOnce(t *testing.T) {
	runner := newFakeRunner()
	c := dial(t, startServer(t, runner, nil), nil)
	c.query("SET papayacove.operation_key = 'claim-0'")
	c.query("SELECT claim(5)")
	if batch := runner.lastBatch(t); batch.OperationKey != "claim-0" || batch.Access != api.ExecuteRequestAccessWrite {
		t.Errorf("SELECT of a function: key = %q, access = %s; want claim-0, write", batch.OperationKey, batch.Access)
	}
	c.query("SET papayacove.operation_key = 'claim-1'")
	for _, text := range []string{"SHOW TimeZone", "BEGIN READ ONLY", "SELECT 1", "COMMIT"} {
		c.query(text)
		if key := runner.lastBatch(t).OperationKey; key != "" {
			t.Errorf("%s: got the operation key, want none", text)
		}
	}
	c.expect("parsed ready:I", parse("s", "INSERT INTO t VALUES (1)"), syncAll())
	c.expect("bound row:row done:INSERT ready:I", bind("s"), execute(), syncAll())
	if key := runner.lastBatch(t).OperationKey; key != "claim-1" {
		t.Errorf("key = %q, want claim-1", key)
	}
	c.query("INSERT INTO t VALUES (2)")
	if key := runner.lastBatch(t).OperationKey; key != "" {
		t.Errorf("second write: key = %q, want none", key)
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
		c.expectQuery(text, "error:0A000 ready:I")
	}
	c.expectQuery("SHOW papayacove.outcome", "columns row:committed done:SHOW ready:I")
	c.expectQuery("SELECT papayacove_outcome('o''clock')", "columns row:committed done:SELECT 1 ready:I")
	asked := string(runner.lastBatch(t).Messages)
	if !strings.Contains(asked, "workspace = 'kelani' AND operation_key = 'o''clock'") {
		t.Errorf("query of the outcome = %q, want workspace kelani and the quoted key", asked)
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
			t.Errorf("%s: answer = %+v, want a fatal error with code %s", name, failed, test.code)
		}
		if _, err := c.Receive(); err == nil {
			t.Errorf("%s: the session continues after the error, want it closed", name)
		}
	}
	other.expectQuery("SELECT 1", "columns row:row done:SELECT ready:I")
}

func TestLongPipelineIsRefused(t *testing.T) {
	server := startServer(t, newFakeRunner(), func(o *Options) { o.Limits.MaxMessageBytes = 1000 })
	c := dial(t, server, nil)
	long := parse("", "SELECT '"+strings.Repeat("a", 600)+"'")
	c.expect("error:54000 ready:I", long, bind(""), execute(), long, bind(""), execute(), syncAll())
	c.expectQuery("SELECT 1", "columns row:row done:SELECT ready:I")
}

func TestCopyDataAfterRefusalIsSkipped(t *testing.T) {
	c := dial(t, startServer(t, newFakeRunner(), nil), nil)
	c.send(&pgproto3.Query{String: "COPY t FROM STDIN"}, &pgproto3.CopyData{Data: []byte("1")}, &pgproto3.CopyDone{})
	if got := c.answers(); got != "error:0A000 ready:I" {
		t.Errorf("answers = %q, want one refusal", got)
	}
	c.expectQuery("SELECT 1", "columns row:row done:SELECT ready:I")
}

func TestIdleTransactionTimesOut(t *testing.T) {
	runner := newFakeRunner()
	c := dial(t, startServer(t, runner, func(o *Options) { o.Limits.IdleTransactionTimeoutMs = 20 }), nil)
	c.query("BEGIN")
	failed, ok := c.receive().(*pgproto3.ErrorResponse)
	if !ok || failed.Code != sqlStateIdleInTransaction {
		t.Errorf("answer = %+v, want code %s", failed, sqlStateIdleInTransaction)
	}
	if runner.closedSessions() != 1 {
		t.Error("the session with an idle transaction was not closed, want it closed")
	}
}

func TestDisconnectedCallerCancelsItsBatch(t *testing.T) {
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
			t.Fatal("the condition was not met within one minute")
		}
		time.Sleep(time.Millisecond)
	}
}

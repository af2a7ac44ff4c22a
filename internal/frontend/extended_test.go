package frontend

import (
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
)

// The functions below construct messages of the extended protocol.
func parse(name, query string) *pgproto3.Parse { return &pgproto3.Parse{Name: name, Query: query} }
func bind(name string) *pgproto3.Bind          { return &pgproto3.Bind{PreparedStatement: name} }
func execute() *pgproto3.Execute               { return &pgproto3.Execute{} }
func syncAll() *pgproto3.Sync                  { return &pgproto3.Sync{} }
func closeStatement(name string) *pgproto3.Close {
	return &pgproto3.Close{ObjectType: objectStatement, Name: name}
}
func describeStatement(name string) *pgproto3.Describe {
	return &pgproto3.Describe{ObjectType: objectStatement, Name: name}
}

func (c *client) expect(want string, messages ...pgproto3.FrontendMessage) {
	c.t.Helper()
	c.send(messages...)
	if got := c.answers(); got != want {
		c.t.Errorf("answers = %q, want %q", got, want)
	}
}

func (c *client) expectQuery(text, want string) {
	c.t.Helper()
	c.expect(want, &pgproto3.Query{String: text})
}

func TestNamedStatementIsListedForLaterBatches(t *testing.T) {
	runner := newFakeRunner()
	c := dial(t, startServer(t, runner, nil), nil)
	c.expect("parsed parameters columns ready:I", parse("s1", "SELECT v FROM t"), describeStatement("s1"), syncAll())
	if prepared := runner.lastBatch(t).Prepared; len(prepared) != 0 {
		t.Errorf("batch with the Parse: prepared = %v, want none", prepared)
	}
	c.expect("bound row:row done:SELECT ready:I", bind("s1"), execute(), syncAll())
	batch := runner.lastBatch(t)
	if len(batch.Prepared) != 1 || batch.Prepared[0].Query != "SELECT v FROM t" || batch.Access != api.ExecuteRequestAccessRead {
		t.Errorf("batch = %+v, want a read that needs the statement", batch)
	}
	if !strings.HasPrefix(batch.Prepared[0].Name, derivedPrefix) {
		t.Errorf("name on targets = %q, want the derived prefix", batch.Prepared[0].Name)
	}
	c.expect("error:42P05 ready:I", parse("s1", "SELECT w"), syncAll())
	c.expect("closed ready:I", closeStatement("s1"), syncAll())
	c.expect("error:26000 ready:I", bind("s1"), execute(), syncAll())
}

func TestUnnamedStatementOutlivesItsBatch(t *testing.T) {
	runner := newFakeRunner()
	c := dial(t, startServer(t, runner, nil), nil)
	c.expect("parsed parameters columns ready:I", parse("", "INSERT INTO t VALUES (1)"), describeStatement(""), syncAll())
	c.expect("bound row:row done:INSERT ready:I", bind(""), execute(), syncAll())
	if batch := runner.lastBatch(t); len(batch.Prepared) != 1 || batch.Access != api.ExecuteRequestAccessWrite {
		t.Errorf("batch = %+v, want a write that needs one statement", batch)
	}
	c.query("SELECT 1")
	c.expect("error:26000 ready:I", bind(""), execute(), syncAll())
}

func TestFlushAfterPreparationLeavesNothingOpen(t *testing.T) {
	runner := newFakeRunner()
	c := dial(t, startServer(t, runner, nil), nil)
	c.send(parse("s1", "SELECT v"), describeStatement("s1"), &pgproto3.Flush{})
	for _, want := range []string{"parsed", "parameters", "columns"} {
		if got := describe(c.receive()); got != want {
			t.Fatalf("answer = %s, want %s", got, want)
		}
	}
	c.expect("bound row:row done:SELECT ready:I", bind("s1"), execute(), syncAll())
	if batch := runner.lastBatch(t); batch.InTransaction {
		t.Error("batch after the preparation: in transaction, want no open pipeline")
	}
	c.send(bind("s1"), execute(), &pgproto3.Flush{})
	for range 3 {
		c.receive()
	}
	if batch := runner.lastBatch(t); batch.Access != api.ExecuteRequestAccessWrite {
		t.Error("batch of an open pipeline: access is not write, want write")
	}
	c.expect("ready:I", syncAll())
	if batch := runner.lastBatch(t); !batch.InTransaction {
		t.Error("the Sync of an open pipeline was not forwarded in the pipeline")
	}
}

func TestErrorSkipsToSync(t *testing.T) {
	runner := newFakeRunner()
	c := dial(t, startServer(t, runner, nil), nil)
	c.expect("error:0A000 ready:I", parse("", "SELECT 1"), bind(""), execute(),
		parse("", "LISTEN a"), bind(""), execute(), parse("", "SELECT 2"), &pgproto3.Flush{}, syncAll())
	if batches := runner.recorded(); len(batches) != 0 {
		t.Errorf("refused pipeline: got %d batches, want none", len(batches))
	}
	c.expect("ready:I", syncAll())
	runner.fail = func(*Batch) *result.Error { return result.Errorf(result.NotRunNoPrimary, "none") }
	c.expect("error:57P03 ready:I", parse("", "SELECT 1"), bind(""), execute(), syncAll())
}

func TestRefusalInOpenPipelineRollsBack(t *testing.T) {
	runner := newFakeRunner()
	c := dial(t, startServer(t, runner, nil), nil)
	c.send(parse("", "INSERT INTO t VALUES (1)"), bind(""), execute(), &pgproto3.Flush{})
	for range 4 {
		c.receive()
	}
	c.expect("error:0A000 ready:I", parse("", "COPY t FROM STDIN"), bind(""), execute(), syncAll())
	if last := runner.lastBatch(t); !strings.Contains(string(last.Messages), "ROLLBACK") {
		t.Errorf("last batch = %q, want a rollback", last.Messages)
	}
}

func TestLocalStatementsInExtendedProtocol(t *testing.T) {
	runner := newFakeRunner()
	c := dial(t, startServer(t, runner, nil), nil)
	c.expect("parsed bound nodata done:SET application_name=rounds ready:I",
		parse("", "SET application_name = rounds"), bind(""),
		&pgproto3.Describe{ObjectType: objectPortal}, execute(), syncAll())
	c.expect("parsed parameters columns ready:I", parse("p", "SHOW papayacove.position"), describeStatement("p"), syncAll())
	c.expect("bound row:3/42 done:SHOW ready:I", bind("p"), execute(), syncAll())
	c.expect("parsed bound done:SET parsed bound error:0A000 ready:I", parse("", "SET jit = off"), bind(""), execute(),
		parse("", "SELECT set_config('jit', lower('off'), false)"), bind(""), execute(), syncAll())
	if len(runner.recorded()) != 0 {
		t.Error("got batches for statements that the frontend answers, want none")
	}
	c.query("SELECT 1")
	if settings := runner.lastBatch(t).Settings; len(settings) != 1 || settings[0].Value != "rounds" {
		t.Errorf("settings = %v, want only application_name", settings)
	}
}

func TestQueryCannotEndALocalPipeline(t *testing.T) {
	runner := newFakeRunner()
	c := dial(t, startServer(t, runner, nil), nil)
	c.expect("error:0A000 ready:I", parse("", "SET jit = off"), bind(""), execute(), &pgproto3.Query{String: "SELECT 1"})
	c.send(parse("", "SELECT 1"), bind(""), execute(), &pgproto3.Flush{})
	for range 4 {
		c.receive()
	}
	c.expect("error:0A000 ready:I", parse("", "SET jit = off"), bind(""), execute(), syncAll())
	for _, batch := range runner.recorded() {
		if strings.Contains(string(batch.Messages), "SET jit") {
			t.Error("a SET was forwarded, want no batch with it")
		}
	}
}

func TestPreparedStatementsChangeOnlyWhenAnswered(t *testing.T) {
	runner := newFakeRunner()
	c := dial(t, startServer(t, runner, nil), nil)
	c.expect("parsed ready:I", parse("kept", "SELECT 1"), syncAll())
	runner.fail = func(*Batch) *result.Error { return result.Errorf(result.NotRunNoPrimary, "none") }
	c.expect("error:57P03 ready:I", closeStatement("kept"), parse("lost", "SELECT 2"), syncAll())
	runner.fail = nil
	c.expect("bound row:row done:SELECT ready:I", bind("kept"), execute(), syncAll())
	c.expect("error:26000 ready:I", bind("lost"), execute(), syncAll())
	c.expect("error:0A000 ready:I", closeStatement("kept"), parse("lost", "LISTEN a"), syncAll())
	c.expect("bound row:row done:SELECT ready:I", bind("kept"), execute(), syncAll())
	c.expect("parsed bound error:0A000 ready:I", parse("role", "SET ROLE a"), bind("role"), execute(), closeStatement("role"), syncAll())
	c.expect("error:42P05 ready:I", parse("role", "SELECT 1"), syncAll())
}

func TestSameTextUnderTwoNames(t *testing.T) {
	runner := newFakeRunner()
	c := dial(t, startServer(t, runner, nil), nil)
	c.expect("parsed parsed bound row:row done:SELECT ready:I",
		parse("a", "SELECT 1"), parse("b", "SELECT 1"), bind("b"), execute(), syncAll())
	c.expect("bound parsed ready:I", bind("a"), parse("c", "SELECT 1"), syncAll())
	c.expect("bound row:row done:SELECT ready:I", bind("c"), execute(), syncAll())
	if violationTexts := runner.violations(); len(violationTexts) > 0 {
		t.Error(violationTexts)
	}
}

func TestErrorInOpenPipelineSkipsToSync(t *testing.T) {
	runner := newFakeRunner()
	c := dial(t, startServer(t, runner, nil), nil)
	c.send(parse("", "ERROR"), bind(""), execute(), &pgproto3.Flush{})
	for _, want := range []string{"parsed", "bound", "error:XX000"} {
		if got := describe(c.receive()); got != want {
			t.Fatalf("answer = %s, want %s", got, want)
		}
	}
	count := len(runner.recorded())
	c.expect("ready:I", parse("", "SELECT 1"), bind(""), execute(), &pgproto3.Flush{}, syncAll())
	if batches := runner.recorded(); len(batches) != count+1 || len(batches[count].Messages) != headerBytes {
		t.Errorf("got %d batches after the error, want one with only a Sync", len(batches)-count)
	}
}

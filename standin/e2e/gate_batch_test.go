package e2e

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/standin/database"
)

// TestCommitIsConfirmedWhenTheNextBlockOpens ends one transaction block and begins another in one batch. The batch
// ends inside the second block, and the commit of the first must be confirmed all the same.
func TestCommitIsConfirmedWhenTheNextBlockOpens(t *testing.T) {
	f := newGateFixture(t)
	primary := f.startGate(0)
	mustRun(t, primary, f.write("s", "CREATE TABLE claims (name text)"))
	reply := mustRun(t, primary, f.write("s", "BEGIN; INSERT INTO claims VALUES ('a'); COMMIT; BEGIN"))
	if reply.TransactionStatus != "T" || reply.Position.IsZero() {
		t.Fatalf("got status %s and confirmed position %s, want status T and a position", reply.TransactionStatus, reply.Position)
	}
}

// TestCommitBeforeAFlushIsConfirmed commits a block in a pipeline that ends with a Flush and continues with a Sync
// in the next request.
func TestCommitBeforeAFlushIsConfirmed(t *testing.T) {
	f := newGateFixture(t)
	primary := f.startGate(0)
	mustRun(t, primary, f.write("s", "CREATE TABLE claims (name text)"))
	begin := f.write("s", "BEGIN; INSERT INTO claims VALUES ('a')")
	mustRun(t, primary, begin)
	commit := f.request("s", api.ExecuteRequestAccessWrite, &pgproto3.Parse{Query: "COMMIT"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Flush{})
	reply := mustRun(t, primary, inTransaction(begin, commit))
	if reply.Position.IsZero() {
		t.Fatal("the reply has no position, want the confirmed position of the commit")
	}
	sync := mustRun(t, primary, inTransaction(begin, f.request("s", api.ExecuteRequestAccessWrite, &pgproto3.Sync{})))
	if sync.TransactionStatus != "I" {
		t.Fatalf("got status %s after Sync, want I", sync.TransactionStatus)
	}
}

// TestUnconfirmedCommitRollsBackNextBlock stops the replica, so that the commit of the first of two blocks in a
// batch cannot be confirmed. The caller gets an unknown outcome, and the second block must not stay open.
func TestUnconfirmedCommitRollsBackNextBlock(t *testing.T) {
	f := newGateFixture(t)
	primary := f.startGate(0)
	mustRun(t, primary, f.write("s", "CREATE TABLE claims (name text)"))
	_ = f.replica.Close()
	req := f.write("s", "BEGIN; INSERT INTO claims VALUES ('a'); COMMIT; BEGIN")
	req.TimeoutMs = 600
	wantRefused(t, primary.Execute(context.Background(), req), result.OutcomeUnknown)
	await(t, "the second block is rolled back", primary.IsIdle)
}

// TestReleasedAnswerIsDiscarded releases an answer of several chunks of which only the first was fetched. The gate
// must discard the rest and serve the next statement.
func TestReleasedAnswerIsDiscarded(t *testing.T) {
	f := newGateFixture(t)
	primary := f.startGate(0)
	mustRun(t, primary, f.write("s", "CREATE TABLE photos (body text)"))
	for range 10 {
		mustRun(t, primary, f.write("s", fmt.Sprintf("INSERT INTO photos VALUES ('%0100000d')", 1)))
	}
	reply := mustRun(t, primary, f.request("s", api.ExecuteRequestAccessRead, &pgproto3.Query{String: "SELECT body FROM photos"}))
	if reply.StreamID == 0 {
		t.Fatal("got the answer in one chunk, want a stream of several")
	}
	primary.Release("d/s", f.sequence)
	await(t, "the answer is discarded", primary.IsIdle)
	mustRun(t, primary, f.write("s", "INSERT INTO photos VALUES ('after')"))
}

// TestTimedOutStatementKeepsItsBlock rolls back a block in which a statement exceeded its timeout. The block
// must stay open until then.
func TestTimedOutStatementKeepsItsBlock(t *testing.T) {
	f := newGateFixture(t)
	primary := f.startGate(0)
	begin := f.write("s", "BEGIN")
	mustRun(t, primary, begin)
	slow := inTransaction(begin, f.write("s", "SELECT pg_sleep(10)"))
	slow.TimeoutMs = 100
	reply := mustRun(t, primary, slow)
	if states := sqlStatesIn(t, reply.Chunk); len(states) != 1 || states[0] != "57014" {
		t.Fatalf("got SQLSTATEs %v, want only 57014", states)
	}
	rollback := mustRun(t, primary, inTransaction(begin, f.write("s", "ROLLBACK")))
	if rollback.TransactionStatus != "I" {
		t.Fatalf("got status %s after ROLLBACK, want I", rollback.TransactionStatus)
	}
}

// TestSyncAfterAnErrorBeforeAFlush ends a pipeline with a Sync after a part that ended with a Flush has failed. The
// session must be idle afterwards.
func TestSyncAfterAnErrorBeforeAFlush(t *testing.T) {
	f := newGateFixture(t)
	primary := f.startGate(0)
	write := api.ExecuteRequestAccessWrite
	first := f.request("s", write, &pgproto3.Parse{Query: "SELECT 1"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Flush{})
	mustRun(t, primary, first)
	failing := f.request("s", write, &pgproto3.Parse{Query: "SELECT a FROM nowhere"}, &pgproto3.Flush{})
	reply := mustRun(t, primary, inTransaction(first, failing))
	if states := sqlStatesIn(t, reply.Chunk); len(states) != 1 {
		t.Fatalf("got SQLSTATEs %v, want one error", states)
	}
	sync := mustRun(t, primary, inTransaction(first, f.request("s", write, &pgproto3.Sync{})))
	if sync.TransactionStatus != "I" {
		t.Fatalf("got status %s after Sync, want I", sync.TransactionStatus)
	}
}

// TestBlockBeforeTheFirstWrite commits a block that writes nothing, in a group whose log is empty, and reads after it.
func TestBlockBeforeTheFirstWrite(t *testing.T) {
	f := newGateFixture(t)
	primary := f.startGate(0)
	mustRun(t, primary, f.write("s", "BEGIN; SELECT 1; COMMIT"))
	mustRun(t, primary, f.request("s", api.ExecuteRequestAccessRead, &pgproto3.Query{String: "SELECT 1"}))
}

// TestCancelledConnectionIsNotReused cancels a statement. The cancel request may reach the target late, where it would
// cancel the statement that the connection runs by then, so no other session may get the connection.
func TestCancelledConnectionIsNotReused(t *testing.T) {
	f := newGateFixture(t)
	primary := f.startGate(0)
	backend := func(session string) string {
		reply := mustRun(t, primary, f.write(session, "SELECT pg_backend_pid()"))
		return string(reply.Chunk)
	}
	before := backend("s")
	slow := f.write("s", "SELECT pg_sleep(10)")
	replies := make(chan *api.ExecuteReply)
	go func() { replies <- primary.Execute(context.Background(), slow) }()
	await(t, "the statement runs", func() bool { return primary.Cancel("d/s", 0) })
	var reply *api.ExecuteReply
	await(t, "the statement is cancelled", func() bool {
		select {
		case reply = <-replies:
			return true
		default:
			primary.Cancel("d/s", 0)
			return false
		}
	})
	if states := sqlStatesIn(t, reply.Chunk); len(states) != 1 || states[0] != "57014" {
		t.Fatalf("got SQLSTATEs %v, want only 57014", states)
	}
	if after := backend("other"); after == before {
		t.Fatal("another session got the connection that a late cancel request may still reach")
	}
}

// TestCommandCompleteWaitsForItsConfirmation tries answers whose sizes are close to that of a chunk. A CommandComplete
// that falls into the first chunk must not be sent before the commit is confirmed.
func TestCommandCompleteWaitsForItsConfirmation(t *testing.T) {
	f := newGateFixture(t)
	primary := f.startGate(0)
	mustRun(t, primary, f.write("s", "CREATE TABLE photos (body text)"))
	for size := 65450; size < 65536; size += 8 {
		sql := fmt.Sprintf("INSERT INTO photos VALUES ('%0*d') RETURNING body", size, 1)
		reply := mustRun(t, primary, f.write("s", sql))
		if reply.StreamID != 0 && bytes.Contains(reply.Chunk, []byte("INSERT 0 1")) {
			t.Fatalf("a row of %d bytes: got CommandComplete before the commit was confirmed", size)
		}
		primary.Release("d/s", f.sequence)
	}
}

// TestStatementInABlockCannotHaveCommitted closes the connections to the primary while a statement of a block runs, and
// partitions the primary before a COMMIT. After the statement the transaction is lost, since only a COMMIT can have
// committed it; the outcome of the COMMIT is unknown.
func TestStatementInABlockCannotHaveCommitted(t *testing.T) {
	tests := map[string]result.Code{"SELECT pg_sleep(10)": result.TransactionLost, "COMMIT": result.OutcomeUnknown}
	for sql, want := range tests {
		t.Run(sql, func(t *testing.T) {
			f := newGateFixture(t)
			primary := f.startGate(0)
			begin := f.write("s", "BEGIN")
			mustRun(t, primary, begin)
			next := f.request("s", api.ExecuteRequestAccessWrite, &pgproto3.Parse{Query: sql}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{})
			if sql == "COMMIT" {
				f.primary.SetFaults(database.Faults{Partitioned: true})
				next.TimeoutMs = 300
			} else {
				time.AfterFunc(100*time.Millisecond, f.primary.CloseConnections)
			}
			wantRefused(t, primary.Execute(context.Background(), inTransaction(begin, next)), want)
		})
	}
}

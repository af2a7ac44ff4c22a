package e2e

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/gate"
	"github.com/papayacove/papayacove/internal/observer"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/internal/target"
	"github.com/papayacove/papayacove/internal/terms"
	"github.com/papayacove/papayacove/standin/database"
)

// gateFixture holds a group of two stand-in databases for gates that run in the test process.
type gateFixture struct {
	t        *testing.T
	primary  *database.Target
	replica  *database.Target
	observer *observer.Observer
	terms    *terms.Table
	group    api.GroupSpec
	sequence uint64
}

func startTarget(t *testing.T, options database.Options) *database.Target {
	t.Helper()
	options.Address, options.DataDirectory, options.Slots = "127.0.0.1:0", t.TempDir(), 5
	started, err := database.New(options)
	if err != nil {
		t.Fatal(err)
	}
	if err := started.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = started.Close() })
	return started
}

func newGateFixture(t *testing.T) *gateFixture {
	t.Helper()
	f := &gateFixture{t: t, terms: terms.NewTable()}
	f.primary = startTarget(t, database.Options{Name: "a", Term: 1})
	f.replica = startTarget(t, database.Options{Name: "b", InitialRole: target.RoleReplica, Primary: f.primary.Address()})
	f.group = api.GroupSpec{Name: "g", Targets: []api.TargetSpec{
		{Name: "a", Address: f.primary.Address(), Slots: 1}, {Name: "b", Address: f.replica.Address(), Slots: 1},
	}}
	f.observer = observer.New(f.group, target.Options{User: "gate"})
	f.observer.Run(context.Background())
	t.Cleanup(f.observer.Close)
	f.terms.Observe(api.GroupTerm{Group: "g", Term: f.primary.Status().Term, Primary: "a"})
	await(t, "the observer has a status of both targets", func() bool {
		return !f.observer.Latest("a").AskedAt.IsZero() && !f.observer.Latest("b").AskedAt.IsZero()
	})
	return f
}

// startGate starts a gate for the target with an index in the group.
func (f *gateFixture) startGate(index int) *gate.Gate {
	opened := gate.New(gate.Options{
		Self: "d", Group: f.group, Spec: f.group.Targets[index], Target: target.Options{User: "gate"},
		Limits:   api.LimitSettings{QueueLength: 10, IdleTransactionTimeoutMs: eventTimeout.Milliseconds()},
		Observer: f.observer, Terms: f.terms,
	})
	opened.Run(context.Background())
	f.t.Cleanup(opened.Close)
	return opened
}

// request returns a batch of a session, with the next sequence number.
func (f *gateFixture) request(session string, access api.ExecuteRequestAccess, messages ...pgproto3.FrontendMessage) *api.ExecuteRequest {
	f.sequence++
	req := &api.ExecuteRequest{
		Group: "g", Workspace: "w", SessionID: "d/" + session, Sequence: f.sequence, Access: access, MaxAgeMs: -1,
		TimeoutMs: eventTimeout.Milliseconds(), ReplicationWaitMs: 1000,
	}
	for _, message := range messages {
		req.Messages, _ = message.Encode(req.Messages)
	}
	return req
}

func (f *gateFixture) write(session, sql string) *api.ExecuteRequest {
	return f.request(session, api.ExecuteRequestAccessWrite, &pgproto3.Query{String: sql})
}

// inTransaction makes a request part of the transaction that an earlier request has opened, and returns it.
func inTransaction(opened, next *api.ExecuteRequest) *api.ExecuteRequest {
	next.TransactionID = opened.Sequence
	return next
}

func mustRun(t *testing.T, g *gate.Gate, req *api.ExecuteRequest) *api.ExecuteReply {
	t.Helper()
	reply := g.Execute(context.Background(), req)
	if reply.Code != 0 {
		t.Fatalf("got code %d: %s; want no error", reply.Code, reply.Reason)
	}
	return reply
}

func wantRefused(t *testing.T, reply *api.ExecuteReply, code result.Code) {
	t.Helper()
	if result.Code(reply.Code) != code {
		t.Fatalf("got code %d %q, want %d; answer %q", reply.Code, reply.Reason, code, reply.Chunk)
	}
}

// sqlStatesIn returns the SQLSTATEs of the errors in an answer.
func sqlStatesIn(t *testing.T, chunk []byte) []string {
	t.Helper()
	var states []string
	for len(chunk) > 0 {
		length := int(uint32(chunk[1])<<24|uint32(chunk[2])<<16|uint32(chunk[3])<<8|uint32(chunk[4])) + 1
		var response pgproto3.ErrorResponse
		if chunk[0] == 'E' && response.Decode(chunk[5:length]) == nil {
			states = append(states, response.Code)
		}
		chunk = chunk[length:]
	}
	return states
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(eventTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// countRows counts the rows of a table at the primary without using a gate.
func (f *gateFixture) countRows(table string) int {
	dump, err := f.primary.Dump(table)
	if err != nil {
		f.t.Fatal(err)
	}
	return len(dump.Rows)
}

// TestEarlyReadKeepsPreparedStatements prepares a named statement in a read whose answer is discarded, since the
// replica has not reached its minimum position. The same Parse must not fail when the read is repeated on the
// connection.
func TestEarlyReadKeepsPreparedStatements(t *testing.T) {
	f := newGateFixture(t)
	replica := f.startGate(1)
	parse := func() *api.ExecuteRequest {
		return f.request("s", api.ExecuteRequestAccessRead, &pgproto3.Parse{Name: "pc_1", Query: "SELECT 1"},
			&pgproto3.Bind{PreparedStatement: "pc_1"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	}
	early := parse()
	early.Floor = api.Position{Term: 1, Offset: 1 << 40}
	wantRefused(t, replica.Execute(context.Background(), early), result.NotRunBehind)
	reply := mustRun(t, replica, parse())
	if states := sqlStatesIn(t, reply.Chunk); len(states) > 0 {
		t.Fatal(states)
	}
}

// TestCommitAfterTheTermHasChanged commits on a primary that was replaced while the transaction was open. The
// transaction must be reported as lost and must leave no rows.
func TestCommitAfterTheTermHasChanged(t *testing.T) {
	f := newGateFixture(t)
	primary := f.startGate(0)
	mustRun(t, primary, f.write("s", "CREATE TABLE claims (name text)"))
	begin := f.write("s", "BEGIN")
	mustRun(t, primary, begin)
	mustRun(t, primary, inTransaction(begin, f.write("s", "INSERT INTO claims VALUES ('late')")))
	f.terms.Observe(api.GroupTerm{Group: "g", Term: f.primary.Status().Term + 1, Primary: "b"})
	reply := primary.Execute(context.Background(), inTransaction(begin, f.write("s", "COMMIT")))
	wantRefused(t, reply, result.TransactionLost)
	if n := f.countRows("claims"); n != 0 {
		t.Fatalf("got %d rows of a transaction that was reported as lost, want 0", n)
	}
}

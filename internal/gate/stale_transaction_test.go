package gate

import (
	"context"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/placement"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/internal/target"
	"github.com/papayacove/papayacove/internal/terms"
	"github.com/papayacove/papayacove/standin/database"
)

// testGroup is a group of three stand-in targets, with a manager that holds all of them.
type testGroup struct {
	manager *Manager
	terms   *terms.Table
	targets map[string]*database.Target
	next    uint64
}

func startTestGroup(t *testing.T) *testGroup {
	t.Helper()
	g := &testGroup{terms: terms.NewTable(), targets: make(map[string]*database.Target)}
	group := api.GroupSpec{Name: "g", Service: "s"}
	primary := ""
	for _, name := range []string{"a", "b", "c"} {
		options := database.Options{Name: name, DataDirectory: t.TempDir(), Slots: 3, InitialRole: target.RoleReplica, Primary: primary, Term: 1}
		if name == "a" {
			options.InitialRole = target.RolePrimary
		}
		started, err := database.New(options)
		if err != nil {
			t.Fatal(err)
		}
		if err := started.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = started.Close() })
		if name == "a" {
			primary = started.Address()
		}
		g.targets[name] = started
		group.Targets = append(group.Targets, api.TargetSpec{Name: name, Zone: "z", Address: started.Address(), Slots: 3})
	}
	g.terms.Observe(api.GroupTerm{Group: "g", Term: 1, Primary: "a", Start: api.Position{Term: 1}})
	g.manager = NewManager(ManagerOptions{
		Self: "d", Terms: g.terms, Groups: func() []api.GroupSpec { return []api.GroupSpec{group} },
		Target:  target.Options{User: "u", Database: "s"},
		Limits:  api.LimitSettings{QueueLength: 10, IdleTransactionTimeoutMs: 60_000},
		Members: func() []placement.Member { return []placement.Member{{Name: "d", Zone: "z"}} },
	})
	g.manager.Init(t.Context())
	g.manager.Refresh()
	t.Cleanup(g.manager.Close)
	return g
}

// run executes a simple query for a session at a target until it is admitted.
func (g *testGroup) run(t *testing.T, name, session, query string, transaction uint64) *api.ExecuteReply {
	t.Helper()
	g.next++
	req := &api.ExecuteRequest{
		Workspace: "w", Group: "g", Target: name, SessionID: session, Sequence: g.next, TransactionID: transaction,
		Access: api.ExecuteRequestAccessWrite, MaxAgeMs: -1, TimeoutMs: 5000, ReplicationWaitMs: 60_000,
		Messages: appendQuery(nil, query),
	}
	for {
		reply := g.manager.Execute(req)
		if code := result.Code(reply.Code); code != result.NotRunNoMajority && code != result.NotRunNoPrimary {
			return reply
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// promote makes b the primary of term 2 with c fenced as well, while a still acts as the primary of term 1.
func (g *testGroup) promote(t *testing.T) {
	t.Helper()
	g.promoteUnannounced(t)
	g.terms.Observe(api.GroupTerm{Group: "g", Term: 2, Primary: "b", Start: g.targets["b"].Status().LogPosition()})
}

// promoteUnannounced promotes b without recording the new term, so that the gates know only term 1.
func (g *testGroup) promoteUnannounced(t *testing.T) {
	t.Helper()
	for _, name := range []string{"b", "c"} {
		if _, err := g.targets[name].Fence(2); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := g.targets["b"].Promote(2); err != nil {
		t.Fatal(err)
	}
}

// Guards against a commit that is acknowledged without confirmation: a transaction that began on a primary was handled
// as one on a replica once a later term was known (soak seed 31).
func TestCommitOnReplacedPrimaryIsNotAcknowledged(t *testing.T) {
	g := startTestGroup(t)
	if reply := g.run(t, "a", "d/1", "CREATE TABLE log (entry text)", 0); reply.Code != 0 {
		t.Fatalf("create: got code %d %s, want 0", reply.Code, reply.Reason)
	}
	if reply := g.run(t, "a", "d/1", "BEGIN", 0); reply.TransactionStatus != "T" {
		t.Fatalf("begin: got %+v, want transaction status T", reply)
	}
	began := g.next
	g.promote(t)
	reply := g.run(t, "a", "d/1", "COMMIT", began)
	if code := result.Code(reply.Code); code != result.TransactionLost {
		t.Errorf("commit on the replaced primary: got code %v, want %v", code, result.TransactionLost)
	}
}

func TestCommitBeforeTheNewTermIsKnownIsNotAcknowledged(t *testing.T) {
	g := startTestGroup(t)
	if reply := g.run(t, "a", "d/1", "CREATE TABLE log (entry text)", 0); reply.Code != 0 {
		t.Fatalf("create: got code %d %s, want 0", reply.Code, reply.Reason)
	}
	if reply := g.run(t, "a", "d/1", "BEGIN", 0); reply.TransactionStatus != "T" {
		t.Fatalf("begin: got %+v, want transaction status T", reply)
	}
	began := g.next
	if reply := g.run(t, "a", "d/1", "INSERT INTO log VALUES ('x')", began); reply.Code != 0 {
		t.Fatalf("insert: got code %d %s, want 0", reply.Code, reply.Reason)
	}
	g.promoteUnannounced(t)
	reply := g.run(t, "a", "d/1", "COMMIT", began)
	if code := result.Code(reply.Code); code != result.OutcomeUnknown {
		t.Errorf("commit on the replaced primary: got code %v, want %v", code, result.OutcomeUnknown)
	}
}

func TestCommitIsConfirmedInItsTerm(t *testing.T) {
	g := startTestGroup(t)
	reply := g.run(t, "a", "d/1", "CREATE TABLE log (entry text)", 0)
	if reply.Code != 0 || reply.Position.Term != 1 {
		t.Errorf("reply: got %+v, want a position of term 1", reply)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	held, _ := g.manager.gate("a")
	confirmed, err := held.ConfirmedPosition(ctx)
	if err != nil || confirmed.Compare(reply.Position) < 0 {
		t.Errorf("confirmed position: got %v, %v; want at least %v", confirmed, err, reply.Position)
	}
}

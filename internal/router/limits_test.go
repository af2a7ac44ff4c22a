package router

import (
	"context"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/frontend"
	"github.com/papayacove/papayacove/internal/peer"
	"github.com/papayacove/papayacove/internal/policy/confirm"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/internal/terms"
	"github.com/papayacove/papayacove/internal/workspace"
)

// fakeGates holds one group whose targets are all at this daemon, and keeps the last request.
type fakeGates struct {
	Gates
	group api.GroupSpec
	last  *api.ExecuteRequest
}

func (g *fakeGates) Holder(string) string               { return "entry-1" }
func (g *fakeGates) Group(string) (api.GroupSpec, bool) { return g.group, true }
func (g *fakeGates) Execute(req *api.ExecuteRequest) *api.ExecuteReply {
	g.last = req
	return &api.ExecuteReply{TransactionStatus: "I"}
}

// noPeers knows no other daemon.
type noPeers struct{}

func (noPeers) Client(string) (*peer.Client, bool) { return nil, false }
func (noPeers) IsLive(string) bool                 { return false }

// oneWorkspace is a configuration with one workspace.
type oneWorkspace struct {
	effective workspace.Effective
}

func (w *oneWorkspace) Workspace(name string) (workspace.Effective, bool) {
	return w.effective, name == w.effective.Name
}

// openSession opens a session of a workspace whose group has a target in each of three zones; the
// primary is in colombo.
func openSession(t *testing.T, effective workspace.Effective) (*session, *fakeGates, *oneWorkspace) {
	t.Helper()
	gates := &fakeGates{group: api.GroupSpec{Name: "rounds-db-1"}}
	for _, zone := range []string{"colombo", "gampaha", "kalutara"} {
		gates.group.Targets = append(gates.group.Targets, api.TargetSpec{Name: "db-" + zone, Zone: zone})
	}
	table := terms.NewTable()
	table.Observe(api.GroupTerm{Group: "rounds-db-1", Term: 1, Primary: "db-colombo"})
	effective.Name, effective.Groups, effective.Connections = "kelani", []string{"rounds-db-1"}, 1
	workspaces := &oneWorkspace{effective}
	r := New(Options{Self: "entry-1", Zone: "gampaha", Gates: gates, Peers: noPeers{}, Workspaces: workspaces, Terms: table})
	opened, err := r.Open(t.Context(), frontend.Session{Workspace: "kelani", Group: "rounds-db-1"})
	if err != nil {
		t.Fatal(err)
	}
	return opened.(*session), gates, workspaces
}

func TestReadsStayInTheZonesOfTheWorkspace(t *testing.T) {
	s, _, _ := openSession(t, workspace.Effective{Zones: []string{"kalutara"}})
	targets := s.targets()
	if len(targets) != 2 || targets[0].Role != confirm.RolePrimary || targets[1].Zone != "kalutara" {
		t.Errorf("targets = %+v, want the primary and the replica in kalutara", targets)
	}
	s, _, _ = openSession(t, workspace.Effective{})
	if len(s.targets()) != 3 {
		t.Errorf("targets = %+v, want all", s.targets())
	}
}

func write(timeout time.Duration) *frontend.Batch {
	return &frontend.Batch{Access: api.ExecuteRequestAccessWrite, Timeout: timeout, MaxAge: -1}
}

func TestStatementTimeoutOfTheWorkspace(t *testing.T) {
	s, gates, _ := openSession(t, workspace.Effective{StatementTimeout: 50 * time.Millisecond})
	emit := func([]byte) error { return nil }
	for _, limit := range []time.Duration{time.Minute, 20 * time.Millisecond} {
		if _, err := s.Run(context.Background(), write(limit), emit); err != nil {
			t.Fatal(err)
		}
		if want := min(limit, 50*time.Millisecond).Milliseconds(); gates.last.TimeoutMs > want {
			t.Errorf("a batch of %v may take %d ms, want %d", limit, gates.last.TimeoutMs, want)
		}
	}
}

func TestSessionLosesARevokedGroup(t *testing.T) {
	s, gates, workspaces := openSession(t, workspace.Effective{})
	workspaces.effective.Groups = nil
	_, err := s.Run(context.Background(), write(time.Second), func([]byte) error { return nil })
	if result.CodeOf(err) != result.UnknownGroup || gates.last != nil {
		t.Errorf("Run = %v, request %v", err, gates.last)
	}
}

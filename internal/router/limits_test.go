package router

import (
	"cmp"
	"context"
	"slices"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/frontend"
	"github.com/papayacove/papayacove/internal/peer"
	"github.com/papayacove/papayacove/internal/policy/confirm"
	"github.com/papayacove/papayacove/internal/policy/readroute"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/internal/terms"
	"github.com/papayacove/papayacove/internal/workspace"
)

// limitGates holds one group whose targets are all held by this daemon, and keeps the last request.
type limitGates struct {
	Gates
	group api.GroupSpec
	last  *api.ExecuteRequest
}

func (g *limitGates) Holder(string) string               { return "entry-1" }
func (g *limitGates) Group(string) (api.GroupSpec, bool) { return g.group, true }
func (g *limitGates) Execute(req *api.ExecuteRequest) *api.ExecuteReply {
	g.last = req
	return &api.ExecuteReply{TransactionStatus: "I"}
}

// limitPeers is a set of peers without any other daemon.
type limitPeers struct{}

func (limitPeers) Client(string) (*peer.Client, bool) { return nil, false }
func (limitPeers) IsLive(string) bool                 { return false }

// limitedWorkspace is a configuration with one workspace.
type limitedWorkspace struct {
	effective workspace.Effective
}

func (w *limitedWorkspace) Workspace(name string) (workspace.Effective, bool) {
	return w.effective, name == w.effective.Name
}

// openLimitedSession opens a session of a workspace whose group has a target in each of three zones; the
// primary is in colombo.
func openLimitedSession(t *testing.T, effective workspace.Effective) (*session, *limitGates, *limitedWorkspace) {
	t.Helper()
	gates := &limitGates{group: api.GroupSpec{Name: "rounds-db-1"}}
	for _, zone := range []string{"colombo", "gampaha", "kalutara"} {
		gates.group.Targets = append(gates.group.Targets, api.TargetSpec{Name: "db-" + zone, Zone: zone})
	}
	table := terms.NewTable()
	table.Observe(api.GroupTerm{Group: "rounds-db-1", Term: 1, Primary: "db-colombo"})
	effective.Name, effective.Groups, effective.Connections = "kelani", []string{"rounds-db-1"}, 1
	workspaces := &limitedWorkspace{effective}
	r := New(Options{Self: "entry-1", Zone: "gampaha", Gates: gates, Peers: limitPeers{}, Workspaces: workspaces, Terms: table})
	opened, err := r.Open(t.Context(), frontend.Session{Workspace: "kelani", Group: "rounds-db-1"})
	if err != nil {
		t.Fatal(err)
	}
	return opened.(*session), gates, workspaces
}

func TestReadsStayInTheZonesOfTheWorkspace(t *testing.T) {
	s, _, _ := openLimitedSession(t, workspace.Effective{Zones: []string{"kalutara"}})
	targets := s.targets()
	// The policy orders the targets later, so targets may return them in any order.
	slices.SortFunc(targets, func(a, b readroute.Target) int { return cmp.Compare(a.Zone, b.Zone) })
	if len(targets) != 2 || targets[0].Role != confirm.RolePrimary || targets[1].Zone != "kalutara" || targets[1].Role != confirm.RoleReplica {
		t.Errorf("targets: got %+v, want the primary and the replica in kalutara", targets)
	}
	s, _, _ = openLimitedSession(t, workspace.Effective{})
	if len(s.targets()) != 3 {
		t.Errorf("targets without a limit of zones: got %+v, want all three", s.targets())
	}
}

func writeBatch(timeout time.Duration) *frontend.Batch {
	return &frontend.Batch{Access: api.ExecuteRequestAccessWrite, Timeout: timeout, MaxAge: -1}
}

func TestStatementTimeoutOfTheWorkspace(t *testing.T) {
	s, gates, _ := openLimitedSession(t, workspace.Effective{StatementTimeout: 50 * time.Millisecond})
	emit := func([]byte) error { return nil }
	for _, limit := range []time.Duration{time.Minute, 20 * time.Millisecond} {
		if _, err := s.Run(context.Background(), writeBatch(limit), emit); err != nil {
			t.Fatal(err)
		}
		if want := min(limit, 50*time.Millisecond).Milliseconds(); gates.last.TimeoutMs > want {
			t.Errorf("timeout of a batch with limit %v: got %d ms, want at most %d ms", limit, gates.last.TimeoutMs, want)
		}
	}
}

func TestSessionLosesARevokedGroup(t *testing.T) {
	s, gates, workspaces := openLimitedSession(t, workspace.Effective{})
	workspaces.effective.Groups = nil
	_, err := s.Run(context.Background(), writeBatch(time.Second), func([]byte) error { return nil })
	if result.CodeOf(err) != result.UnknownGroup || gates.last != nil {
		t.Errorf("batch after the group was revoked: got error %v and request %v, want UnknownGroup and no request", err, gates.last)
	}
}

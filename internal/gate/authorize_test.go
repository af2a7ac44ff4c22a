package gate

import (
	"testing"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
)

func TestGateChecksTheWorkspaceItself(t *testing.T) {
	held := &Gate{options: Options{Group: api.GroupSpec{Name: "rounds-db-1"}, Spec: api.TargetSpec{Name: "db-1"}}}
	m := NewManager(ManagerOptions{Self: "entry-1", MayUse: func(workspace, _ string) bool { return workspace == "kelani" }})
	m.gates["db-1"] = held
	for name, req := range map[string]*api.ExecuteRequest{
		"workspace without the group": {Workspace: "north", Group: "rounds-db-1", Target: "db-1"},
		"target of another group":     {Workspace: "kelani", Group: "rounds-db-2", Target: "db-1"},
	} {
		if code := result.Code(m.Execute(req).Code); code != result.UnknownGroup {
			t.Errorf("%s: got code %d, want %d", name, code, result.UnknownGroup)
		}
	}
	if err := m.authorize(&api.ExecuteRequest{Workspace: "kelani", Group: "rounds-db-1"}, held); err != nil {
		t.Errorf("workspace that has the group: got %v, want no error", err)
	}
}

package gate

import (
	"bytes"
	"testing"

	"github.com/papayacove/papayacove/api"
)

func planFor(s *slot, workspace string) plan {
	b := &batch{slot: s, req: &api.ExecuteRequest{
		Workspace: workspace, Access: api.ExecuteRequestAccessWrite, Messages: appendQuery(nil, "SELECT 1"),
		Settings: []api.SessionSetting{{Name: "work_mem", Value: "4MB"}},
	}}
	return b.newPlan(true)
}

// TestNothingStaysForTheNextWorkspace checks what is sent when a connection passes to a session of
// another workspace, which must meet neither settings nor statements of the one before.
func TestNothingStaysForTheNextWorkspace(t *testing.T) {
	s := newSlot(nil, "")
	discard := appendQuery(nil, discardQuery)
	first := planFor(s, "kelani")
	if bytes.Contains(first.encode(nil), discard) {
		t.Error("a fresh connection is discarded")
	}
	s.applied = map[string]string{"work_mem": "4MB"}
	s.prepared["p_1"] = struct{}{}
	same := planFor(s, "kelani")
	if len(same.encodePrefix()) > 0 || len(s.prepared) != 1 {
		t.Error("a batch of the same workspace does not keep the session state")
	}
	other := planFor(s, "north")
	if !bytes.HasPrefix(other.encode(nil), discard) || len(s.prepared) != 0 {
		t.Errorf("the state of another workspace stays: %q, %v", other.encode(nil), s.prepared)
	}
	if other.settings["work_mem"] != "4MB" {
		t.Errorf("settings after the discard = %v", other.settings)
	}
}

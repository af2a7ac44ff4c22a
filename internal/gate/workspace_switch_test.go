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

// TestSessionStateIsDiscardedForAnotherWorkspace checks the messages that are sent when a connection is used for
// another workspace: no settings and no prepared statements of the previous workspace may remain.
func TestSessionStateIsDiscardedForAnotherWorkspace(t *testing.T) {
	s := newSlot(nil, "")
	discard := appendQuery(nil, discardQuery)
	first := planFor(s, "kelani")
	if bytes.Contains(first.encode(nil), discard) {
		t.Error("DISCARD ALL is sent on a new connection, want none")
	}
	s.appliedSettings = map[string]string{"work_mem": "4MB"}
	s.prepared["p_1"] = struct{}{}
	same := planFor(s, "kelani")
	if len(same.encodePrefix()) > 0 || len(s.prepared) != 1 {
		t.Error("second batch of the same workspace: session state was not kept")
	}
	other := planFor(s, "north")
	if !bytes.HasPrefix(other.encode(nil), discard) || len(s.prepared) != 0 {
		t.Errorf("batch of another workspace: got messages %q and statements %v, want DISCARD ALL first and no statement", other.encode(nil), s.prepared)
	}
	if other.settings["work_mem"] != "4MB" {
		t.Errorf("settings after DISCARD ALL: got %v, want work_mem 4MB", other.settings)
	}
}

package router

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/frontend"
	"github.com/papayacove/papayacove/internal/peer"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/internal/terms"
	"github.com/papayacove/papayacove/internal/workspace"
)

// fakeGates holds all targets of one group and returns scripted replies in order.
type fakeGates struct {
	mu                sync.Mutex
	replies           []*api.ExecuteReply
	fetches           []*api.ExecuteReply
	confirmedPosition api.Position
	floorCalls        int
	requests          []*api.ExecuteRequest
	releaseCalls      int
	cancels           []uint64
}

func (f *fakeGates) Execute(req *api.ExecuteRequest) *api.ExecuteReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, req)
	reply := f.replies[0]
	f.replies = f.replies[1:]
	return reply
}

func (f *fakeGates) Fetch(*api.FetchRequest) *api.ExecuteReply {
	reply := f.fetches[0]
	f.fetches = f.fetches[1:]
	return reply
}

func (f *fakeGates) Cancel(req *api.CancelRequest) bool {
	f.cancels = append(f.cancels, req.Sequence)
	return false
}

func (f *fakeGates) Release(*api.ReleaseRequest) bool {
	f.releaseCalls++
	return true
}

func (f *fakeGates) Floor(*api.FloorRequest) *api.FloorReply {
	f.floorCalls++
	return &api.FloorReply{Position: f.confirmedPosition}
}

func (f *fakeGates) Holder(string) string { return "d" }

func (f *fakeGates) Group(name string) (api.GroupSpec, bool) {
	return api.GroupSpec{Name: "g", Targets: []api.TargetSpec{{Name: "a"}, {Name: "b"}}}, name == "g"
}

type noPeers struct{}

func (noPeers) Client(string) (*peer.Client, bool) { return nil, false }
func (noPeers) IsLive(string) bool                 { return false }

type oneWorkspace struct{}

func (oneWorkspace) Workspace(name string) (workspace.Effective, bool) {
	return workspace.Effective{Name: "w", Groups: []string{"g"}, Connections: 2}, name == "w"
}

// openSession opens a session of a group whose primary is a, in term 2, which starts at offset 100.
func openSession(t *testing.T, gates *fakeGates) *session {
	t.Helper()
	table := terms.NewTable()
	table.Observe(api.GroupTerm{Group: "g", Term: 2, Primary: "a", Start: api.Position{Term: 2, Offset: 100}})
	r := New(Options{Self: "d", Gates: gates, Peers: noPeers{}, Workspaces: oneWorkspace{}, Terms: table})
	opened, err := r.Open(context.Background(), frontend.Session{Workspace: "w", Group: "g"})
	if err != nil {
		t.Fatal(err)
	}
	return opened.(*session)
}

func batchOf(access api.ExecuteRequestAccess, maxAge time.Duration) *frontend.Batch {
	return &frontend.Batch{Access: access, MaxAge: maxAge, Timeout: time.Second}
}

func discard([]byte) error { return nil }

// done returns the last reply of a batch that ended outside a transaction at a position.
func done(position api.Position) *api.ExecuteReply {
	return &api.ExecuteReply{TransactionStatus: "I", Position: position, Chunk: []byte("Z")}
}

// part returns the reply with a chunk that is not the last.
func part() *api.ExecuteReply {
	return &api.ExecuteReply{StreamID: 7, Chunk: []byte("D")}
}

func refusal(code result.Code) *api.ExecuteReply {
	return &api.ExecuteReply{Code: int(code), Reason: "scripted"}
}

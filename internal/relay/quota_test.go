package relay

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/engine"
)

// echoQuota answers each want with what was wanted.
type echoQuota struct{}

func (echoQuota) Handle(r *api.QuotaRequest) *api.QuotaReply {
	reply := &api.QuotaReply{Incarnation: 3, StampUs: 4}
	for _, want := range r.Wants {
		reply.Grants = append(reply.Grants, api.QuotaGrant{Workspace: want.Workspace, Tokens: want.Tokens})
	}
	return reply
}

// TestQuotaRequestsReachTheCoordinator sends a request to a daemon over a connection, and to one that does not limit
// operations, which counts as not reached.
func TestQuotaRequestsReachTheCoordinator(t *testing.T) {
	clients := NewClients("")
	for _, handler := range []QuotaHandler{echoQuota{}, nil} {
		server, err := Listen("127.0.0.1:0", engine.New(engine.Options{}), nil, handler)
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go func() { _ = server.Run(ctx) }()
		reply, err := clients.Quota(server.Address(), requestOf(2), time.Now().Add(10*time.Second))
		if handler == nil {
			if err == nil {
				t.Errorf("got %+v from a daemon that does not limit operations, want an error", reply)
			}
			continue
		}
		if err != nil || len(reply.Grants) != 2 || reply.Grants[1].Tokens != 2.5 || reply.StampUs != 4 {
			t.Errorf("got %+v, %v, want both wants granted", reply, err)
		}
	}
}

// requestOf returns a request with one delegation and wants for some workspaces.
func requestOf(wants int) *api.QuotaRequest {
	r := &api.QuotaRequest{Daemon: "entry-eu-west-1a-117", Incarnation: 1 << 63, Sequence: 1 << 20}
	r.Delegations = []api.QuotaDelegation{{Weight: 1.0 / 111, EchoIncarnation: 1 << 63, EchoStampUs: 1 << 40}}
	for i := range wants {
		r.Wants = append(r.Wants, api.QuotaWant{Workspace: fmt.Sprintf("workspace-%06d", i), Tokens: 2.5, Held: 1, Returned: 1})
	}
	return r
}

// TestQuotaMessagesAreSmall measures the bodies of messages after the first of a connection, without the header of net/rpc.
func TestQuotaMessagesAreSmall(t *testing.T) {
	size := func(messages ...any) int {
		var buffer bytes.Buffer
		encoder, before := gob.NewEncoder(&buffer), 0
		for _, m := range messages {
			before = buffer.Len()
			if err := encoder.Encode(m); err != nil {
				t.Fatal(err)
			}
		}
		return buffer.Len() - before
	}
	for _, c := range []struct{ wants, most int }{{0, 100}, {1, 150}, {20, 1300}} {
		request, reply := requestOf(c.wants), echoQuota{}.Handle(requestOf(c.wants))
		got := size(request, request) + size(reply, reply)
		t.Logf("%d wants: request and reply %d bytes", c.wants, got)
		if got > c.most {
			t.Errorf("%d wants: got %d bytes for request and reply, want at most %d", c.wants, got, c.most)
		}
	}
}

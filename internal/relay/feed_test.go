package relay

import (
	"context"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/engine"
)

// holdingFeeder holds all requests but lists until release is closed.
type holdingFeeder struct{ release chan struct{} }

func (f *holdingFeeder) Feed(request *api.FeedRequest) *api.FeedReply {
	if !request.List {
		<-f.release
	}
	return &api.FeedReply{Outcome: "ok", Revision: request.After, Objects: []api.Object{{Name: "main", Data: []byte("{}")}}}
}

// TestHeldFeedRequestDelaysNoOther guards against a held request that blocks the other calls of its connection, or whose
// connection is closed by the probe of a silent peer.
func TestHeldFeedRequestDelaysNoOther(t *testing.T) {
	feeder := &holdingFeeder{release: make(chan struct{})}
	server, err := Listen("127.0.0.1:0", engine.New(engine.Options{Name: "a"}), feeder, nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	go func() { _ = server.Run(ctx) }()
	clients := NewClients("")
	type result struct {
		reply *api.FeedReply
		err   error
	}
	held := make(chan result, 1)
	go func() {
		reply, err := clients.Feed(ctx, server.Address(), &api.FeedRequest{After: 7})
		held <- result{reply, err}
	}()
	until := time.Now().Add(3 * (probeAfter + probeTimeout))
	for time.Now().Before(until) {
		reply, err := clients.Feed(ctx, server.Address(), &api.FeedRequest{List: true, After: 3})
		if err != nil || reply.Revision != 3 || len(reply.Objects) != 1 {
			t.Fatalf("got %v, %v beside a held request, want its own answer", reply, err)
		}
		// Longer than probeAfter, so that only probes keep the connection open.
		time.Sleep(probeAfter + probeTimeout)
	}
	close(feeder.release)
	if got := <-held; got.err != nil || got.reply.Revision != 7 {
		t.Errorf("got %v, %v for the held request, want its answer", got.reply, got.err)
	}
}

package relay

import (
	"context"
	"fmt"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/peer"
)

// Feeder answers other daemons that ask for changes of the store. It may hold a request for the wait that it names.
type Feeder interface {
	Feed(request *api.FeedRequest) *api.FeedReply
}

// Feed asks the daemon at an address for changes of the store. It implements feed.Peers. Replies may be large, so its
// Clients should not be those that carry statements.
func (c *Clients) Feed(ctx context.Context, address string, request *api.FeedRequest) (*api.FeedReply, error) {
	reply, err := peer.Call[api.FeedReply](ctx, c.clientFor(address), "Feed", request)
	if err != nil {
		return nil, fmt.Errorf("feed of daemon %s: %w", address, err)
	}
	return reply, nil
}

// Feed passes on changes of the store. net/rpc runs each call in its own goroutine, so a held one delays no other.
func (s *service) Feed(request *api.FeedRequest, reply *api.FeedReply) error {
	*reply = *s.feeder.Feed(request)
	return nil
}

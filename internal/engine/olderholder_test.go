package engine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
)

// olderHolder numbers the transactions of each connection from 1 and compares nothing. The connection on which a transaction
// began has ended at its next statement, and another one has taken its place.
type olderHolder struct {
	Peers
	// sent are the transactions stated in the requests on whatever connection there is.
	sent []uint64
}

func (h *olderHolder) Run(_ string, request *api.RelayRequest, _ time.Time) (*api.RelayReply, PeerConnection, error) {
	h.sent = append(h.sent, request.Transaction)
	return &api.RelayReply{Signature: "s", State: uint8(StateOpen), Transaction: 1}, endedConnection{}, nil
}

type endedConnection struct{}

func (endedConnection) Run(*api.RelayRequest, time.Time) (*api.RelayReply, error) {
	return nil, fmt.Errorf("%w: %w", ErrPeerNotReached, ErrPeerConnectionEnded)
}

// TestNumberIsNotSentOnAnotherConnection guards against a statement in a foreign transaction of a holder of an older version.
func TestNumberIsNotSentOnAnotherConnection(t *testing.T) {
	for _, op := range []Operation{OpWrite, OpCommit, OpRollback} {
		g, holder := newTestGroup(&fakeTarget{}), &olderHolder{}
		g.relays = holder
		l := &relayedLease{group: g, member: g.members["a"]}
		deadline := time.Now().Add(time.Second)
		if outcome, reached := l.send("daemon-1", execution{command: Command{ID: "begin", Op: OpBegin}, deadline: deadline}); !reached || outcome.err != nil {
			t.Fatalf("begin: got %+v, reached %t", outcome, reached)
		}
		if outcome := l.run(execution{command: Command{ID: "next", Op: op}, deadline: deadline}); outcome.err == nil || outcome.sent {
			t.Errorf("%s on the ended connection: got %+v, want it not sent", op, outcome)
		}
		l.release()
		if !slices.Equal(holder.sent, []uint64{0}) {
			t.Errorf("%s: got the transactions %v sent on other connections, want none after the begin", op, holder.sent)
		}
	}
}

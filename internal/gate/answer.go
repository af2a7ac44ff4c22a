package gate

import (
	"context"
	"sync"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
)

const (
	// chunkBytes is the size from which a part of an answer is passed on.
	chunkBytes = 64 << 10
	// fetchTimeout is the time after which an answer that nobody fetches is given up.
	fetchTimeout = 10 * time.Second
)

// answer passes the chunks of one batch from the target to the entry daemon. At most one chunk
// waits, so that a slow caller slows down the target and not the memory of the gate.
type answer struct {
	id      uint64
	session string
	// sequence is that of the batch.
	sequence uint64
	chunks   chan *api.ExecuteReply
	ctx      context.Context
	cancel   context.CancelFunc

	mu     sync.Mutex
	number uint64
	last   *api.ExecuteReply
}

func newAnswer(ctx context.Context, id uint64, session string) *answer {
	ctx, cancel := context.WithCancel(ctx)
	return &answer{id: id, session: session, chunks: make(chan *api.ExecuteReply, 1), ctx: ctx, cancel: cancel}
}

// ship passes on a chunk that is not the last. It blocks while the entry daemon is behind.
func (a *answer) ship(chunk []byte) error {
	timer := time.NewTimer(fetchTimeout)
	defer timer.Stop()
	select {
	case a.chunks <- &api.ExecuteReply{Chunk: chunk, StreamID: a.id}:
		return nil
	case <-timer.C:
		return result.Errorf(result.AnswerInterrupted, "answer was not fetched in time")
	case <-a.ctx.Done():
		return a.ctx.Err()
	}
}

// finish passes on the last chunk.
func (a *answer) finish(reply *api.ExecuteReply) {
	select {
	case a.chunks <- reply:
		return
	default:
	}
	timer := time.NewTimer(fetchTimeout)
	defer timer.Stop()
	select {
	case a.chunks <- reply:
	case <-timer.C:
	case <-a.ctx.Done():
	}
}

// next returns the chunk of the given number; a repeated call for the latest number gets the same chunk.
func (a *answer) next(ctx context.Context, number uint64) *api.ExecuteReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.last != nil && number+1 == a.number {
		return a.last
	}
	if number != a.number {
		return failure(result.Errorf(result.AnswerInterrupted, "chunk %d was asked for, chunk %d is next", number, a.number))
	}
	reply, err := a.receive(ctx)
	if err != nil {
		return failure(err)
	}
	a.number++
	a.last = reply
	return reply
}

// receive waits for a chunk. One that is there goes before the end of the answer.
func (a *answer) receive(ctx context.Context) (*api.ExecuteReply, *result.Error) {
	select {
	case reply := <-a.chunks:
		return reply, nil
	default:
	}
	select {
	case reply := <-a.chunks:
		return reply, nil
	case <-ctx.Done():
		return nil, result.Errorf(result.AnswerInterrupted, "no chunk came in time")
	case <-a.ctx.Done():
		return nil, result.Errorf(result.AnswerInterrupted, "the answer was given up")
	}
}

// failure converts an error to a reply.
func failure(err *result.Error) *api.ExecuteReply {
	return &api.ExecuteReply{
		Code:         int(err.Code),
		Reason:       err.Reason,
		RetryAfterMs: err.RetryAfter.Milliseconds(),
		Holder:       err.Holder,
		AgeMs:        -1,
	}
}

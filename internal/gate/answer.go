package gate

import (
	"context"
	"sync"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
)

const (
	// chunkBytes is the size at which a part of an answer is sent to the entry daemon.
	chunkBytes = 64 << 10
	// fetchTimeout is the time after which an answer that is not fetched is abandoned.
	fetchTimeout = 10 * time.Second
)

// answer streams the chunks of one batch from the target to the entry daemon. It buffers at most one chunk, so that
// a slow caller throttles the target instead of filling the memory of the gate.
type answer struct {
	id      uint64
	session string
	// sequence is the sequence number of the batch in its session.
	sequence uint64
	chunks   chan *api.ExecuteReply
	ctx      context.Context
	cancel   context.CancelFunc

	mu sync.Mutex
	// number is the number of the next chunk; last is the chunk before it, kept for a repeated call.
	number uint64
	last   *api.ExecuteReply
}

func newAnswer(ctx context.Context, id uint64, session string) *answer {
	ctx, cancel := context.WithCancel(ctx)
	return &answer{id: id, session: session, chunks: make(chan *api.ExecuteReply, 1), ctx: ctx, cancel: cancel}
}

// sendChunk sends a chunk that is not the last one. It blocks until the entry daemon has fetched the chunk before,
// and fails after fetchTimeout or when the answer is abandoned.
func (a *answer) sendChunk(chunk []byte) error {
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

// sendLast sends the last chunk, which is dropped after fetchTimeout or when the answer is abandoned.
func (a *answer) sendLast(reply *api.ExecuteReply) {
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

// next returns the chunk of the given number. A repeated call for the latest number returns the same chunk; any
// other number is refused.
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

// receive waits for a chunk. A chunk that is already buffered is returned even if the answer has ended.
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

// failure returns the reply that reports an error.
func failure(err *result.Error) *api.ExecuteReply {
	return &api.ExecuteReply{
		Code:         int(err.Code),
		Reason:       err.Reason,
		RetryAfterMs: err.RetryAfter.Milliseconds(),
		Holder:       err.Holder,
		AgeMs:        -1,
	}
}

package gate

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
)

// overloadRetryAfter is the time after which a refused caller may come back.
const overloadRetryAfter = 200 * time.Millisecond

// queue admits batches to the slots of one target.
type queue struct {
	places  chan struct{}
	waiting atomic.Int64
	limit   int64
}

// ticket is the admission of one batch or transaction.
type ticket struct {
	queue *queue
}

func newQueue(slots, limit int) *queue {
	return &queue{places: make(chan struct{}, slots), limit: int64(limit)}
}

// admit waits for a place or refuses.
func (q *queue) admit(ctx context.Context, _ *api.ExecuteRequest) (*ticket, error) {
	if q.waiting.Add(1) > q.limit {
		q.waiting.Add(-1)
		return nil, result.Errorf(result.NotRunOverloaded, "the queue of the target is full").WithRetryAfter(overloadRetryAfter)
	}
	defer q.waiting.Add(-1)
	select {
	case q.places <- struct{}{}:
		return &ticket{queue: q}, nil
	case <-ctx.Done():
		return nil, result.Errorf(result.NotRunOverloaded, "no place became free in time").WithRetryAfter(overloadRetryAfter)
	}
}

// done gives the place back.
func (t *ticket) done() {
	<-t.queue.places
}

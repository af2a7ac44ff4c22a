package gate

import (
	"context"
	"errors"
	"sync"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
)

// errReplaced is the cause with which work is cancelled at a primary that another target has replaced.
var errReplaced = errors.New("the target was replaced as primary")

// workContext holds the context of all work at a target. The context ends when the target is replaced as the primary:
// work that still runs there can no longer be confirmed, and an unresponsive target would block its callers until
// their time limit. It is safe for concurrent use.
type workContext struct {
	mu        sync.Mutex
	isPrimary bool
	work      context.Context
	cancel    context.CancelCauseFunc
}

// context returns the context of new work; parent is the context of the gate.
func (w *workContext) context(parent context.Context) context.Context {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.work == nil {
		w.work, w.cancel = context.WithCancelCause(parent)
	}
	return w.work
}

// setPrimary records the primary of the newest term, and cancels the work if another target replaced this one. An
// empty primary is ignored: none is chosen in the term yet.
func (w *workContext) setPrimary(primary, target string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if primary == "" {
		return
	}
	replaced := w.isPrimary && primary != target
	w.isPrimary = primary == target
	if replaced && w.cancel != nil {
		w.cancel(errReplaced)
		w.work, w.cancel = nil, nil
	}
}

// followPrimary cancels the work at the target when another target becomes the primary, and requests a status round
// at each new term, until ctx ends.
func (g *Gate) followPrimary(ctx context.Context) {
	for {
		changed := g.options.Terms.Changed()
		current, _ := g.options.Terms.Current(g.options.Group.Name)
		g.workContext.setPrimary(current.Primary, g.options.Spec.Name)
		g.requestStatusRound()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// requestStatusRound requests the status of all targets of the group, so that the gate of a new primary observes a
// majority without waiting for the poll interval.
func (g *Gate) requestStatusRound() {
	for _, spec := range g.options.Group.Targets {
		g.options.Observer.PollNow(spec.Name)
	}
}

// isReplaced reports whether work ended because another target became the primary.
func isReplaced(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errReplaced)
}

// refusalWhenReplaced returns the error of a batch that was not sent to the target. If the target was replaced as the
// primary meanwhile, the error is NotRunTermChanged, so that the batch can be sent to the new primary.
func (g *Gate) refusalWhenReplaced(ctx context.Context, req *api.ExecuteRequest, err error) error {
	if req.TransactionID != 0 || !isReplaced(ctx) {
		return err
	}
	return result.Errorf(result.NotRunTermChanged, "target %s: %v", g.options.Spec.Name, errReplaced)
}

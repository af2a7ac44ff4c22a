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

// leadership holds the context of all work at a target. The context ends when the target is replaced as the primary:
// work that still runs there can no longer be confirmed, and an unresponsive target would block its callers until
// their time limit. It is safe for concurrent use.
type leadership struct {
	mu     sync.Mutex
	leads  bool
	work   context.Context
	cancel context.CancelCauseFunc
}

// context returns the context of new work; parent is the context of the gate.
func (l *leadership) context(parent context.Context) context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.work == nil {
		l.work, l.cancel = context.WithCancelCause(parent)
	}
	return l.work
}

// setPrimary records the primary of the newest term, and cancels the work if another target replaced this one. An
// empty primary is ignored: none is chosen in the term yet.
func (l *leadership) setPrimary(primary, target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if primary == "" {
		return
	}
	replaced := l.leads && primary != target
	l.leads = primary == target
	if replaced && l.cancel != nil {
		l.cancel(errReplaced)
		l.work, l.cancel = nil, nil
	}
}

// followLeadership cancels the work at the target when another target becomes the primary, and requests a status round at
// each new term, until ctx ends.
func (g *Gate) followLeadership(ctx context.Context) {
	for {
		changed := g.options.Terms.Changed()
		current, _ := g.options.Terms.Current(g.options.Group.Name)
		g.leadership.setPrimary(current.Primary, g.options.Spec.Name)
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
		g.options.Observer.Ask(spec.Name)
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

package gate

import (
	"context"
	"errors"
	"sync"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
)

// errReplaced ends the work at a primary that another target has replaced.
var errReplaced = errors.New("the target was replaced as primary")

// leadership is the context of all work at a target. It ends when the target is replaced as the
// primary: nothing that still runs there can be confirmed any more, and a silent target would hold
// its callers until their time limit.
type leadership struct {
	mu     sync.Mutex
	leads  bool
	work   context.Context
	cancel context.CancelCauseFunc
}

// context returns the context of new work; parent is that of the gate.
func (l *leadership) context(parent context.Context) context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.work == nil {
		l.work, l.cancel = context.WithCancelCause(parent)
	}
	return l.work
}

// note takes in the primary of the newest term, empty while it is not chosen.
func (l *leadership) note(primary, target string) {
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

// followLeadership ends the work at the target when another one becomes the primary.
func (g *Gate) followLeadership(ctx context.Context) {
	for {
		changed := g.options.Terms.Changed()
		current, _ := g.options.Terms.Current(g.options.Group.Name)
		g.leadership.note(current.Primary, g.options.Spec.Name)
		g.askAll()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// askAll asks for the status of all targets, so that the gate of a new primary soon sees a majority.
func (g *Gate) askAll() {
	for _, spec := range g.options.Group.Targets {
		g.options.Observer.Ask(spec.Name)
	}
}

// isReplaced reports whether work ended because another target became the primary.
func isReplaced(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errReplaced)
}

// refusalWhenReplaced returns the error of a batch that was not sent. One that waited for a slot of
// a replaced primary may be sent to the new one.
func (g *Gate) refusalWhenReplaced(ctx context.Context, req *api.ExecuteRequest, err error) error {
	if req.TransactionID != 0 || !isReplaced(ctx) {
		return err
	}
	return result.Errorf(result.NotRunTermChanged, "target %s: %v", g.options.Spec.Name, errReplaced)
}

package lineproxy

import (
	"sync"
	"time"

	"github.com/papayacove/papayacove/platform"
)

// startTimeout is the time within which a caller has to ask for its session.
const startTimeout = 10 * time.Second

// openings holds the callers whose sessions are not open yet. It is safe for concurrent use.
type openings struct {
	mu      sync.Mutex
	callers map[*platform.Caller]struct{}
}

// add adds a caller, which has startTimeout to ask for its session.
func (o *openings) add(caller *platform.Caller) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.callers == nil {
		o.callers = make(map[*platform.Caller]struct{})
	}
	o.callers[caller] = struct{}{}
	// A connection whose deadline cannot be set is closed already, which the first read reports.
	_ = caller.ExpectStart(time.Now().Add(startTimeout))
}

func (o *openings) remove(caller *platform.Caller) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.callers, caller)
}

// expectBy shortens the time that all callers have left to ask for their sessions.
func (o *openings) expectBy(by time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for caller := range o.callers {
		_ = caller.ExpectStart(by)
	}
}

func (o *openings) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.callers)
}

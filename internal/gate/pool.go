package gate

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/invariant"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/internal/target"
	"github.com/sirupsen/logrus"
)

const (
	// checkAfter is the idle time after which a connection is checked before it is used, since a
	// path may have lost track of it without telling.
	checkAfter = time.Second
	// checkTimeout is the time that the check of a connection may take.
	checkTimeout = 150 * time.Millisecond
	// maintenanceInterval is the time between two passes over the idle connections.
	maintenanceInterval = 300 * time.Millisecond
	// idleSessionTimeout is the idle time after which the target ends a connection of a daemon
	// that has gone without closing it.
	idleSessionTimeout = "3000"
	// idleInTransactionTimeout is the same for a connection within a transaction; the gate checks
	// those too, so that only transactions whose gate has gone, or lost its way, end by it.
	idleInTransactionTimeout = "4000"
	// slotRetryInterval is the pause after the target refused a connection for lack of slots.
	slotRetryInterval = 15 * time.Millisecond
)

// pool holds the connections to one target.
type pool struct {
	spec    api.TargetSpec
	options target.Options

	mu      sync.Mutex
	idle    []*slot
	open    int
	closing bool
	freed   chan struct{}
}

func newPool(spec api.TargetSpec, options target.Options) *pool {
	return &pool{spec: spec, options: options, freed: make(chan struct{})}
}

// acquire returns a checked connection or a result.Error that promises that nothing ran.
func (p *pool) acquire(ctx context.Context) (*slot, error) {
	for {
		taken, mayDial, freed := p.take()
		if taken != nil {
			if taken.isFresh() || taken.check(checkTimeout) {
				return taken, nil
			}
			p.discard(taken)
			continue
		}
		if !mayDial {
			if err := waitFor(ctx, freed); err != nil {
				return nil, err
			}
			continue
		}
		opened, err := p.dial(ctx)
		if err == nil {
			return opened, nil
		}
		p.undial()
		if !errors.Is(err, target.ErrNoSlot) {
			return nil, result.Errorf(result.NotRunUnreachable, "target %s: %v", p.spec.Name, err)
		}
		// The slots of the previous holder come back shortly after the target has moved.
		if err := clock.Sleep(ctx, slotRetryInterval); err != nil {
			return nil, result.Errorf(result.NotRunNoSlot, "target %s has no free connection", p.spec.Name)
		}
	}
}

// take returns an idle connection, or whether one more may be dialled, and the channel that is
// closed when a connection is freed.
func (p *pool) take() (*slot, bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := len(p.idle) - 1; last >= 0 {
		taken := p.idle[last]
		p.idle = p.idle[:last]
		return taken, false, nil
	}
	if p.open < p.spec.Slots {
		p.open++
		p.checkOpen()
		return nil, true, nil
	}
	return nil, false, p.freed
}

// conformingStrings makes a backslash in a literal stand for itself, whatever the role of the account
// sets; RESET ALL goes back to it.
const conformingStrings = "standard_conforming_strings"

func (p *pool) dial(ctx context.Context) (*slot, error) {
	parameters := map[string]string{
		"application_name":                    "papayacove",
		"idle_session_timeout":                idleSessionTimeout,
		"idle_in_transaction_session_timeout": idleInTransactionTimeout,
		conformingStrings:                     "on",
	}
	connection, err := target.DialSlot(ctx, p.spec.Address, p.options, parameters)
	if err != nil {
		return nil, err
	}
	return newSlot(connection, p.spec.Address), nil
}

// release gives a connection back; broken ones are closed.
func (p *pool) release(s *slot) {
	p.mu.Lock()
	keep := !s.broken && !p.closing
	if keep {
		s.lastUsed = time.Now()
		p.idle = append(p.idle, s)
		p.wake()
	}
	p.mu.Unlock()
	if !keep {
		p.discard(s)
	}
}

func (p *pool) discard(s *slot) {
	s.close()
	p.undial()
}

func (p *pool) undial() {
	p.mu.Lock()
	p.open--
	p.checkOpen()
	p.wake()
	p.mu.Unlock()
}

// checkOpen asserts that the count of connections stays within the slots; a count that is too low
// would open too many. The caller holds the lock.
func (p *pool) checkOpen() {
	invariant.Check(p.open >= len(p.idle) && p.open <= p.spec.Slots, "connections_within_slots", logrus.Fields{
		logfield.Target: p.spec.Name, logfield.Open: p.open, logfield.Idle: len(p.idle), logfield.Slots: p.spec.Slots,
	})
}

// wake tells waiters that a connection was freed. The caller holds the lock.
func (p *pool) wake() {
	close(p.freed)
	p.freed = make(chan struct{})
}

// counts returns the open and the idle connections.
func (p *pool) counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

// maintain checks idle connections, so that they neither time out at the target nor go silent
// unnoticed.
func (p *pool) maintain() {
	p.mu.Lock()
	var due []*slot
	kept := p.idle[:0]
	for _, s := range p.idle {
		if s.isFresh() {
			kept = append(kept, s)
		} else {
			due = append(due, s)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	var checks sync.WaitGroup
	for _, s := range due {
		checks.Add(1)
		go func() {
			defer checks.Done()
			s.broken = !s.check(checkTimeout)
			if s.broken {
				logrus.WithFields(logrus.Fields{logfield.Target: p.spec.Name, logfield.Reason: "silent"}).Warn(logevent.SlotClosed)
			}
			p.release(s)
		}()
	}
	checks.Wait()
}

// shut closes the idle connections and those that are released later.
func (p *pool) shut() {
	p.mu.Lock()
	p.closing = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, s := range idle {
		p.discard(s)
	}
}

// reopen takes the target back into use.
func (p *pool) reopen() {
	p.mu.Lock()
	p.closing = false
	p.mu.Unlock()
}

func waitFor(ctx context.Context, freed <-chan struct{}) error {
	select {
	case <-freed:
		return nil
	case <-ctx.Done():
		return result.Errorf(result.NotRunDeadline, "no connection became free in time")
	}
}

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
	// checkAfter is the idle time after which a connection is checked before it is used, since a stateful device on
	// the network path may have dropped the connection without notifying either end.
	checkAfter = time.Second
	// checkTimeout is the time that the check of a connection may take.
	checkTimeout = 150 * time.Millisecond
	// maintenanceInterval is the time between two checks of the idle connections.
	maintenanceInterval = 300 * time.Millisecond
	// idleSessionTimeout is the idle time, in milliseconds, after which the target ends a connection. It ends the
	// connections of a daemon that is gone and has not closed them.
	idleSessionTimeout = "3000"
	// idleInTransactionTimeout is the same, in milliseconds, for a connection within a transaction. The gate checks
	// those connections too, so the timeout ends only transactions whose gate is gone or cannot reach the target.
	idleInTransactionTimeout = "4000"
	// slotRetryInterval is the time until the next attempt when the target had no free slot, and between the status
	// calls of appliedWatch that failed or ended no wait.
	slotRetryInterval = 15 * time.Millisecond
)

// pool holds the connections to one target. It is safe for concurrent use.
type pool struct {
	spec    api.TargetSpec
	options target.Options

	mu   sync.Mutex
	idle []*slot
	// open is the number of connections that are idle, in use, or being opened.
	open    int
	closing bool
	// freed is closed and replaced when a connection becomes available.
	freed chan struct{}
}

func newPool(spec api.TargetSpec, options target.Options) *pool {
	return &pool{spec: spec, options: options, freed: make(chan struct{})}
}

// acquire returns a connection that works, and waits for one until ctx ends. Its error is a result.Error with a code
// that says that the batch did not run.
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
		p.countClosed()
		if !errors.Is(err, target.ErrNoSlot) {
			return nil, result.Errorf(result.NotRunUnreachable, "target %s: %v", p.spec.Name, err)
		}
		// After a target has moved, its previous holder closes the last slots within a short time.
		if err := clock.Sleep(ctx, slotRetryInterval); err != nil {
			return nil, result.Errorf(result.NotRunNoSlot, "target %s has no free connection", p.spec.Name)
		}
	}
}

// take returns an idle connection if there is one. Otherwise it reports whether the caller may dial one more, or
// returns the channel that is closed when a connection becomes available.
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

// conformingStrings is the setting that makes a backslash in a literal an ordinary character. It is sent at the start
// of a connection, which takes precedence over the settings of the account's role, and RESET ALL restores that value.
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

// release returns a connection to the pool. It closes the connection if it is broken or the pool is shut.
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

// discard closes a connection that is not among the idle ones of the pool, and counts it as closed.
func (p *pool) discard(s *slot) {
	s.close()
	p.countClosed()
}

// countClosed counts one connection less as open and wakes the waiters.
func (p *pool) countClosed() {
	p.mu.Lock()
	p.open--
	p.checkOpen()
	p.wake()
	p.mu.Unlock()
}

// checkOpen asserts that the count of connections is within the slots and not below the idle ones; a count that is too
// low would let the pool open too many. The caller holds the lock.
func (p *pool) checkOpen() {
	invariant.Check(p.open >= len(p.idle) && p.open <= p.spec.Slots, "connections_within_slots", logrus.Fields{
		logfield.Target: p.spec.Name, logfield.Open: p.open, logfield.Idle: len(p.idle), logfield.Slots: p.spec.Slots,
	})
}

// wake notifies the waiters that a connection may be available. The caller holds the lock.
func (p *pool) wake() {
	close(p.freed)
	p.freed = make(chan struct{})
}

// counts returns the numbers of open and of idle connections.
func (p *pool) counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

// maintain checks the connections that were idle for checkAfter, so that the target does not end them as idle and
// half-open ones are found and closed.
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

// shut closes the idle connections, and makes release close the others.
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

// reopen lets the pool keep released connections again after shut.
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

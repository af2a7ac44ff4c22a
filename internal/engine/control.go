package engine

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/dialer"
	"github.com/papayacove/papayacove/internal/policy/leadership"
)

// statusTimeout bounds a status call and an order to a target.
const statusTimeout = 300 * time.Millisecond

// fullRetryInterval is the time after which an order is retried at a target that accepts no further connection. A
// statement takes about as long.
const fullRetryInterval = 15 * time.Millisecond

// errTooLate means that a command was not sent because the right to send it has ended.
var errTooLate = errors.New("not sent: too late")

// controlConnection is the connection of a daemon to a target for status calls and orders. It is separate from the
// pool, so that these do not queue behind statements. One call is in flight at a time.
type controlConnection struct {
	dialer Dialer
	target func() Target

	// idleTimeout is the time after which an unused connection is closed; 0 for never.
	idleTimeout time.Duration

	mu       sync.Mutex
	conn     Connection
	lastUsed time.Time

	// transient is true when the connection is closed after each call.
	transient atomic.Bool
}

// keepOpen sets whether the connection stays open between calls, beginning with the next call.
func (c *controlConnection) keepOpen(keep bool) { c.transient.Store(!keep) }

// call sends one status call or order and returns the status of the target. Its AskedAt is the time of the boot
// clock before the command was sent.
func (c *controlConnection) call(command Command) (leadership.Status, error) {
	return c.callWithin(statusTimeout, command)
}

func (c *controlConnection) callWithin(timeout time.Duration, command Command) (leadership.Status, error) {
	return c.callBounded(func() time.Duration { return timeout }, command)
}

// callUntil does what callWithin does, and sends nothing at or after end, a time of the boot clock. It fails with
// errTooLate then.
func (c *controlConnection) callUntil(end, timeout time.Duration, command Command) (leadership.Status, error) {
	return c.callBounded(func() time.Duration { return min(timeout, end-clock.SinceBoot()) }, command)
}

// callBounded sends a command. Each step of the call is bounded by what timeout returns just before it.
func (c *controlConnection) callBounded(timeout func() time.Duration, command Command) (leadership.Status, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.transient.Load() {
		defer c.drop()
	}
	if c.idleTimeout > 0 {
		defer c.closeUnusedLater()
	}
	reused := c.conn != nil
	status, err := c.attemptUntilAccepted(timeout, command)
	if err != nil && reused && failureOf(err) == nil && !dialer.IsTimeout(err) {
		// The connection was lost since the last call, which says nothing about the state of the target.
		return c.attempt(timeout, command)
	}
	return status, err
}

// attemptUntilAccepted retries an order within the timeout while the target accepts no further connection, because
// a promotion needs the answer. A status call is not retried.
func (c *controlConnection) attemptUntilAccepted(
	timeout func() time.Duration, command Command,
) (leadership.Status, error) {
	end := time.Now().Add(timeout())
	for {
		status, err := c.attempt(timeout, command)
		if command.Op == OpStatus || !isFullTarget(err) || time.Now().After(end) {
			return status, err
		}
		time.Sleep(fullRetryInterval)
	}
}

func (c *controlConnection) attempt(timeout func() time.Duration, command Command) (leadership.Status, error) {
	if c.conn == nil {
		ctx, cancel := context.WithTimeout(context.Background(), timeout())
		defer cancel()
		conn, err := c.dialer.Dial(ctx, c.target(), "")
		if err != nil {
			return leadership.Status{}, err
		}
		c.conn = conn
	}
	left := timeout()
	if left <= 0 {
		return leadership.Status{}, errTooLate
	}
	askedAt := clock.SinceBoot()
	replies, err := c.conn.Exchange(time.Now().Add(left), command)
	if err != nil {
		c.abort()
		return leadership.Status{}, err
	}
	if failure := replies[0].Failure; failure != nil {
		return leadership.Status{}, failure
	}
	status := replies[0].Status
	status.AskedAt = askedAt
	return status, nil
}

// closeUnusedLater schedules the closing of a connection that stays unused for idleTimeout. The caller holds mu.
func (c *controlConnection) closeUnusedLater() {
	c.lastUsed = time.Now()
	time.AfterFunc(c.idleTimeout, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if time.Since(c.lastUsed) >= c.idleTimeout {
			c.drop()
		}
	})
}

func (c *controlConnection) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// abort drops a connection on which a command was not answered. An order that a partition holds up must not be carried
// out after it: a late end of a pause undoes the pause of a later promotion, whose promoter has checked it before.
func (c *controlConnection) abort() {
	_ = c.conn.Abort()
	c.conn = nil
}

// reset closes the connection.
func (c *controlConnection) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop()
}

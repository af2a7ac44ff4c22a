package engine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/dialer"
	"github.com/papayacove/papayacove/internal/policy/authority"
)

// statusTimeout bounds a status call and an order to a target.
const statusTimeout = 300 * time.Millisecond

// fullPause is the time after which a full target is tried again with an order; a statement takes as long.
const fullPause = 15 * time.Millisecond

// control is the connection of a daemon to a target for status calls and orders. It is apart from the
// pool, so that these do not wait behind statements.
type control struct {
	dialer Dialer
	target func() Target

	mu   sync.Mutex
	conn Connection

	// transient is true when the connection is closed after each call.
	transient atomic.Bool
}

// keepOpen tells whether the connection stays open between calls, from the next one on.
func (c *control) keepOpen(keep bool) { c.transient.Store(!keep) }

// call sends one status call or order and returns the status of the target. Its AskedAt is the time
// before the call was sent.
func (c *control) call(command Command) (authority.Status, error) {
	return c.callWithin(statusTimeout, command)
}

func (c *control) callWithin(timeout time.Duration, command Command) (authority.Status, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.transient.Load() {
		defer c.drop()
	}
	reused := c.conn != nil
	status, err := c.attemptAtFull(timeout, command)
	if err != nil && reused && failureOf(err) == nil && !dialer.IsTimeout(err) {
		// The connection was lost since the last call; that says nothing about the target.
		return c.attempt(timeout, command)
	}
	return status, err
}

// attemptAtFull tries an order again while the target takes no further connection: a promotion needs the answer.
func (c *control) attemptAtFull(timeout time.Duration, command Command) (authority.Status, error) {
	end := time.Now().Add(timeout)
	for {
		status, err := c.attempt(timeout, command)
		if command.Op == OpStatus || !isFullTarget(err) || time.Now().After(end) {
			return status, err
		}
		time.Sleep(fullPause)
	}
}

func (c *control) attempt(timeout time.Duration, command Command) (authority.Status, error) {
	if c.conn == nil {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		conn, err := c.dialer.Dial(ctx, c.target())
		if err != nil {
			return authority.Status{}, err
		}
		c.conn = conn
	}
	askedAt := clock.Boot()
	replies, err := c.conn.Exchange(time.Now().Add(timeout), command)
	if err != nil {
		c.drop()
		return authority.Status{}, err
	}
	if failure := replies[0].Failure; failure != nil {
		return authority.Status{}, failure
	}
	status := replies[0].Status
	status.AskedAt = askedAt
	return status, nil
}

func (c *control) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// reset closes the connection.
func (c *control) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop()
}

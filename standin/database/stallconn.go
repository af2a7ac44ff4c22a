package database

import (
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// stallConn is a connection that a knob can make silent. While it is silent, reads and writes
// wait, as they do when packets are dropped. Deadlines and Close still work.
type stallConn struct {
	net.Conn
	target *Target

	mu       sync.Mutex
	silent   bool
	peer     string
	client   string
	deadline time.Time
	// writeDeadline bounds writes, also while the connection is silent.
	writeDeadline time.Time
	// changed is closed and replaced when something above changes.
	changed chan struct{}
	closed  bool
}

func newStallConn(conn net.Conn, t *Target) *stallConn {
	return &stallConn{Conn: conn, target: t, changed: make(chan struct{})}
}

// silence makes the connection silent for good.
func (c *stallConn) silence() {
	c.update(func() { c.silent = true })
}

// setPeer names the target at the other end.
func (c *stallConn) setPeer(name string) {
	c.update(func() { c.peer = name })
}

// setClient sets the application name of the client.
func (c *stallConn) setClient(name string) {
	c.update(func() { c.client = name })
}

func (c *stallConn) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	close(c.changed)
	c.changed = make(chan struct{})
}

// Read returns what has arrived, once the connection is not silent.
func (c *stallConn) Read(b []byte) (int, error) {
	if err := c.awaitPassage(c.readLimit); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if stalled := c.awaitPassage(c.readLimit); stalled != nil {
		return 0, stalled
	}
	return n, err
}

// Write sends b, once the connection is not silent.
func (c *stallConn) Write(b []byte) (int, error) {
	if err := c.awaitPassage(c.writeLimit); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// SetReadDeadline bounds reads, also while the connection is silent.
func (c *stallConn) SetReadDeadline(deadline time.Time) error {
	c.update(func() { c.deadline = deadline })
	return c.Conn.SetReadDeadline(deadline)
}

// SetWriteDeadline bounds writes, also while the connection is silent.
func (c *stallConn) SetWriteDeadline(deadline time.Time) error {
	c.update(func() { c.writeDeadline = deadline })
	return c.Conn.SetWriteDeadline(deadline)
}

// readLimit and writeLimit return the deadlines. The caller holds mu.
func (c *stallConn) readLimit() time.Time  { return c.deadline }
func (c *stallConn) writeLimit() time.Time { return c.writeDeadline }

// Close ends the connection and wakes who waits for it.
func (c *stallConn) Close() error {
	c.update(func() { c.closed = true })
	return c.Conn.Close()
}

// awaitPassage returns once the connection is not silent, or with an error at the deadline that
// limit returns and after Close.
func (c *stallConn) awaitPassage(limit func() time.Time) error {
	for {
		knobsChanged := c.target.watch()
		c.mu.Lock()
		changed, deadline, closed := c.changed, limit(), c.closed
		stalled := c.isStalled()
		c.mu.Unlock()
		if closed {
			return net.ErrClosed
		}
		if !stalled {
			return nil
		}
		if err := waitAny(changed, knobsChanged, deadline); err != nil {
			return err
		}
	}
}

// isStalled reports whether a knob silences the connection. The caller holds mu.
func (c *stallConn) isStalled() bool {
	if c.silent {
		return true
	}
	knobs := c.target.Knobs()
	if knobs.Cut || c.peer != "" && slices.Contains(knobs.CutFrom, c.peer) {
		return true
	}
	return slices.ContainsFunc(knobs.CutClients, func(prefix string) bool {
		return c.client != "" && strings.HasPrefix(c.client, prefix)
	})
}

// waitAny returns at the first change, or with an error at the deadline; the zero deadline is
// none.
func waitAny(first, second <-chan struct{}, deadline time.Time) error {
	var expired <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-first:
		return nil
	case <-second:
		return nil
	case <-expired:
		return os.ErrDeadlineExceeded
	}
}

package database

import (
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// faultConn is a connection that injected faults can block. While it is blocked, reads and writes
// wait as they do when the network drops packets. Deadlines and Close still take effect.
type faultConn struct {
	net.Conn
	target *Target

	mu              sync.Mutex
	halfOpen        bool
	peerTarget      string
	applicationName string
	readDeadline    time.Time
	// writeDeadline bounds writes, also while the connection is blocked.
	writeDeadline time.Time
	// changed is closed and replaced whenever a field of the connection changes.
	changed chan struct{}
	closed  bool
}

func newFaultConn(conn net.Conn, t *Target) *faultConn {
	return &faultConn{Conn: conn, target: t, changed: make(chan struct{})}
}

// setHalfOpen blocks the connection until it is closed.
func (c *faultConn) setHalfOpen() {
	c.update(func() { c.halfOpen = true })
}

// setPeerTarget sets the name of the target at the other end.
func (c *faultConn) setPeerTarget(name string) {
	c.update(func() { c.peerTarget = name })
}

// setApplicationName sets the application name of the client.
func (c *faultConn) setApplicationName(name string) {
	c.update(func() { c.applicationName = name })
}

func (c *faultConn) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	close(c.changed)
	c.changed = make(chan struct{})
}

// Read reads from the connection while it is not blocked. It checks again after reading, so that
// bytes that arrive after the connection was blocked are withheld.
func (c *faultConn) Read(b []byte) (int, error) {
	if err := c.awaitUnblocked(c.readLimit); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if waitErr := c.awaitUnblocked(c.readLimit); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// Write writes b once the connection is not blocked.
func (c *faultConn) Write(b []byte) (int, error) {
	if err := c.awaitUnblocked(c.writeLimit); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// SetReadDeadline bounds reads, also while the connection is blocked.
func (c *faultConn) SetReadDeadline(deadline time.Time) error {
	c.update(func() { c.readDeadline = deadline })
	return c.Conn.SetReadDeadline(deadline)
}

// SetWriteDeadline bounds writes, also while the connection is blocked.
func (c *faultConn) SetWriteDeadline(deadline time.Time) error {
	c.update(func() { c.writeDeadline = deadline })
	return c.Conn.SetWriteDeadline(deadline)
}

// readLimit and writeLimit return the deadlines; the zero time is no deadline. The caller holds mu.
func (c *faultConn) readLimit() time.Time  { return c.readDeadline }
func (c *faultConn) writeLimit() time.Time { return c.writeDeadline }

// Close closes the connection and wakes blocked reads and writes.
func (c *faultConn) Close() error {
	c.update(func() { c.closed = true })
	return c.Conn.Close()
}

// awaitUnblocked waits until the connection is not blocked. It fails at the deadline that limit
// returns, and after Close.
func (c *faultConn) awaitUnblocked(limit func() time.Time) error {
	for {
		faultsChanged := c.target.watch()
		c.mu.Lock()
		changed, deadline, closed := c.changed, limit(), c.closed
		blocked := c.isBlocked()
		c.mu.Unlock()
		if closed {
			return net.ErrClosed
		}
		if !blocked {
			return nil
		}
		if err := waitAny(changed, faultsChanged, deadline); err != nil {
			return err
		}
	}
}

// isBlocked reports whether a fault blocks the connection. The caller holds mu.
func (c *faultConn) isBlocked() bool {
	if c.halfOpen {
		return true
	}
	faults := c.target.Faults()
	if faults.Partitioned || c.peerTarget != "" && slices.Contains(faults.PartitionedFrom, c.peerTarget) {
		return true
	}
	return slices.ContainsFunc(faults.PartitionedClients, func(prefix string) bool {
		return c.applicationName != "" && strings.HasPrefix(c.applicationName, prefix)
	})
}

// waitAny waits until one of the channels is closed. It fails at the deadline; the zero time is no
// deadline.
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

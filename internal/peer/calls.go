package peer

import (
	"net"
	"sync"
)

// callsInProgress counts the calls of one connection, from their arrival until their answers are written. Its methods
// may be called concurrently.
type callsInProgress struct {
	connection net.Conn

	mu    sync.Mutex
	count int
	// draining is true once the connection is closed as soon as no call is in progress.
	draining bool
	// answered is closed when the connection is draining and no call is in progress.
	answered chan struct{}
}

func newCallsInProgress(connection net.Conn) *callsInProgress {
	return &callsInProgress{connection: connection, answered: make(chan struct{})}
}

// begin counts a call that has arrived. It returns false if the call must not run, because its answer could not be
// sent.
func (c *callsInProgress) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining && c.count == 0 {
		return false
	}
	c.count++
	return true
}

// end records that the answer to a call was written, or could not be.
func (c *callsInProgress) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
	c.closeIfAnswered()
}

// drain closes the connection as soon as no call is in progress.
func (c *callsInProgress) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.draining {
		c.draining = true
		c.closeIfAnswered()
	}
}

// closeIfAnswered closes a draining connection without calls. The caller holds the lock.
func (c *callsInProgress) closeIfAnswered() {
	if c.draining && c.count == 0 {
		_ = c.connection.Close()
		close(c.answered)
	}
}

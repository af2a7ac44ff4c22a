package platform

import (
	"net"
	"sync"
	"sync/atomic"
)

// listener keeps track of the open connections, so that they can be made half-open.
type listener struct {
	net.Listener
	closeOnce sync.Once
	closeErr  error
	mu        sync.Mutex
	open      map[*conn]struct{}
}

func newListener(inner net.Listener) *listener {
	return &listener{Listener: inner, open: make(map[*conn]struct{})}
}

// Accept waits for the next connection and adds it to the open ones.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c, nil
}

// Close stops listening. Both the stand-in and its HTTP server close the listener; later calls return the result of
// the first.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}

// makeHalfOpen makes the connections that are open now half-open for the rest of their life.
func (l *listener) makeHalfOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.halfOpen.Store(true)
	}
}

// remove deletes a closed connection from the open ones.
func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// conn is a connection that discards the data of both directions, without an error or an end, once it is half-open.
type conn struct {
	net.Conn
	listener *listener
	halfOpen atomic.Bool
}

// Read returns the data received. On a half-open connection it discards them and returns only at the end of the
// connection.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.halfOpen.Load() {
			return n, err
		}
	}
}

// Write sends data. On a half-open connection it discards them and reports success.
func (c *conn) Write(p []byte) (int, error) {
	if c.halfOpen.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and removes it from the open ones of the listener.
func (c *conn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

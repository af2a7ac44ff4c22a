package platform

import (
	"net"
	"sync"
	"sync/atomic"
)

// listener keeps track of the open connections, so that they can be silenced.
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

// Accept waits for the next connection.
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

// Close ends listening; later calls return the result of the first.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}

// silence makes the connections that are open now silent for good.
func (l *listener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.silent.Store(true)
	}
}

// forget drops a closed connection.
func (l *listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// conn swallows data in both directions once it is silent.
type conn struct {
	net.Conn
	listener *listener
	silent   atomic.Bool
}

// Read returns data until the connection is silent; then it only waits for the end.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write sends data until the connection is silent; then it drops them.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close ends the connection.
func (c *conn) Close() error {
	c.listener.forget(c)
	return c.Conn.Close()
}

package main

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
)

// relay is a path of the network between one machine and one address. A cut path holds up the bytes of its connections
// and delivers them when it heals, unless their sender has reset the connection; no connection is set up meanwhile.
// Connections that were made silent deliver nothing any more, in either direction; new ones work.
type relay struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	changed *sync.Cond
	cut     bool
	links   map[*link]struct{}
	closed  bool
}

// link is one connection through a relay.
type link struct {
	relay          *relay
	caller, callee net.Conn
	// The lock of the relay guards the fields below. A doomed connection was begun during a cut, or was reset.
	doomed, silent bool
	// request is the beginning of the last request on the connection.
	request string
}

func newRelay(address, target string) (*relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target, links: map[*link]struct{}{}}
	r.changed = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		caller, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		cut := r.cut
		r.mu.Unlock()
		if cut {
			// The opening packet of a real connection would be lost: nothing that is sent on this one arrives.
			go func() { _, _ = io.Copy(io.Discard, caller); _ = caller.Close() }()
			continue
		}
		callee, err := r.dialer().Dial("tcp", r.target)
		if err != nil {
			reset(caller)
			continue
		}
		l := &link{relay: r, caller: caller, callee: callee}
		r.mu.Lock()
		r.links[l] = struct{}{}
		r.mu.Unlock()
		go l.pipe(caller, callee)
		go l.pipe(callee, caller)
	}
}

// dialer connects from the address of the relay, by which the target knows whose path it is.
func (r *relay) dialer() *net.Dialer {
	host, _, _ := net.SplitHostPort(r.address())
	return &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// pipe reads without pause, so that it sees a reset, and delivers in order while the path is not cut.
func (l *link) pipe(from, to net.Conn) {
	pending := make(chan []byte, 10000)
	go l.deliver(pending, to)
	for {
		buffer := make([]byte, 32<<10)
		n, err := from.Read(buffer)
		if n > 0 {
			l.noteRequest(from, buffer[:n])
			pending <- buffer[:n]
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			l.doom()
		}
		if errors.Is(err, syscall.ECONNRESET) {
			reset(from)
		}
		close(pending)
		return
	}
}

// noteRequest keeps the beginning of a request.
func (l *link) noteRequest(from net.Conn, data []byte) {
	if from == l.caller {
		l.relay.mu.Lock()
		defer l.relay.mu.Unlock()
		l.request = string(data[:min(len(data), 100)])
	}
}

// doom makes the bytes that are held up be lost.
func (l *link) doom() {
	l.relay.mu.Lock()
	defer l.relay.mu.Unlock()
	l.doomed = true
	l.relay.changed.Broadcast()
}

// deliver writes what pipe has read.
func (l *link) deliver(pending <-chan []byte, to net.Conn) {
	for data := range pending {
		if l.await() {
			_, _ = to.Write(data)
		}
	}
	l.await()
	l.relay.mu.Lock()
	doomed, silent := l.doomed, l.silent
	delete(l.relay.links, l)
	l.relay.mu.Unlock()
	switch {
	case silent:
	case doomed:
		reset(to)
	default:
		if tcp, ok := to.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
	}
}

// await waits while the path is cut, and reports whether bytes are to be delivered.
func (l *link) await() bool {
	l.relay.mu.Lock()
	defer l.relay.mu.Unlock()
	for l.relay.cut && !l.doomed && !l.relay.closed {
		l.relay.changed.Wait()
	}
	return !l.doomed && !l.silent && !l.relay.closed
}

// setCut cuts the path or heals it.
func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	r.changed.Broadcast()
}

// makeSilent makes the open connections silent for good on which the last request holds a text.
func (r *relay) makeSilent(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.silent = l.silent || strings.Contains(l.request, text)
	}
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for l := range r.links {
		_ = l.caller.Close()
		_ = l.callee.Close()
	}
	r.changed.Broadcast()
}

package netfault

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// maxChunkBytes is the largest number of bytes that is passed on at once.
const maxChunkBytes = 32 << 10

// maxChunks limits the chunks in flight in one direction, as the window of a TCP connection limits its data.
const maxChunks = 64

// direction is a direction of a link: forward is towards the target.
type direction int

const (
	forward direction = iota
	backward
)

// chunk is a piece of data in flight and the time at which it is due at the other end.
type chunk struct {
	data []byte
	due  time.Time
}

// pair is a relayed connection: the connection from the caller and the one to the target. Its methods are safe for
// concurrent use.
type pair struct {
	// halfOpen makes both directions discard data.
	halfOpen atomic.Bool
	path     *path
	mu       sync.Mutex
	closed   bool
	ends     []net.Conn
}

func newPair(caller net.Conn, path *path) *pair {
	return &pair{path: path, ends: []net.Conn{caller}}
}

// join adds the connection to the target. If the pair has been closed, it closes the connection and returns false.
func (p *pair) join(target net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		target.Close()
		return false
	}
	p.ends = append(p.ends, target)
	return true
}

// comesFrom reports whether the connection to the target has a local address.
func (p *pair) comesFrom(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.ends) > 1 && p.ends[1].LocalAddr().String() == address
}

// delay returns the delay of the path, which is the same in both directions.
func (p *pair) delay() time.Duration {
	faults, _ := p.path.get()
	return faults.Delay
}

// close ends both connections.
func (p *pair) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, end := range p.ends {
		end.Close()
	}
}

// closeTarget ends the connection to the target.
func (p *pair) closeTarget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.ends) > 1 {
		p.ends[1].Close()
	}
}

// pump passes data on in one direction until the source reaches its end or a connection fails. A failure closes
// both connections of the pair, so that the other direction stops too.
func (l *Link) pump(p *pair, from, to net.Conn, d direction) {
	chunks := make(chan chunk, maxChunks)
	go func() {
		defer close(chunks)
		l.read(p, from, d, chunks)
	}()
	if !l.write(p, to, chunks) {
		p.close()
	}
	for range chunks {
		// The remaining chunks are discarded. Receiving them unblocks the reader, so that it can end.
	}
}

// read queues the data of a connection until its end or an error.
func (l *Link) read(p *pair, from net.Conn, d direction, chunks chan<- chunk) {
	for {
		data := make([]byte, maxChunkBytes)
		n, err := from.Read(data)
		if n > 0 {
			chunks <- chunk{data: data[:n], due: time.Now().Add(l.delay(d) + p.delay())}
		}
		if err != nil {
			return
		}
	}
}

// write passes each chunk on when it is due and neither the link nor the path is partitioned, and then the end of the
// data. On a half-open connection it discards all of it. It returns false if the connection failed or the link was
// closed.
func (l *Link) write(p *pair, to net.Conn, chunks <-chan chunk) bool {
	for c := range chunks {
		sleepUntil(c.due)
		if !l.awaitHealed() || !p.path.awaitHealed(l.ctx) {
			return false
		}
		if p.halfOpen.Load() {
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			return false
		}
	}
	if !l.awaitHealed() || !p.path.awaitHealed(l.ctx) {
		return false
	}
	if p.halfOpen.Load() {
		return true
	}
	return closeWrite(to)
}

// closeWrite closes the sending direction of a connection, which signals the end of the data to the other end. It
// reports whether this succeeded.
func closeWrite(c net.Conn) bool {
	halfCloser, ok := c.(interface{ CloseWrite() error })
	return ok && halfCloser.CloseWrite() == nil
}

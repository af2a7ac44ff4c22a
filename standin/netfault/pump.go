package netfault

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// maxChunkBytes is the largest piece of data that is passed on at once.
const maxChunkBytes = 32 << 10

// maxChunks bounds the data under way in one direction, as the window of a connection does.
const maxChunks = 64

// direction is one way of a link.
type direction int

const (
	forward direction = iota
	backward
)

// chunk is a piece of data and the time at which it arrives.
type chunk struct {
	data []byte
	due  time.Time
}

// pair is a relayed connection with its two ends.
type pair struct {
	silent atomic.Bool
	path   *path
	mu     sync.Mutex
	closed bool
	ends   []net.Conn
}

func newPair(caller net.Conn, path *path) *pair {
	return &pair{path: path, ends: []net.Conn{caller}}
}

// join adds the connection to the target and reports false when the pair was closed.
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

// delay returns the delay of the path in each direction.
func (p *pair) delay() time.Duration {
	knobs, _ := p.path.get()
	return knobs.Delay
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

// pump moves data one way until the source ends or a connection fails. A failure ends the
// pair, so that the other direction stops too.
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
		// The rest goes nowhere; reading it lets the reader end.
	}
}

// read queues the data of a connection until its end.
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

// write passes data on when it is due and the link is whole, and then the end of the data. It
// reports whether the connection held.
func (l *Link) write(p *pair, to net.Conn, chunks <-chan chunk) bool {
	for c := range chunks {
		sleepUntil(c.due)
		if !l.awaitWhole() || !p.path.awaitWhole(l.ctx) {
			return false
		}
		if p.silent.Load() {
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			return false
		}
	}
	if !l.awaitWhole() || !p.path.awaitWhole(l.ctx) {
		return false
	}
	if p.silent.Load() {
		return true
	}
	return closeWrite(to)
}

// closeWrite tells the other end that no more data come.
func closeWrite(c net.Conn) bool {
	half, ok := c.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil
}

// Package netfault is a TCP relay that stands in for the network between two processes: it
// delays data, holds it back while the link is cut, and makes open connections go silent.
package netfault

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/papayacove/papayacove/internal/dialer"
)

// Knobs are the faults of a link.
type Knobs struct {
	// ForwardDelayMs is the delay towards the target in milliseconds.
	ForwardDelayMs int64 `json:"forward_delay_ms"`

	// BackwardDelayMs is the delay from the target in milliseconds.
	BackwardDelayMs int64 `json:"backward_delay_ms"`

	// Cut holds data and new connections back until the link is whole again.
	Cut bool `json:"cut"`
}

// Options describe a link.
type Options struct {
	// Address is the host:port to listen on; empty for a free loopback port.
	Address string

	// Target is the host:port to connect to.
	Target string

	// LocalAddress is the IP number that connections to the target come from; empty leaves it
	// open.
	LocalAddress string

	// Path returns the faults that the connections of a source address start with; nil for
	// none.
	Path func(source string) PathKnobs
}

// Link relays connections to one target.
type Link struct {
	options  Options
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup

	mu    sync.Mutex
	knobs Knobs
	// whole is closed while the link is not cut.
	whole chan struct{}
	pairs map[*pair]struct{}
	paths map[string]*path
}

// New returns a link that is not started.
func New(options Options) *Link {
	if options.Address == "" {
		options.Address = "127.0.0.1:0"
	}
	whole := make(chan struct{})
	close(whole)
	ctx, cancel := context.WithCancel(context.Background())
	return &Link{
		options: options,
		ctx:     ctx,
		cancel:  cancel,
		whole:   whole,
		pairs:   make(map[*pair]struct{}),
		paths:   make(map[string]*path),
	}
}

// Start listens and relays until Close.
func (l *Link) Start() error {
	listener, err := net.Listen("tcp", l.options.Address)
	if err != nil {
		return fmt.Errorf("listen for the link: %w", err)
	}
	l.listener = listener
	l.done.Go(l.acceptAll)
	return nil
}

// Close ends listening and all connections.
func (l *Link) Close() error {
	l.cancel()
	err := l.listener.Close()
	l.Reset()
	l.done.Wait()
	return err
}

// Address returns the host:port that the link listens on.
func (l *Link) Address() string {
	return l.listener.Addr().String()
}

// Target returns the host:port that the link connects to.
func (l *Link) Target() string {
	return l.options.Target
}

// Knobs returns the faults in force.
func (l *Link) Knobs() Knobs {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.knobs
}

// SetKnobs replaces the faults in force.
func (l *Link) SetKnobs(k Knobs) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k.Cut && !l.knobs.Cut {
		l.whole = make(chan struct{})
	}
	if !k.Cut && l.knobs.Cut {
		close(l.whole)
	}
	l.knobs = k
}

// Silence makes the open connections swallow data for good; new connections work.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.silent.Store(true)
	}
}

// Reset ends the open connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.close()
	}
}

// acceptAll relays each connection until the listener ends.
func (l *Link) acceptAll() {
	for {
		caller, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.done.Go(func() { l.relay(caller) })
	}
}

// relay connects a caller with the target until both directions have ended.
func (l *Link) relay(caller net.Conn) {
	p := newPair(caller, l.path(sourceOf(caller)))
	if !l.add(p) {
		return
	}
	defer l.remove(p)
	if !l.awaitWhole() || !p.path.awaitWhole(l.ctx) {
		return
	}
	target, err := dialer.New(l.options.LocalAddress).DialContext(l.ctx, "tcp", l.options.Target)
	if err != nil {
		return
	}
	if !p.join(target) {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { l.pump(p, caller, target, forward) })
	directions.Go(func() { l.pump(p, target, caller, backward) })
	directions.Wait()
}

// add keeps a connection, unless the link is closing.
func (l *Link) add(p *pair) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		p.close()
		return false
	}
	l.pairs[p] = struct{}{}
	return true
}

// remove ends a connection and forgets it.
func (l *Link) remove(p *pair) {
	p.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pairs, p)
}

// awaitWhole waits until the link is not cut and reports false when it closes first.
func (l *Link) awaitWhole() bool {
	l.mu.Lock()
	whole := l.whole
	l.mu.Unlock()
	select {
	case <-whole:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// delay returns the delay of a direction.
func (l *Link) delay(d direction) time.Duration {
	k := l.Knobs()
	if d == forward {
		return time.Duration(k.ForwardDelayMs) * time.Millisecond
	}
	return time.Duration(k.BackwardDelayMs) * time.Millisecond
}

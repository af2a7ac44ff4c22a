// Package netfault is a TCP relay that stands in for the network between two processes: it
// delays data, holds it back while the link is partitioned, and makes connections half-open.
package netfault

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/papayacove/papayacove/internal/dialer"
)

// Faults are the faults of all connections of a link.
type Faults struct {
	// ForwardDelayMs is the delay in milliseconds of data towards the target.
	ForwardDelayMs int64 `json:"forward_delay_ms"`

	// BackwardDelayMs is the delay in milliseconds of data from the target.
	BackwardDelayMs int64 `json:"backward_delay_ms"`

	// Partitioned partitions the link: data and new connections are held back until the partition heals.
	Partitioned bool `json:"cut"`
}

// Options are the settings of a link.
type Options struct {
	// Address is the host:port to listen on; empty for a free loopback port.
	Address string

	// Target is the host:port to connect to.
	Target string

	// LocalAddress is the IP address that connections to the target come from; if empty, the system chooses it.
	LocalAddress string

	// InitialPathFaults returns the faults that the connections from a source IP address start with; nil for
	// none.
	InitialPathFaults func(source string) PathFaults

	// DropHalfOpenAfter is the time after which the target ends a connection that has become half-open; 0 for never.
	DropHalfOpenAfter time.Duration
}

// Link relays connections to one target. After Start its methods are safe for concurrent use.
type Link struct {
	options  Options
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup

	mu     sync.Mutex
	faults Faults
	// healed is closed while the link is not partitioned.
	healed chan struct{}
	// pairs are the open connections.
	pairs map[*pair]struct{}
	// paths are the paths by source IP address.
	paths map[string]*path
}

// New returns a link that has not been started.
func New(options Options) *Link {
	if options.Address == "" {
		options.Address = "127.0.0.1:0"
	}
	healed := make(chan struct{})
	close(healed)
	ctx, cancel := context.WithCancel(context.Background())
	return &Link{
		options: options,
		ctx:     ctx,
		cancel:  cancel,
		healed:  healed,
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

// Close stops listening, closes all connections and waits until the relaying has ended.
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

// Faults returns the active faults.
func (l *Link) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// SetFaults replaces the active faults.
func (l *Link) SetFaults(next Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if next.Partitioned && !l.faults.Partitioned {
		l.healed = make(chan struct{})
	}
	if !next.Partitioned && l.faults.Partitioned {
		close(l.healed)
	}
	l.faults = next
}

// MakeHalfOpen makes the connections that are open now half-open for the rest of their life: their data is discarded
// in both directions. New connections work. The callers notice nothing when the target ends its side.
func (l *Link) MakeHalfOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.halfOpen.Store(true)
		if l.options.DropHalfOpenAfter > 0 {
			time.AfterFunc(l.options.DropHalfOpenAfter, p.closeTarget)
		}
	}
}

// Reset closes the connections that are open now.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.close()
	}
}

// acceptAll accepts and relays connections until the listener is closed.
func (l *Link) acceptAll() {
	for {
		caller, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.done.Go(func() { l.relay(caller) })
	}
}

// relay connects a caller to the target and passes data on until both directions have ended. While the link or the
// path is partitioned, it waits before it connects.
func (l *Link) relay(caller net.Conn) {
	p := newPair(caller, l.path(sourceOf(caller)))
	if !l.add(p) {
		return
	}
	defer l.remove(p)
	if !l.awaitHealed() || !p.path.awaitHealed(l.ctx) {
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

// add adds a connection to the open ones. If the link is closing, it closes the connection and returns false.
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

// remove closes a connection and removes it from the open ones.
func (l *Link) remove(p *pair) {
	p.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pairs, p)
}

// awaitHealed waits until the link is not partitioned. It returns false if the link is closed first.
func (l *Link) awaitHealed() bool {
	l.mu.Lock()
	healed := l.healed
	l.mu.Unlock()
	select {
	case <-healed:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// delay returns the delay of the link in a direction.
func (l *Link) delay(d direction) time.Duration {
	faults := l.Faults()
	if d == forward {
		return time.Duration(faults.ForwardDelayMs) * time.Millisecond
	}
	return time.Duration(faults.BackwardDelayMs) * time.Millisecond
}

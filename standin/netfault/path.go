package netfault

import (
	"context"
	"net"
	"sync"
	"time"
)

// PathFaults are the faults of the connections from one source IP address, in addition to those of the link.
type PathFaults struct {
	// Delay is added to the delay of the link in each direction.
	Delay time.Duration

	// Partitioned partitions the path: data and new connections are held back until the partition heals.
	Partitioned bool
}

// path holds the faults of the connections from one source IP address. Its methods are safe for concurrent use.
type path struct {
	mu     sync.Mutex
	faults PathFaults
	// healed is closed while the path is not partitioned.
	healed chan struct{}
}

func newPath(faults PathFaults) *path {
	p := &path{healed: make(chan struct{})}
	close(p.healed)
	p.set(faults)
	return p
}

// set replaces the active faults.
func (p *path) set(faults PathFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if faults.Partitioned && !p.faults.Partitioned {
		p.healed = make(chan struct{})
	}
	if !faults.Partitioned && p.faults.Partitioned {
		close(p.healed)
	}
	p.faults = faults
}

// get returns the active faults and a channel that is closed while the path is not partitioned.
func (p *path) get() (PathFaults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.healed
}

// awaitHealed waits until the path is not partitioned. It returns false if ctx ends first.
func (p *path) awaitHealed(ctx context.Context) bool {
	_, healed := p.get()
	select {
	case <-healed:
		return true
	case <-ctx.Done():
		return false
	}
}

// SetPathFaults replaces the faults of the connections from a source IP address.
func (l *Link) SetPathFaults(source string, faults PathFaults) {
	l.path(source).set(faults)
}

// path returns the path of a source IP address. A new path has the faults that the options of the link return for it.
func (l *Link) path(source string) *path {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.paths[source]
	if !ok {
		known = newPath(l.options.pathFaults(source))
		l.paths[source] = known
	}
	return known
}

// pathFaults returns the faults that the connections from a source IP address start with.
func (o Options) pathFaults(source string) PathFaults {
	if o.InitialPathFaults == nil {
		return PathFaults{}
	}
	return o.InitialPathFaults(source)
}

// SourceOf returns the IP address of the caller whose connection the target sees as one from an address; empty if there is
// none.
func (l *Link) SourceOf(address string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		if p.comesFrom(address) {
			return sourceOf(p.ends[0])
		}
	}
	return ""
}

// sourceOf returns the IP address that a connection comes from, or an empty string if it has none.
func sourceOf(c net.Conn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return host
}

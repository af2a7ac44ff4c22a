package netfault

import (
	"context"
	"net"
	"sync"
	"time"
)

// PathKnobs are the faults of the connections of one source address, beside those of the link.
type PathKnobs struct {
	// Delay is added in each direction.
	Delay time.Duration

	// Cut holds data and new connections back until the path is whole again.
	Cut bool
}

// path holds back and delays the data of some connections of a link.
type path struct {
	mu    sync.Mutex
	knobs PathKnobs
	// whole is closed while the path is not cut.
	whole chan struct{}
}

func newPath(knobs PathKnobs) *path {
	p := &path{whole: make(chan struct{})}
	close(p.whole)
	p.set(knobs)
	return p
}

// set replaces the faults in force.
func (p *path) set(knobs PathKnobs) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if knobs.Cut && !p.knobs.Cut {
		p.whole = make(chan struct{})
	}
	if !knobs.Cut && p.knobs.Cut {
		close(p.whole)
	}
	p.knobs = knobs
}

// get returns the faults in force and a channel that is closed while the path is whole.
func (p *path) get() (PathKnobs, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.knobs, p.whole
}

// awaitWhole waits until the path is not cut and reports false when ctx ends first.
func (p *path) awaitWhole(ctx context.Context) bool {
	_, whole := p.get()
	select {
	case <-whole:
		return true
	case <-ctx.Done():
		return false
	}
}

// SetPath replaces the faults of the connections that come from an IP number.
func (l *Link) SetPath(source string, knobs PathKnobs) {
	l.path(source).set(knobs)
}

// path returns the path of a source address, which starts as the options of the link say.
func (l *Link) path(source string) *path {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.paths[source]
	if !ok {
		known = newPath(l.options.path(source))
		l.paths[source] = known
	}
	return known
}

// path returns the faults that a new source address starts with.
func (o Options) path(source string) PathKnobs {
	if o.Path == nil {
		return PathKnobs{}
	}
	return o.Path(source)
}

// sourceOf returns the IP number that a connection comes from.
func sourceOf(c net.Conn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return host
}

package engine

import (
	"context"
	"sync"
	"time"

	"github.com/papayacove/papayacove/internal/policy/admission"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/internal/waitline"
)

const (
	// dialTimeout bounds the opening of a connection to a target.
	dialTimeout = 300 * time.Millisecond
	// idleCheckAfter is the time unused after which a connection is checked before it is used: a
	// target may have closed it meanwhile.
	idleCheckAfter = 20 * time.Millisecond
	// poolQueueLength bounds the statements that wait for a connection of one target.
	poolQueueLength = 500
	// maxPrepared bounds the prepared statements of one connection; beyond it they are discarded.
	maxPrepared = 500
)

// pooled is one connection of a pool with what its target remembers for it.
type pooled struct {
	Connection
	// values is the canonical form of the session values that the connection has.
	values string
	// prepared holds the names of prepared statements.
	prepared map[string]struct{}
	lastUsed time.Time
	// acquired is when the connection was handed out.
	acquired time.Time
	// broken is true when the connection must not be used again.
	broken bool
}

// pool shares the connections of one daemon to one target.
type pool struct {
	dialer Dialer
	target func() Target

	// line has as many slots as the daemon may have connections. It is locked within mu.
	line *waitline.Line

	mu sync.Mutex
	allotment
	// opening is true while a connection is being opened. One at a time is: each takes a slot of the target.
	opening bool
	// growAfter is the time before which the number of connections does not grow, since the target refused one or
	// was busy.
	growAfter time.Time
	// scarceAt is when all connections were last in use.
	scarceAt time.Time
	idle     []*pooled
	closed   bool
}

func newPool(dialer Dialer, target func() Target, allotted allotment) *pool {
	return &pool{
		dialer: dialer, target: target, allotment: allotted,
		line: waitline.New(admission.Config{Slots: firstConnections, QueueLength: poolQueueLength}, nil),
	}
}

// resize changes the allotment.
func (p *pool) resize(allotted allotment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.allotment == allotted {
		return
	}
	p.allotment = allotted
	p.setConnections(min(p.line.Slots(), p.share), time.Now())
	p.closeUnusedLater()
}

// setConnections changes the number of connections, and closes unused ones beyond it. The caller holds the lock.
func (p *pool) setConnections(connections int, now time.Time) {
	p.line.Resize(connections, now)
	for len(p.idle) > 0 && len(p.idle)+p.line.Running() > connections {
		p.closeOldest()
	}
}

const (
	// firstConnections is the number of connections that a pool begins with.
	firstConnections = 1
	// refusedPause is the time after a refused connection in which no further one is opened.
	refusedPause = 500 * time.Millisecond
	// busyPause is the time after a busy answer in which no further connection is opened.
	busyPause = 500 * time.Millisecond
	// borrowFor is the time without need after which a borrowed connection is given back.
	borrowFor = 300 * time.Millisecond
)

// grow adds a connection when all are in use and none is being opened. The caller holds the lock.
func (p *pool) grow(now time.Time) {
	if p.line.Running() < p.line.Slots() {
		return
	}
	p.scarceAt = now
	if p.line.Slots() < p.ceiling && !p.opening && !now.Before(p.growAfter) {
		p.setConnections(p.line.Slots()+1, now)
	}
}

// shrink takes one connection away, since the target has more than it serves.
func (p *pool) shrink(pause time.Duration) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.growAfter = now.Add(pause)
	if p.line.Slots() > firstConnections {
		p.setConnections(p.line.Slots()-1, now)
	}
}

// giveBack ends a borrowed connection that is no longer needed. The caller holds the lock.
func (p *pool) giveBack(now time.Time) {
	if p.line.Slots() > p.share && p.line.Waiting() == 0 && now.Sub(p.scarceAt) > borrowFor {
		p.setConnections(p.line.Slots()-1, now)
	}
}

func (p *pool) closeOldest() {
	oldest := p.idle[0]
	p.idle = p.idle[1:]
	go oldest.Close()
}

// load returns how many statements run and wait.
func (p *pool) load() int {
	return p.line.Load()
}

// need describes what a statement asks of a pool.
type need struct {
	class admission.Class
	// startBy is the time by which the statement should start, lateUntil the time until which it is of use at all.
	startBy   time.Time
	lateUntil time.Time
	values    string
	// openOnly is true when no connection is to be opened.
	openOnly bool
}

// acquire returns a connection, or a *result.Error that promises that nothing ran.
func (p *pool) acquire(n need) (*pooled, error) {
	if n.openOnly && !p.hasIdle() {
		return nil, result.Errorf(result.NotRunUnreachable, "the target could not be reached a moment ago")
	}
	if err := p.admit(n); err != nil {
		return nil, err
	}
	if conn := p.takeIdle(n.values); conn != nil {
		conn.acquired = time.Now()
		return conn, nil
	}
	p.beginOpening()
	conn, err := p.dial()
	p.endOpening(time.Now())
	if result.CodeOf(err) == result.NotRunNoSlot {
		p.shrink(refusedPause)
	}
	if err != nil {
		p.leave(time.Now(), 0)
		return nil, err
	}
	return conn, nil
}

// admit waits until one more connection may be used.
func (p *pool) admit(n need) error {
	now := time.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return result.Errorf(result.NotRunUnreachable, "the target has left")
	}
	p.grow(now)
	place := p.line.Offer(admission.Item{Class: n.class, Deadline: n.startBy, LateUntil: n.lateUntil}, now)
	p.mu.Unlock()
	switch place.Outcome {
	case admission.Started:
		return nil
	case admission.Rejected:
		return place.Refusal()
	}
	ctx, cancel := context.WithDeadline(context.Background(), n.lateUntil)
	defer cancel()
	if refusal := p.line.Await(ctx, place); refusal != nil {
		return refusal
	}
	return nil
}

// takeIdle returns an unused connection, if possible one that has the session values.
func (p *pool) takeIdle(values string) *pooled {
	for {
		conn := p.popIdle(values)
		if conn == nil {
			return nil
		}
		if time.Since(conn.lastUsed) < idleCheckAfter || !conn.IsClosedByPeer() {
			return conn
		}
		_ = conn.Close()
	}
}

func (p *pool) hasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}

func (p *pool) popIdle(values string) *pooled {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	pick := len(p.idle) - 1
	for i := pick; i >= 0; i-- {
		if p.idle[i].values == values {
			pick = i
			break
		}
	}
	conn := p.idle[pick]
	p.idle = append(p.idle[:pick], p.idle[pick+1:]...)
	return conn
}

// beginOpening and endOpening mark that a connection is being opened. When it is open, the next waiting statement may ask
// for another.
func (p *pool) beginOpening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening = true
}

func (p *pool) endOpening(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening = false
	if p.line.Waiting() > 0 {
		p.grow(now)
	}
}

func (p *pool) dial() (*pooled, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := p.dialer.Dial(ctx, p.target())
	if err != nil {
		return nil, dialFailure(err)
	}
	now := time.Now()
	return &pooled{Connection: conn, prepared: make(map[string]struct{}), lastUsed: now, acquired: now}, nil
}

// release gives a connection back.
func (p *pool) release(conn *pooled) {
	now := time.Now()
	served := now.Sub(conn.acquired)
	if conn.broken {
		go conn.Close()
		p.leave(now, served)
		return
	}
	conn.lastUsed = now
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle)+p.line.Running() > p.line.Slots() {
		go conn.Close()
	} else {
		p.idle = append(p.idle, conn)
		p.closeUnusedLater()
	}
	p.line.Release("", now, served)
	p.giveBack(now)
}

// leave gives a place back whose connection is gone.
func (p *pool) leave(now time.Time, served time.Duration) {
	if served == 0 {
		served = p.line.ServiceTime()
	}
	p.line.Release("", now, served)
}

// closeUnusedLater closes the connections that are still unused after the time for which they are kept. The caller holds
// the lock.
func (p *pool) closeUnusedLater() {
	if p.keep > 0 && len(p.idle) > 0 {
		time.AfterFunc(p.keep, p.closeUnused)
	}
}

func (p *pool) closeUnused() {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The first one is the longest unused.
	for p.keep > 0 && len(p.idle) > 0 && time.Since(p.idle[0].lastUsed) >= p.keep {
		p.closeOldest()
	}
}

// dropIdle closes the unused connections, whose target may have lost track of them.
func (p *pool) dropIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		p.closeOldest()
	}
}

// close ends the pool; statements that run finish.
func (p *pool) close() {
	p.dropIdle()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.line.Dissolve(result.Errorf(result.NotRunTargetLeaving, "the target has left"))
}

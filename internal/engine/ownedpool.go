package engine

import (
	"context"
	"errors"
	"expvar"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/connections"
	"github.com/papayacove/papayacove/internal/result"
)

// connectionCounters counts the connections of workspaces, published as the expvar variable "connections".
var connectionCounters = expvar.NewMap("connections")

// The entries of connectionCounters.
const (
	countHits         = "hits"
	countMisses       = "misses"
	countEvicted      = "evicted"
	countClosedUnused = "closed_unused"
	countRefused      = "refused_full"
	countOpeningUs    = "opening_us"
	// countOpenedPrefix is followed by the reason, countOpenedFor stands for those in place of another's.
	countOpenedPrefix = "opened_"
	countOpenedFor    = "opened_evicting"
)

// maxEvictions bounds the unused connections that are closed for one statement when the target accepts no further one.
const maxEvictions = 2

// ownedConnections is the part of a pool whose connections belong to workspaces. The lock of the pool guards it.
type ownedConnections struct {
	usage *connections.Usage
	// closing is the number of connections being closed.
	closing int
	// refusals counts the times that the target refused a further connection since it last accepted more than accepted,
	// the number when it refused. tries is true while one is opened to see whether it accepts one again.
	refusals int
	accepted int
	tries    bool
	// checksUnused is true while a check for connections that are not worth keeping is due.
	checksUnused bool
	// changed is signaled when a connection is returned or closed, or the pool is closed.
	changed *sync.Cond
}

// separateWorkspaces makes the connections of the pool belong to workspaces, from the first request of one on.
func (p *pool) separateWorkspaces(workspace string) {
	if workspace == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.owned == nil {
		p.owned = &ownedConnections{usage: connections.NewUsage(), changed: sync.NewCond(&p.mu)}
	}
}

// hasOwners reports whether the connections belong to workspaces.
func (p *pool) hasOwners() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.owned != nil
}

// isFull reports whether a request would wait for a connection to be returned.
func (p *pool) isFull() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Running() >= p.queue.Slots() && !p.mayGrow(time.Now())
}

// acquireOwned returns a connection of the workspace for an admitted request. When the target accepts no further one, it
// takes the place of an unused one of another workspace.
func (p *pool) acquireOwned(wanted connectionRequest) (*pooledConnection, error) {
	conn, err := p.obtain(wanted)
	for evictions := 0; result.CodeOf(err) == result.NotRunNoSlot && !errors.Is(err, errTargetFull); evictions++ {
		if !p.fitToTarget() || evictions == maxEvictions {
			break
		}
		conn, err = p.obtain(wanted)
	}
	if err != nil {
		p.releaseSlot(wanted.workspace, time.Now(), 0)
		return nil, err
	}
	conn.acquired = time.Now()
	return conn, nil
}

// obtain carries out one decision: a connection of the workspace, or a *result.Error that guarantees that nothing ran.
func (p *pool) obtain(wanted connectionRequest) (*pooledConnection, error) {
	for {
		conn, d, victim := p.decide(wanted)
		switch {
		case d.Action == connections.Await:
			return nil, result.Errorf(result.NotRunDeadline, "no connection came free in time")
		case d.Action != connections.Reuse:
			return p.openFor(wanted.workspace, d, victim)
		case time.Since(conn.lastUsed) < idleCheckAfter || !conn.IsClosedByPeer():
			connectionCounters.Add(countHits, 1)
			return conn, nil
		}
		_ = conn.Close()
		p.endUse(wanted.workspace)
	}
}

// decide decides on a connection and reserves it: the unused one of the workspace, or the place of one to open, with the
// victim to close first. The action is Await when the request ended while it waited.
func (p *pool) decide(wanted connectionRequest) (conn *pooledConnection, d connections.Decision, victim *pooledConnection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	d = p.choose(wanted.workspace, now)
	if d.Action == connections.Await && wanted.waits != nil {
		defer context.AfterFunc(wanted.waits, p.wakeWaiting)()
	}
	for d.Action == connections.Await && !p.closed && wanted.mayWait(now) {
		wake := time.AfterFunc(wanted.lateUntil.Sub(now), p.wakeWaiting)
		p.owned.changed.Wait()
		wake.Stop()
		now = time.Now()
		d = p.choose(wanted.workspace, now)
	}
	switch {
	case d.Action == connections.Await:
		return nil, d, nil
	case d.Action == connections.Reuse:
		conn = p.popIdle(wanted.workspace, wanted.values)
	case d.Action == connections.Evict:
		victim = p.idle[d.Victim]
		p.idle = append(p.idle[:d.Victim], p.idle[d.Victim+1:]...)
		p.logEvicted(victim, wanted.workspace, d, now)
	case d.Grow:
		p.setConnections(p.queue.Slots()+1, now)
	}
	p.owned.tries = p.owned.tries || d.Action == connections.Open && p.owned.refusals > 0
	p.inUse++
	p.owned.usage.Began(wanted.workspace, now)
	return conn, d, victim
}

// wakeWaiting lets the requests that wait for a connection look again. It takes the lock, so that none misses it between its
// decision to wait and the wait.
func (p *pool) wakeWaiting() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owned.changed.Broadcast()
}

// choose decides on a connection. The caller holds the lock.
func (p *pool) choose(workspace string, now time.Time) connections.Decision {
	state := connections.State{Idle: p.idleList(), Busy: p.inUse + p.owned.closing, Limit: p.queue.Slots(), MayGrow: p.mayGrow(now)}
	return p.owned.usage.Choose(workspace, state, now)
}

// idleList returns the unused connections as the policy sees them. The caller holds the lock.
func (p *pool) idleList() []connections.Idle {
	idle := make([]connections.Idle, len(p.idle))
	for i, c := range p.idle {
		idle[i] = connections.Idle{Workspace: c.workspace, Since: c.lastUsed}
	}
	return idle
}

// openFor closes the victim, if any, and opens a connection in the reserved place.
func (p *pool) openFor(workspace string, d connections.Decision, victim *pooledConnection) (*pooledConnection, error) {
	connectionCounters.Add(countMisses, 1)
	connectionCounters.Add(countOpenedPrefix+string(d.Reason), 1)
	if victim != nil {
		_ = victim.Close()
		connectionCounters.Add(countEvicted, 1)
		connectionCounters.Add(countOpenedFor, 1)
	}
	began := time.Now()
	conn, err := p.dial(workspace)
	took := time.Since(began)
	connectionCounters.Add(countOpeningUs, took.Microseconds())
	if err != nil {
		p.endFailedOpening(workspace)
		return nil, err
	}
	openingTime.record(took)
	if d.Action == connections.Open {
		p.recordAccepted()
	}
	return conn, err
}

func (p *pool) logEvicted(victim *pooledConnection, workspace string, d connections.Decision, now time.Time) {
	if !limiter.Allow(logevent.ConnectionEvicted, now) {
		return
	}
	logrus.WithFields(logrus.Fields{
		logfield.Target: p.name, logfield.Workspace: workspace, logfield.Victim: victim.workspace, logfield.Reason: string(d.Reason),
		logfield.ExpectedUse: d.ExpectedUse, logfield.Idle: now.Sub(victim.lastUsed), logfield.Limit: p.queue.Slots(),
	}).Info(logevent.ConnectionEvicted)
}

// closeAboveLimit closes unused connections, those least expected to be used first, until there are not more than the
// limit. The caller holds the lock.
func (p *pool) closeAboveLimit(now time.Time) {
	for len(p.idle) > 0 && len(p.idle)+p.inUse > p.queue.Slots() {
		least, _ := p.owned.usage.LeastExpected(p.idleList(), now)
		p.closeIdle(least)
	}
}

// endUse returns the place of a connection that was in use, or was not opened.
func (p *pool) endUse(workspace string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endUseLocked(workspace, time.Now())
}

// endFailedOpening returns the place of a connection that was not opened.
func (p *pool) endFailedOpening(workspace string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owned.tries = false
	p.endUseLocked(workspace, time.Now())
}

func (p *pool) endUseLocked(workspace string, now time.Time) {
	p.inUse--
	if p.owned != nil {
		p.owned.usage.Ended(workspace, now)
		p.owned.changed.Broadcast()
	}
}

// releaseOwned returns a connection to the pool, or closes it when it is broken or above the limit.
func (p *pool) releaseOwned(conn *pooledConnection, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.lastUsed = now
	p.endUseLocked(conn.workspace, now)
	switch {
	case conn.broken:
		p.closeLater(conn.Abort)
	case p.closed || len(p.idle)+p.inUse >= p.queue.Slots():
		p.closeLater(conn.Close)
	default:
		p.idle = append(p.idle, conn)
		p.closeUnusedLater()
	}
	p.queue.Release(conn.workspace, now, now.Sub(conn.acquired))
	p.returnBorrowed(now)
}

// checkUnusedLater schedules the closing of connections that are not worth keeping. The caller holds the lock.
func (p *pool) checkUnusedLater() {
	if p.idleTimeout > 0 && len(p.idle) > 0 && !p.owned.checksUnused {
		p.owned.checksUnused = true
		time.AfterFunc(p.idleTimeout, p.closeUnused)
	}
}

// closeUnusedOwned closes connections that have been unused for idleTimeout and are not worth keeping. The caller holds
// the lock.
func (p *pool) closeUnusedOwned(now time.Time) {
	p.owned.checksUnused = false
	if p.idleTimeout > 0 {
		for _, i := range p.owned.usage.Unwanted(p.idleList(), p.idleTimeout, p.keepsUsed, now) {
			connectionCounters.Add(countClosedUnused, 1)
			p.closeIdle(i)
		}
	}
	if p.keepsUsed {
		p.checkUnusedLater()
	}
}

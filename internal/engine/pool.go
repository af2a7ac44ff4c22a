package engine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/papayacove/papayacove/internal/policy/admission"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/internal/waitqueue"
)

const (
	// dialTimeout bounds the opening of a connection to a target.
	dialTimeout = 300 * time.Millisecond
	// idleCheckAfter is the time unused after which a connection is checked before it is used, because the target
	// may have closed it.
	idleCheckAfter = 20 * time.Millisecond
	// poolQueueLength bounds the statements that wait for a connection to one target.
	poolQueueLength = 500
	// maxPrepared bounds the prepared statements of one connection; a connection that has as many is reset outside
	// transactions.
	maxPrepared = 500
)

// pooledConnection is one connection of a pool, with the session state that its target keeps for it.
type pooledConnection struct {
	Connection
	// workspace is the workspace that the connection was opened for; it serves no other.
	workspace string
	// values is the canonical form of the session values that the connection has, and valueNames are their names.
	values     string
	valueNames []string
	// setInTransaction is true if values were set in the open transaction, valuesUnknown if a rollback may have taken some back.
	setInTransaction, valuesUnknown bool
	// prepared holds the names of the prepared statements that the connection has.
	prepared map[string]struct{}
	lastUsed time.Time
	// acquired is when the connection was handed out.
	acquired time.Time
	// broken is true when the connection must not be used again.
	broken bool
	// open is true while a transaction is open on the connection.
	open bool
}

// pool shares the connections of one daemon to one target. Its methods may be called concurrently.
type pool struct {
	dialer Dialer
	// target takes the lock of the group, under which mu may be taken: it must not be called while mu is held. name is that
	// of the target, for logs.
	target func() Target
	name   string

	// queue has as many slots as the daemon may have connections. Its lock may be taken while mu is held, not the
	// other way round.
	queue *waitqueue.Queue

	mu sync.Mutex
	connectionShare
	// opening is true while a connection is being opened. Connections are opened one at a time, because each takes
	// a slot of the target.
	opening bool
	// growAfter is the time before which the number of connections does not grow, because the target refused one
	// or was busy.
	growAfter time.Time
	// full says when a target that refused while the pool had no connection is dialed again.
	full fullPause
	// saturatedAt is the last time at which all connections were in use.
	saturatedAt time.Time
	idle        []*pooledConnection
	// inUse is the number of connections in use or being opened.
	inUse  int
	closed bool
	// owned is set from the first request of a workspace on: each connection serves one workspace then.
	owned *ownedConnections
}

func newPool(dialer Dialer, target func() Target, share connectionShare) *pool {
	return &pool{
		dialer: dialer, target: target, connectionShare: share,
		queue: waitqueue.New(admission.Config{Slots: firstConnections, QueueLength: poolQueueLength}, nil),
	}
}

// resize changes the connection share.
func (p *pool) resize(share connectionShare) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connectionShare == share {
		return
	}
	p.connectionShare = share
	p.setConnections(min(p.queue.Slots(), p.guaranteed), time.Now())
	p.closeUnusedLater()
}

// setConnections changes the number of connections and closes unused ones above it. The caller holds the lock.
func (p *pool) setConnections(connections int, now time.Time) {
	p.queue.Resize(connections, now)
	if p.owned != nil {
		p.closeAboveLimit(now)
		return
	}
	for len(p.idle) > 0 && len(p.idle)+p.queue.Running() > connections {
		p.closeOldest()
	}
}

const (
	// firstConnections is the number of connections that a pool starts with.
	firstConnections = 1
	// refusalCooldown is the time after a refused connection in which no further one is opened.
	refusalCooldown = 500 * time.Millisecond
	// busyCooldown is the time after a busy answer in which no further connection is opened.
	busyCooldown = 500 * time.Millisecond
	// borrowIdleTimeout is the time after which a borrowed connection is closed, measured from when all connections
	// were last in use.
	borrowIdleTimeout = 300 * time.Millisecond
)

// grow adds a connection when all are in use and none is being opened. The caller holds the lock.
func (p *pool) grow(now time.Time) {
	if p.queue.Running() < p.queue.Slots() {
		return
	}
	p.saturatedAt = now
	if p.mayGrow(now) && (p.owned != nil || !p.opening) {
		p.setConnections(p.queue.Slots()+1, now)
	}
}

// mayGrow reports whether the number of connections may grow. The caller holds the lock.
func (p *pool) mayGrow(now time.Time) bool {
	return p.queue.Slots() < p.ceiling && !now.Before(p.growAfter) && (p.owned == nil || !p.owned.tries)
}

// shrink removes one connection and prevents growth for the given time, because the target has more connections
// than it serves.
func (p *pool) shrink(cooldown time.Duration) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.growAfter = now.Add(cooldown)
	if p.queue.Slots() > firstConnections {
		p.setConnections(p.queue.Slots()-1, now)
	}
}

// returnBorrowed removes a borrowed connection that is no longer needed. The caller holds the lock.
func (p *pool) returnBorrowed(now time.Time) {
	if p.queue.Slots() > p.guaranteed && p.queue.Waiting() == 0 && now.Sub(p.saturatedAt) > borrowIdleTimeout {
		p.setConnections(p.queue.Slots()-1, now)
	}
}

// closeOldest closes the connection that has been unused for the longest time. The caller holds the lock.
func (p *pool) closeOldest() { p.closeIdle(0) }

// closeIdle closes an unused connection. The caller holds the lock.
func (p *pool) closeIdle(i int) {
	conn := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	p.closeLater(conn.Close)
}

// closeLater closes a connection, which counts until it is closed. The caller holds the lock.
func (p *pool) closeLater(closeConnection func() error) {
	if p.owned == nil {
		go closeConnection()
		return
	}
	p.owned.closing++
	go func() {
		_ = closeConnection()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.owned.closing--
		p.owned.changed.Broadcast()
	}()
}

// load returns the number of statements that run or wait.
func (p *pool) load() int {
	return p.queue.Load()
}

// acquire returns a connection, or a *result.Error that guarantees that nothing ran.
func (p *pool) acquire(wanted connectionRequest) (*pooledConnection, error) {
	if wanted.openOnly && !p.hasIdle(wanted.workspace) {
		return nil, errTargetAvoided
	}
	p.separateWorkspaces(wanted.workspace)
	if err := p.admit(wanted); err != nil {
		return nil, err
	}
	if p.hasOwners() {
		return p.acquireOwned(wanted)
	}
	if conn := p.takeIdle(wanted.workspace, wanted.values); conn != nil {
		conn.acquired = time.Now()
		return conn, nil
	}
	p.beginOpening()
	conn, err := p.dial(wanted.workspace)
	p.endOpening(time.Now(), err)
	if result.CodeOf(err) == result.NotRunNoSlot {
		p.shrink(refusalCooldown)
	}
	if err != nil {
		p.releaseSlot(wanted.workspace, time.Now(), 0)
		return nil, err
	}
	return conn, nil
}

// admit waits until one more connection may be used.
func (p *pool) admit(wanted connectionRequest) error {
	now := time.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return result.Errorf(result.NotRunUnreachable, "the target has left")
	}
	p.grow(now)
	ticket := p.queue.Offer(wanted.item(), now)
	p.mu.Unlock()
	return awaitStart(p.queue, ticket, wanted)
}

// takeIdle removes an unused connection of the workspace from the pool and returns it, preferably one that has the
// session values; nil when there is none.
func (p *pool) takeIdle(workspace, values string) *pooledConnection {
	for {
		conn := p.lockAndPopIdle(workspace, values)
		if conn == nil {
			return nil
		}
		if time.Since(conn.lastUsed) < idleCheckAfter || !conn.IsClosedByPeer() {
			return conn
		}
		_ = conn.Close()
		p.endUse(workspace)
	}
}

// hasIdle reports whether there is an unused connection of the workspace.
func (p *pool) hasIdle(workspace string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle, func(c *pooledConnection) bool { return c.workspace == workspace })
}

func (p *pool) lockAndPopIdle(workspace, values string) *pooledConnection {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.popIdle(workspace, values)
	if conn != nil {
		p.inUse++
	}
	return conn
}

// popIdle is takeIdle without a check of the connection, for a caller that holds the lock.
func (p *pool) popIdle(workspace, values string) *pooledConnection {
	pick := -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].workspace != workspace {
			continue
		}
		if pick < 0 || p.idle[i].values == values {
			pick = i
		}
		if p.idle[i].values == values {
			break
		}
	}
	if pick < 0 {
		return nil
	}
	conn := p.idle[pick]
	p.idle = append(p.idle[:pick], p.idle[pick+1:]...)
	return conn
}

// beginOpening and endOpening mark that a connection is being opened. Once it is open, the next waiting statement
// may cause another to be opened.
func (p *pool) beginOpening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening = true
	p.inUse++
}

func (p *pool) endOpening(now time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening = false
	if err != nil {
		p.inUse--
	}
	if p.queue.Waiting() > 0 {
		p.grow(now)
	}
}

func (p *pool) dial(workspace string) (*pooledConnection, error) {
	if p.isPaused(time.Now()) {
		return nil, errTargetFull
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := p.dialer.Dial(ctx, p.target(), workspace)
	p.recordDial(isFullTarget(err), time.Now())
	if err != nil {
		return nil, dialFailure(err)
	}
	now := time.Now()
	return &pooledConnection{Connection: conn, workspace: workspace, prepared: make(map[string]struct{}), lastUsed: now, acquired: now}, nil
}

// release returns a connection to the pool.
func (p *pool) release(conn *pooledConnection) {
	now := time.Now()
	served := now.Sub(conn.acquired)
	if p.hasOwners() {
		p.releaseOwned(conn, now)
		return
	}
	if conn.broken {
		go conn.Abort()
		p.endUse(conn.workspace)
		p.releaseSlot(conn.workspace, now, served)
		return
	}
	conn.lastUsed = now
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse--
	if p.closed || len(p.idle)+p.queue.Running() > p.queue.Slots() {
		go conn.Close()
	} else {
		p.idle = append(p.idle, conn)
		p.closeUnusedLater()
	}
	p.queue.Release(conn.workspace, now, served)
	p.returnBorrowed(now)
}

// releaseSlot releases the slot of a connection that is closed or was not opened. A served time of 0 stands for
// unknown; the estimated service time is used instead.
func (p *pool) releaseSlot(workspace string, now time.Time, served time.Duration) {
	if served == 0 {
		served = p.queue.ServiceTime()
	}
	p.queue.Release(workspace, now, served)
}

// closeUnusedLater schedules the closing of connections that stay unused for idleTimeout. The caller holds the
// lock.
func (p *pool) closeUnusedLater() {
	if p.owned != nil && p.keepsUsed {
		p.checkUnusedLater()
		return
	}
	if p.idleTimeout > 0 && len(p.idle) > 0 {
		time.AfterFunc(p.idleTimeout, p.closeUnused)
	}
}

func (p *pool) closeUnused() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.owned != nil {
		p.closeUnusedOwned(time.Now())
		return
	}
	// The first connection has been unused for the longest time.
	for p.idleTimeout > 0 && len(p.idle) > 0 && time.Since(p.idle[0].lastUsed) >= p.idleTimeout {
		p.closeOldest()
	}
}

// dropIdle closes the unused connections. Their target may have lost the state that it kept for them.
func (p *pool) dropIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		p.closeIdle(0)
	}
}

// close closes the unused connections and refuses waiting and new statements. Running statements finish.
func (p *pool) close() {
	p.dropIdle()
	p.mu.Lock()
	p.closed = true
	if p.owned != nil {
		p.owned.changed.Broadcast()
	}
	p.mu.Unlock()
	p.queue.RefuseAll(result.Errorf(result.NotRunTargetLeaving, "the target has left"))
}

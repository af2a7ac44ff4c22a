package engine

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/admission"
	"github.com/papayacove/papayacove/internal/policy/connections"
	"github.com/papayacove/papayacove/internal/policy/holding"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/internal/waitqueue"
)

const (
	// gateIdleTimeout is the time after which a holder closes an unused connection.
	gateIdleTimeout = 3 * time.Second
	// gateProofWait bounds the wait of a holder for a leadership proof after the target has answered.
	gateProofWait = 50 * time.Millisecond
	// gateCommitWait bounds the wait of a holder until a commit is confirmed. The sender goes on by itself after that.
	gateCommitWait = 100 * time.Millisecond
	// overdueFactor is the multiple of the usual time of a statement after which one without an answer leaves its slot to
	// others. minOverdue is the least time.
	overdueFactor = 5
	minOverdue    = 100 * time.Millisecond
	// transactionsQueueLength bounds the transactions that wait to begin at one target.
	transactionsQueueLength = 200
)

// gate is the use of one target by the daemon that holds it, for the sessions of all daemons. Its queues admit at most
// as many statements and open transactions as its share allows, so that the target refuses none. Its methods may be
// called concurrently.
type gate struct {
	group  *group
	member *member
	pool   *pool
	status *sharedStatus
	// control is the connection for status calls.
	control *controlConnection
	// statements has a slot for each statement at the target, transactions for each open transaction. A statement that
	// begins a transaction needs both.
	statements   *waitqueue.Queue
	transactions *waitqueue.Queue

	mu    sync.Mutex
	share holding.Share
	// isFirst is true when this daemon is the holder, false when it is a standby.
	isFirst bool
	// silent is true when the target did not answer the last status call.
	silent bool
}

// newGate returns the gate of a target. The caller holds the lock of the group.
func newGate(g *group, m *member) *gate {
	share := holding.HolderShare(g.holdingLimits(m))
	target := func() Target { return g.targetOf(m) }
	h := &gate{
		group: g, member: m, share: share, isFirst: g.isFirstHolder(m), pool: newPool(g.dialer, target, gateConnections(share, g.isFirstHolder(m))),
		control:      &controlConnection{dialer: g.dialer, target: target, idleTimeout: gateIdleTimeout},
		statements:   waitqueue.New(admission.Config{Slots: share.Statements, QueueLength: poolQueueLength, ByUsualLoad: true}, nil),
		transactions: waitqueue.New(admission.Config{Slots: share.Transactions, QueueLength: transactionsQueueLength, ByUsualLoad: true}, nil),
	}
	h.pool.name = m.name
	h.status = &sharedStatus{call: h.askStatus}
	g.log().WithFields(logrus.Fields{
		logfield.Target: m.name, logfield.Limit: share.Connections, logfield.Slots: share.Statements, logfield.Transactions: share.Transactions,
	}).Info(logevent.TargetHeld)
	return h
}

// standbyDivisor is the part of the connections of a holder that a standby keeps at a full target.
const standbyDivisor = 3

// gateConnections returns the connections of a holder. At a full target, which is one whose holder is in use too, a standby
// keeps few, so that there is room for orders and for daemons that reach neither; and it keeps none beyond the idle timeout.
func gateConnections(share holding.Share, isFirst bool) connectionShare {
	connections := connectionShare{guaranteed: share.Connections, ceiling: share.Connections, idleTimeout: gateIdleTimeout, keepsUsed: isFirst}
	if !isFirst {
		connections.whenFull = max(1, share.Connections/standbyDivisor)
	}
	return connections
}

// resize changes the share. isFirst is true for the holder, false for a standby.
func (h *gate) resize(share holding.Share, isFirst bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.share == share && h.isFirst == isFirst {
		return
	}
	h.share, h.isFirst = share, isFirst
	now := time.Now()
	h.pool.resize(gateConnections(share, isFirst))
	h.statements.Resize(share.Statements, now)
	h.transactions.Resize(share.Transactions, now)
}

// load returns the number of statements that run or wait.
func (h *gate) load() int { return h.statements.Load() }

// isSilent reports whether the target did not answer the last status call, nor anything since.
func (h *gate) isSilent() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.silent
}

// errTargetSilent is the refusal of a statement for a target that does not answer.
var errTargetSilent = result.Errorf(result.NotRunUnreachable, "the target does not answer").WithRetryAfter(promotionEstimate)

// setSilent records whether the target answers. Statements that wait for a silent target are refused at once.
func (h *gate) setSilent(silent bool) {
	h.mu.Lock()
	changed := h.silent != silent
	h.silent = silent
	h.mu.Unlock()
	if changed && silent {
		h.statements.RefuseAll(errTargetSilent)
		h.transactions.RefuseAll(errTargetSilent)
		h.pool.queue.RefuseAll(errTargetSilent)
	}
}

// askStatus makes one status call. A target that answers statements meanwhile is slow, not silent.
func (h *gate) askStatus() (leadership.Status, error) {
	before := clock.SinceBoot()
	status, err := h.control.call(Command{Op: OpStatus})
	h.setSilent(err != nil && !isAlive(err) && !h.hasAnsweredSince(before))
	return status, err
}

func (h *gate) hasAnsweredSince(at time.Duration) bool {
	h.group.mu.Lock()
	defer h.group.mu.Unlock()
	return h.member.lastReplyAt > at
}

// close refuses what waits. What runs finishes.
func (h *gate) close() {
	gone := result.Errorf(result.NotRunTargetLeaving, "the target has left")
	h.statements.RefuseAll(gone)
	h.transactions.RefuseAll(gone)
	h.pool.close()
	h.control.reset()
}

// begin admits a statement outside a transaction, or one that begins a transaction, and returns a connection with a
// statement slot, which execute releases. gateLease.end returns the connection and the slot of the transaction.
func (h *gate) begin(wanted connectionRequest, transaction bool) (*pooledConnection, error) {
	if h.isSilent() {
		return nil, errTargetSilent
	}
	if transaction {
		if err := h.enterTransactions(wanted); err != nil {
			return nil, err
		}
	}
	conn, err := h.beginStatement(wanted)
	if err != nil && transaction {
		h.transactions.End(wanted.item(), time.Now(), 0)
	}
	return conn, err
}

// enterTransactions waits for the right to an open transaction.
func (h *gate) enterTransactions(wanted connectionRequest) error {
	item := wanted.item()
	if wanted.workspace != "" {
		item.Limit = connections.MaxTransactions(h.transactions.Slots())
	}
	return awaitStart(h.transactions, h.transactions.Offer(item, time.Now()), wanted)
}

// beginStatement takes a statement slot and a connection. A connection is opened while the statement holds its slot,
// because that takes a slot of the target. A statement whose connection has to come free first waits for it without a
// slot, so that statements that have connections run meanwhile.
func (h *gate) beginStatement(wanted connectionRequest) (*pooledConnection, error) {
	if err := enter(h.statements, wanted); err != nil {
		return nil, err
	}
	if wanted.workspace != "" && h.pool.isFull() {
		h.endStatement(wanted, 0)
		return h.beginWithPlace(wanted)
	}
	conn, err := h.connect(wanted, h.pool.acquire)
	if err != nil {
		h.endStatement(wanted, 0)
		return nil, err
	}
	return conn, nil
}

// beginWithPlace waits for a place among the connections, then for a statement slot, and then takes a connection.
func (h *gate) beginWithPlace(wanted connectionRequest) (*pooledConnection, error) {
	h.pool.separateWorkspaces(wanted.workspace)
	if err := h.pool.admit(wanted); err != nil {
		return nil, err
	}
	if err := enter(h.statements, wanted); err != nil {
		h.pool.releaseSlot(wanted.workspace, time.Now(), 0)
		return nil, err
	}
	usesPlace := false
	conn, err := h.connect(wanted, func(wanted connectionRequest) (*pooledConnection, error) {
		usesPlace = true
		return h.pool.acquireOwned(wanted)
	})
	if err != nil {
		h.endStatement(wanted, 0)
	}
	if !usesPlace {
		h.pool.releaseSlot(wanted.workspace, time.Now(), 0)
	}
	return conn, err
}

// connect returns the connection that acquire returns, unless the target leaves or could not be reached a moment ago.
func (h *gate) connect(wanted connectionRequest, acquire func(connectionRequest) (*pooledConnection, error)) (*pooledConnection, error) {
	if !h.acceptsWork() {
		return nil, result.Errorf(result.NotRunTargetLeaving, "the target leaves")
	}
	wanted.openOnly = h.group.isAvoided(h.member)
	conn, err := acquire(wanted)
	if !wanted.openOnly && result.CodeOf(err) == result.NotRunUnreachable {
		h.group.recordUnreachable(h.member)
	}
	return conn, err
}

// acceptsWork reports whether statements may begin at the target.
func (h *gate) acceptsWork() bool {
	h.group.mu.Lock()
	defer h.group.mu.Unlock()
	return h.group.acceptsWork(h.member, clock.SinceBoot())
}

// enter waits for a slot of a queue.
func enter(queue *waitqueue.Queue, wanted connectionRequest) error {
	return awaitStart(queue, queue.Offer(wanted.item(), time.Now()), wanted)
}

// endStatement releases the statement slot. A served time of 0 stands for unknown.
func (h *gate) endStatement(wanted connectionRequest, served time.Duration) {
	h.statements.End(wanted.item(), time.Now(), served)
}

// statementSlot is the slot of a statement in progress. A statement whose answer is overdue leaves it early: the target
// has probably ended it and its answer is lost, or the connection is silent, and the slots would otherwise stay taken
// until the time limits of such statements. The slots of the target itself are not overbooked for long if it has not.
type statementSlot struct {
	gate    *gate
	wanted  connectionRequest
	once    sync.Once
	overdue *time.Timer
}

func (h *gate) newStatementSlot(wanted connectionRequest) *statementSlot {
	s := &statementSlot{gate: h, wanted: wanted}
	s.overdue = time.AfterFunc(max(minOverdue, overdueFactor*h.statements.ServiceTime()), func() { s.release(0) })
	return s
}

// release returns the slot, the first time that it is called. A served time of 0 stands for unknown.
func (s *statementSlot) release(served time.Duration) {
	s.once.Do(func() { s.gate.endStatement(s.wanted, served) })
}

// execute runs a command on a connection that holds a statement slot, and releases the slot.
func (h *gate) execute(conn *pooledConnection, e execution) attemptResult {
	h.group.recordSent(h.member, clock.SinceBoot())
	slot := h.newStatementSlot(e.connectionRequest)
	outcome := conn.run(e)
	slot.overdue.Stop()
	slot.release(outcome.reply.ServiceTime)
	h.group.recordEnded(h.member)
	if outcome.err == nil {
		h.setSilent(false)
		h.group.recordReply(h.member, outcome.reply, outcome.askedAt)
	} else if outcome.sent {
		h.group.recordFailure(h.member)
	}
	return outcome
}

// gateLease is a lease of a target that this daemon holds.
type gateLease struct {
	gate *gate
	// conn is set while a transaction is open, which began at began as wanted.
	conn   *pooledConnection
	began  time.Time
	wanted connectionRequest
	// ended is true once a transaction was begun and is no longer open. Nothing runs then, as it would be outside its
	// transaction.
	ended bool
}

func (l *gateLease) run(e execution) attemptResult {
	if l.conn != nil {
		return l.runInTransaction(e)
	}
	if l.ended {
		return attemptResult{err: errBroken}
	}
	transaction := e.command.Op.beginsTransaction()
	conn, err := l.gate.begin(e.connectionRequest, transaction)
	if err != nil {
		return attemptResult{refused: err}
	}
	l.began, l.wanted = time.Now(), e.connectionRequest
	outcome := l.gate.execute(conn, e)
	if transaction && conn.open && !conn.broken {
		l.conn = conn
		return outcome
	}
	if conn.open && !transaction {
		l.gate.pool.logUnexpectedTransaction(e)
	}
	l.end(conn, transaction)
	l.ended = transaction
	return outcome
}

// runInTransaction runs a statement of the open transaction before all statements that are in none. A rollback does not
// wait.
func (l *gateLease) runInTransaction(e execution) attemptResult {
	if e.command.Op != OpRollback {
		e.class = admission.ClassTransaction
		if err := enter(l.gate.statements, e.connectionRequest); err != nil {
			return attemptResult{refused: err}
		}
		outcome := l.gate.execute(l.conn, e)
		l.endIfClosed()
		return outcome
	}
	outcome := l.conn.run(e)
	l.endIfClosed()
	return outcome
}

// endIfClosed ends the transaction when the last reply said that it is closed, or its connection is lost.
func (l *gateLease) endIfClosed() {
	if !l.conn.open || l.conn.broken {
		l.release()
	}
}

// end returns a connection to the pool and, after a transaction, its slot.
func (l *gateLease) end(conn *pooledConnection, transaction bool) {
	conn.broken = conn.broken || conn.open
	l.gate.pool.release(conn)
	if transaction {
		now := time.Now()
		l.gate.transactions.End(l.wanted.item(), now, now.Sub(l.began))
	}
}

func (l *gateLease) release() {
	if l.conn != nil {
		l.end(l.conn, true)
		l.conn, l.ended = nil, true
	}
}

// proofOf returns the term and the age of the leadership proof of a target, or 0 when there is no valid one. It waits a
// little for one that is newer than since if wait is true.
func (h *gate) proofOf(since time.Duration, wait bool) (term uint64, age time.Duration) {
	if wait {
		h.group.awaitProof(h.member, h.group.presumedTerm(), since, time.Now().Add(gateProofWait))
	}
	return h.group.proofOf(h.member.name)
}

// confirm reports whether a commit of the target in a term is confirmed in time.
func (h *gate) confirm(term uint64, outcome attemptResult) bool {
	return h.group.awaitCommit(h.member, term, outcome, time.Now().Add(gateCommitWait))
}

package gate

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/target"
	"github.com/sirupsen/logrus"
)

// Cancel cancels the batch of a session with the given sequence number if it is running, or whichever is running if the number
// is 0, as that of an older daemon. It reports whether there was one.
func (g *Gate) Cancel(session string, sequence uint64) bool {
	g.mu.Lock()
	running, ok := g.inflight[session]
	ok = ok && (sequence == 0 || sequence == running.req.Sequence)
	if ok {
		running.slot.cancelled = true
	}
	g.mu.Unlock()
	if !ok {
		return false
	}
	g.cancelAt(running.slot)
	return true
}

// cancelAt sends a cancel request for the connection to the target.
func (g *Gate) cancelAt(s *slot) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	err := target.SendCancelRequest(ctx, s.address, g.options.Target, s.connection.ProcessID, s.connection.SecretKey)
	if err != nil {
		logrus.WithFields(logrus.Fields{logfield.Group: g.options.Group.Name, logfield.Target: g.options.Spec.Name, logfield.Error: err}).Warn(logevent.CancelFailed)
	}
}

// Release rolls back the transaction of a session and drops its answers, up to the batch with the given sequence
// number. It reports whether a transaction was rolled back at once. Batches up to that number that arrive afterwards
// are refused, since a daemon that resumes after a pause may read a release before the batch.
func (g *Gate) Release(session string, sequence uint64) bool {
	g.released.record(session, sequence)
	g.abandonAnswers(session, sequence)
	ended := g.transactions.abandon(func(t *transaction) bool { return t.session == session && t.sequence <= sequence })
	g.rollBack(ended, "released")
	return len(ended) > 0
}

// endTransaction rolls back the transaction of a session.
func (g *Gate) endTransaction(session string) bool {
	ended := g.transactions.abandon(func(t *transaction) bool { return t.session == session })
	g.rollBack(ended, "released")
	return len(ended) > 0
}

// ReleaseGoneOwners rolls back the transactions of the sessions whose daemon is gone.
func (g *Gate) ReleaseGoneOwners(isGone func(owner string) bool) {
	ended := g.transactions.abandon(func(t *transaction) bool {
		owner, _, _ := strings.Cut(t.session, "/")
		return isGone(owner)
	})
	g.rollBack(ended, "daemon_gone")
}

// endIdleTransactions rolls back the transactions that were idle for longer than the limit.
func (g *Gate) endIdleTransactions() {
	limit := time.Duration(g.options.Limits.IdleTransactionTimeoutMs) * time.Millisecond
	ended := g.transactions.abandon(func(t *transaction) bool { return time.Since(t.lastUsed) > limit })
	g.rollBack(ended, "idle_in_transaction")
}

// rollBack rolls back transactions that were removed from the table, and releases their slots, in the background.
func (g *Gate) rollBack(ended []*transaction, reason string) {
	for _, t := range ended {
		logrus.WithFields(logrus.Fields{
			logfield.Group: g.options.Group.Name, logfield.Target: g.options.Spec.Name, logfield.Session: t.session, logfield.Reason: reason,
		}).Info(logevent.TransactionRolledBack)
		go func() {
			t.connectionMu.Lock()
			defer t.connectionMu.Unlock()
			broken := !t.slot.rollBack()
			g.releaseSlot(t.slot, t.admitted, broken)
		}()
	}
}

// checkIdleTransactions checks the connections of idle transactions. The checks keep the target from ending the
// connections as idle, and find half-open ones, whose transactions would hold locks until the next batch of the
// session.
func (g *Gate) checkIdleTransactions() {
	var checks sync.WaitGroup
	for _, due := range g.transactions.due(checkAfter) {
		checks.Go(func() { g.checkTransaction(due) })
	}
	checks.Wait()
}

func (g *Gate) checkTransaction(due *transaction) {
	due.connectionMu.Lock()
	defer due.connectionMu.Unlock()
	if !g.transactions.startCheck(due) || due.slot.check(checkTimeout) {
		return
	}
	ended := g.transactions.abandon(func(t *transaction) bool { return t == due })
	g.rollBack(ended, "silent")
}

// releaseSlot returns the connection to the pool and releases the admission. A cancelled connection is closed instead,
// because a cancel request that arrives late must not cancel a batch of another session.
func (g *Gate) releaseSlot(s *slot, admitted *ticket, broken bool) {
	g.mu.Lock()
	s.broken = s.broken || s.cancelled || broken
	g.mu.Unlock()
	g.pool.release(s)
	admitted.free()
}

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

// Cancel cancels the batch that a session is running.
func (g *Gate) Cancel(session string) bool {
	g.mu.Lock()
	running, ok := g.inflight[session]
	if ok {
		running.cancelled = true
	}
	g.mu.Unlock()
	if !ok {
		return false
	}
	g.cancelAt(running)
	return true
}

func (g *Gate) cancelAt(s *slot) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	err := target.CancelRequest(ctx, s.address, g.options.Target, s.connection.ProcessID, s.connection.SecretKey)
	if err != nil {
		logrus.WithFields(logrus.Fields{logfield.Group: g.options.Group.Name, logfield.Target: g.options.Spec.Name, logfield.Error: err}).Warn(logevent.CancelFailed)
	}
}

// Release rolls back what a session has open and gives up its answers, up to a batch. Batches up to
// it that come later do not start: a frozen daemon may read a release before the batch.
func (g *Gate) Release(session string, sequence uint64) bool {
	g.released.note(session, sequence)
	g.abandonAnswers(session, sequence)
	ended := g.transactions.abandon(func(t *transaction) bool { return t.session == session && t.sequence <= sequence })
	g.rollBack(ended, "released")
	return len(ended) > 0
}

func (g *Gate) endTransaction(session string) bool {
	ended := g.transactions.abandon(func(t *transaction) bool { return t.session == session })
	g.rollBack(ended, "released")
	return len(ended) > 0
}

// ReleaseOwner rolls back what the sessions of a daemon have open.
func (g *Gate) ReleaseOwner(isGone func(owner string) bool) {
	ended := g.transactions.abandon(func(t *transaction) bool {
		owner, _, _ := strings.Cut(t.session, "/")
		return isGone(owner)
	})
	g.rollBack(ended, "daemon_gone")
}

func (g *Gate) endIdleTransactions() {
	limit := time.Duration(g.options.Limits.IdleTransactionTimeoutMs) * time.Millisecond
	ended := g.transactions.abandon(func(t *transaction) bool { return time.Since(t.lastUsed) > limit })
	g.rollBack(ended, "idle_in_transaction")
}

func (g *Gate) rollBack(ended []*transaction, reason string) {
	for _, t := range ended {
		logrus.WithFields(logrus.Fields{
			logfield.Group: g.options.Group.Name, logfield.Target: g.options.Spec.Name, logfield.Session: t.session, logfield.Reason: reason,
		}).Info(logevent.TransactionRolledBack)
		go func() {
			t.line.Lock()
			defer t.line.Unlock()
			broken := !t.slot.rollBack()
			g.finish(t.slot, t.admitted, broken)
		}()
	}
}

// checkIdleTransactions checks the connections of idle transactions, so that the target does not end
// them, and a connection that went silent does not hold locks until the caller comes back.
func (g *Gate) checkIdleTransactions() {
	var checks sync.WaitGroup
	for _, quiet := range g.transactions.quiet(checkAfter) {
		checks.Go(func() { g.checkTransaction(quiet) })
	}
	checks.Wait()
}

func (g *Gate) checkTransaction(quiet *transaction) {
	quiet.line.Lock()
	defer quiet.line.Unlock()
	if !g.transactions.startCheck(quiet) || quiet.slot.check(checkTimeout) {
		return
	}
	ended := g.transactions.abandon(func(t *transaction) bool { return t == quiet })
	g.rollBack(ended, "silent")
}

// finish gives the connection and the admission back. A cancel request that is still on its way
// must not meet another session, so that a connection that was cancelled is closed.
func (g *Gate) finish(s *slot, admitted *ticket, broken bool) {
	g.mu.Lock()
	s.broken = s.broken || s.cancelled || broken
	g.mu.Unlock()
	g.pool.release(s)
	admitted.done()
}

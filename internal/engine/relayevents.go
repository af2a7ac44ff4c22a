package engine

import (
	"expvar"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
)

// relayCounters counts the connections of other daemons and what became of relayed transactions, published as the expvar
// variable "engine_relays".
var relayCounters = expvar.NewMap("engine_relays")

// The entries of relayCounters.
const (
	countSessionsOpened = "sessions_opened"
	countSessionsEnded  = "sessions_ended"
	// countRolledBack counts the open transactions of connections that ended.
	countRolledBack = "transactions_rolled_back"
	// countLost counts the transactions that this daemon lost at a holder.
	countLost = "transactions_lost"
	// countNotContinued counts the statements of other daemons for transactions that are not open here.
	countNotContinued = "transactions_not_continued"
	// countNotAnswered counts the statements of other daemons whose connection ended before their reply.
	countNotAnswered = "statements_not_answered"
	// countUnexpected counts the connections on which a target reported a transaction that nobody had begun.
	countUnexpected = "transactions_unexpected"
)

// logOpened counts and logs the begin of a connection of another daemon.
func (s *RelaySession) logOpened() {
	relayCounters.Add(countSessionsOpened, 1)
	if limiter.Allow("relay_session_opened", time.Now()) {
		logrus.WithField(logfield.Peer, s.peer).Info(logevent.RelaySessionOpened)
	}
}

// logEnded counts and logs the end of a connection of another daemon, with the number of transactions rolled back.
func (s *RelaySession) logEnded(rolledBack int) {
	relayCounters.Add(countSessionsEnded, 1)
	relayCounters.Add(countRolledBack, int64(rolledBack))
	if limiter.Allow("relay_session_ended", time.Now()) {
		logrus.WithFields(logrus.Fields{
			logfield.Peer: s.peer, logfield.Transactions: rolledBack, logfield.Elapsed: clock.SinceBoot() - s.openedAt,
		}).Info(logevent.RelaySessionEnded)
	}
}

// logNotContinued counts and logs a statement of another daemon for a transaction that is not open on its connection.
func (s *RelaySession) logNotContinued(group, target string, transaction uint64, e execution, reason error) {
	relayCounters.Add(countNotContinued, 1)
	if limiter.Allow("relay_not_continued", time.Now()) {
		logrus.WithFields(logrus.Fields{
			logfield.Peer: s.peer, logfield.Group: group, logfield.Target: target, logfield.Transaction: transaction,
			logfield.Request: e.command.ID, logfield.Operation: e.command.Op.String(), logfield.Reason: reason,
		}).Info(logevent.RelayNotContinued)
	}
}

// logTransactionLost counts and logs that the open transaction is lost at its holder.
func (l *relayedLease) logTransactionLost(e execution, reason error) {
	relayCounters.Add(countLost, 1)
	if limiter.Allow("relay_transaction_lost", time.Now()) {
		logrus.WithFields(logrus.Fields{
			logfield.Peer: l.address, logfield.Group: l.group.name, logfield.Target: l.member.name, logfield.Transaction: l.transaction,
			logfield.Request: e.command.ID, logfield.Operation: e.command.Op.String(), logfield.Reason: reason,
		}).Info(logevent.RelayTransactionLost)
	}
}

// logUnexpectedTransaction counts and logs a target's report of an open transaction after a statement that began none on a
// connection of the pool: the connection was in a transaction before.
func (p *pool) logUnexpectedTransaction(e execution) {
	relayCounters.Add(countUnexpected, 1)
	if limiter.Allow("transaction_unexpected", time.Now()) {
		logrus.WithFields(logrus.Fields{
			logfield.Target: p.target().Name, logfield.Request: e.command.ID, logfield.Operation: e.command.Op.String(),
		}).Warn(logevent.TransactionUnexpected)
	}
}

// log returns an entry that names the statement and its step.
func (r *relayedStatement) log() *logrus.Entry {
	entry := logrus.WithFields(logrus.Fields{
		logfield.Peer: r.session.peer, logfield.Group: r.group, logfield.Target: r.target, logfield.Request: r.id,
		logfield.Operation: r.op.String(), logfield.Step: r.step().String(), logfield.InTransaction: r.inTransaction,
		logfield.Elapsed: clock.SinceBoot() - r.arrived,
	})
	if stop := r.session.engine.plannedStop.Load(); stop != nil {
		entry = entry.WithField(logfield.SinceStop, time.Since(stop.began))
	}
	return entry
}

// logNotAnswered counts and logs a statement whose reply is lost, because the connection of the other daemon has ended.
func (r *relayedStatement) logNotAnswered() {
	relayCounters.Add(countNotAnswered, 1)
	if limiter.Allow(logevent.RelayNotAnswered, time.Now()) {
		r.log().Info(logevent.RelayNotAnswered)
	}
}

// logRelaysDraining logs what runs for other daemons when a planned stop begins.
func (e *Engine) logRelaysDraining() {
	statements, transactions := e.relayedWork()
	logrus.WithFields(logrus.Fields{
		logfield.Statements: len(statements), logfield.Transactions: transactions,
	}).Info(logevent.RelaysDraining)
}

// logRelayedTransactionsEnded logs that a planned stop ends the open transactions of other daemons.
func (e *Engine) logRelayedTransactionsEnded(transactions int) {
	logrus.WithField(logfield.Transactions, transactions).Info(logevent.RelayTransactionsEnded)
}

// LogRelaysCut logs the statements of other daemons that the end of a planned stop leaves without a reply.
func (e *Engine) LogRelaysCut() {
	statements, transactions := e.relayedWork()
	if len(statements)+transactions == 0 {
		return
	}
	logrus.WithFields(logrus.Fields{
		logfield.Statements: len(statements), logfield.Transactions: transactions,
	}).Warn(logevent.RelaysCut)
	for _, r := range statements {
		if limiter.Allow(logevent.RelayStatementCut, time.Now()) {
			r.log().Warn(logevent.RelayStatementCut)
		}
	}
}

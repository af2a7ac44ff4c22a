package engine

import (
	"errors"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/result"
)

// lease is the right to run statements at one target: on a connection of this daemon, or through the daemon that holds
// the target. It serves one statement, or one transaction, of one session.
type lease interface {
	// run gives the connection the session state and runs the command once.
	run(e execution) attemptResult
	// release ends the lease. What is still open on the connection is rolled back.
	release()
}

// execution is one command, with what it requires of its connection.
type execution struct {
	state    sessionState
	command  Command
	deadline time.Time
	// class, startBy and lateUntil are those of the statement in the queue of a holder.
	connectionRequest
	// commits is true if success means that a write was committed, needsProof if the caller needs a leadership proof
	// of the target beside the reply.
	commits    bool
	needsProof bool
	// permits returns why the command may not be sent on behalf of an identity; nil for a command that always may.
	permits func(callers.Identity) error
}

// identity returns on whose behalf the command runs.
func (e *execution) identity() callers.Identity {
	return callers.Identity{Workspace: e.workspace, Key: e.key}
}

// authorize returns why the command may not be sent at the moment; nil if it may. A rollback may always be sent, but without
// the id of a caller that may run nothing.
func (e *execution) authorize() error {
	if e.permits == nil {
		return nil
	}
	err := e.permits(e.identity())
	if err != nil && e.command.Op == OpRollback {
		e.command.ID = ""
		return nil
	}
	return err
}

// attemptResult is the outcome of one attempt on one connection.
type attemptResult struct {
	reply Reply
	// refused is set when the statement was not sent to the target, because no connection was available for it.
	refused error
	// err is set when no reply arrived.
	err error
	// sent is false when the statement certainly did not reach the target.
	sent bool
	// byHolder is true when err says that the holder, not the target, did not answer.
	byHolder bool
	// askedAt is the time of the boot clock before the statement was sent.
	askedAt time.Duration
	// confirmed is true if the holder has confirmed the commit, as awaitCommit does.
	confirmed bool
}

// directLease is a lease of a connection of this daemon.
type directLease struct {
	pool *pool
	conn *pooledConnection
	// began is true once a transaction has begun.
	began bool
}

func (l *directLease) run(e execution) attemptResult {
	wasOpen := l.conn.open
	if l.began && !wasOpen {
		// The transaction has ended, and nothing may run outside it.
		return attemptResult{err: errBroken}
	}
	l.began = l.began || e.command.Op.beginsTransaction()
	outcome := l.conn.run(e)
	if l.conn.open && !wasOpen && !e.command.Op.beginsTransaction() {
		l.pool.logUnexpectedTransaction(e)
	}
	return outcome
}

func (l *directLease) release() {
	l.conn.broken = l.conn.broken || l.conn.open
	l.pool.release(l.conn)
}

// errBroken means that the connection was lost with an earlier command.
var errBroken = errors.New("the connection was lost")

// run gives the connection the session state and runs the command once.
func (c *pooledConnection) run(e execution) attemptResult {
	if c.broken {
		return attemptResult{err: errBroken}
	}
	if err := e.state.applyTo(c, e.deadline); err != nil {
		return attemptResult{err: err}
	}
	if err := e.authorize(); err != nil {
		return notPermitted(err)
	}
	askedAt := clock.SinceBoot()
	replies, err := c.Exchange(e.deadline, e.command)
	if err != nil {
		c.broken = true
		return attemptResult{err: err, sent: true, askedAt: askedAt}
	}
	reply := replies[0]
	reply.ServiceTime = clock.SinceBoot() - askedAt
	if reply.Failure != nil && reply.Failure.Kind == FailureUnknownStatement {
		delete(c.prepared, e.command.Name)
	}
	c.open = reply.State != StateIdle || e.command.Op == OpRollback && reply.Failure != nil
	if c.setInTransaction && !c.open {
		c.setInTransaction, c.valuesUnknown = false, e.command.Op != OpCommit || reply.Failure != nil
	}
	return attemptResult{reply: reply, sent: true, askedAt: askedAt}
}

// notPermitted returns the outcome of an attempt that was not sent because the caller may run nothing. err is set too, so
// that nobody takes the empty reply for that of the target.
func notPermitted(err error) attemptResult { return attemptResult{refused: err, err: err} }

// isNotPermitted reports whether a refusal says that the caller may run nothing at the daemon that refused.
func isNotPermitted(code result.Code) bool {
	return code == result.AuthenticationFailed || code == result.NotRunUnproved
}

// mayHaveRun reports whether the target may have run the command.
func (r attemptResult) mayHaveRun() bool {
	return r.sent && (r.err != nil || r.reply.Failure == nil || !r.reply.Failure.Kind.IsNotRun())
}

// notRun returns the outcome of an attempt that was not sent.
func notRun(code result.Code, format string, args ...any) attemptResult {
	return attemptResult{refused: result.Errorf(code, format, args...)}
}

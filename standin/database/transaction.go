package database

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/invariant"
	"github.com/papayacove/papayacove/internal/target"
	"github.com/papayacove/papayacove/standin/database/sqltext"
)

// transaction is the state of a transaction block, or of the implicit transaction of a write outside
// a block.
type transaction struct {
	// block is true from BEGIN to COMMIT or ROLLBACK.
	block bool
	// open is true while the SQLite connection has an open transaction.
	open bool
	// writes is true while the session holds the write lock.
	writes   bool
	readOnly bool
	failed   bool
	// savepoints is true once a savepoint was set, after which a failure may be rolled back in part.
	savepoints bool
	// term is the term of the target at the start of a write transaction.
	term uint64
	now  string
	// log holds the statements that replicas replay.
	log           []loggedStatement
	changesSchema bool
}

// Transaction states of ReadyForQuery.
const (
	statusIdle        = 'I'
	statusTransaction = 'T'
	statusFailed      = 'E'
)

// status returns the transaction state of ReadyForQuery.
func (t *transaction) status() byte {
	switch {
	case t.block && t.failed:
		return statusFailed
	case t.block:
		return statusTransaction
	default:
		return statusIdle
	}
}

// begin starts a block. On a primary, a block that is not read-only takes the write lock.
func (s *session) begin(readOnly bool) error {
	if s.transaction.block {
		return nil
	}
	if err := s.endImplicit(); err != nil {
		return err
	}
	readOnly = readOnly || s.settings.get(settingReadOnly) == "on"
	s.settings.beginTransaction()
	if readOnly || s.target.snapshot().Role != target.RolePrimary {
		s.transaction = transaction{block: true, readOnly: readOnly, open: true, now: storedNow()}
		return s.db.exec("BEGIN")
	}
	return s.beginWrite(true)
}

// beginWrite takes the write lock and starts a transaction in SQLite. It fails unless the target is a primary.
func (s *session) beginWrite(block bool) error {
	if err := s.target.store.acquireWriteLock(s.db.interrupted()); err != nil {
		return s.db.interruptCause(err)
	}
	current := s.target.snapshot()
	s.transaction = transaction{block: block, writes: true, term: current.Term, now: storedNow()}
	// writeTerm is set before the check, and terminateFencedWriters reads it after the role or term
	// has changed, so that at least one of the two detects the change.
	s.writeTerm.Store(current.Term)
	if err := s.target.checkPrimary(current.Term); err != nil {
		s.abort()
		return failuref(sqlStateReadOnly, "cannot write: target is not a primary")
	}
	if err := s.db.exec("BEGIN IMMEDIATE"); err != nil {
		s.abort()
		return err
	}
	s.transaction.open = true
	return nil
}

// commit commits the transaction. If it returns nil, the log has the record of the changes, if any.
func (s *session) commit() error {
	t := &s.transaction
	defer s.abort()
	if !t.open {
		s.settings.endTransaction(true)
		return nil
	}
	if len(t.log) == 0 {
		err := s.db.exec("COMMIT")
		t.open = err != nil
		s.settings.endTransaction(err == nil)
		return err
	}
	err := s.commitRecord()
	s.settings.endTransaction(err == nil)
	return err
}

// commitRecord appends the record and commits. It holds roleMu, so that no order changes role or term meanwhile.
func (s *session) commitRecord() error {
	t, txn := s.target, &s.transaction
	t.roleMu.RLock()
	defer t.roleMu.RUnlock()
	if err := t.checkPrimary(txn.term); err != nil {
		return fatalf(sqlStateShutdown, "term %d has been fenced", txn.term)
	}
	last, applied := t.positions()
	fields := logrus.Fields{"received": last, "applied": applied, "term": txn.term}
	if !invariant.Check(last == applied && txn.term >= last.Term, "primary_appends_in_its_term", fields) {
		return failuref(sqlStateInternal, "log of the primary is at %s", last)
	}
	e, err := newEntry(last, txn.term, record{Now: txn.now, Statements: txn.log})
	if err != nil {
		return err
	}
	if err := storeEntry(s.db, last, e); err != nil {
		return err
	}
	if err := setApplied(s.db, e.Offset); err != nil {
		return err
	}
	if err := s.db.exec("COMMIT"); err != nil {
		return err
	}
	txn.open = false
	if txn.changesSchema {
		t.invalidateCatalog()
	}
	t.setReceivedAndApplied(e.position())
	return nil
}

// abort rolls back the open transaction, if any, and releases the write lock.
func (s *session) abort() {
	if s.transaction.open {
		s.db.rollback()
	}
	if s.transaction.writes {
		s.writeTerm.Store(0)
		s.target.store.releaseWriteLock()
	}
	s.settings.endTransaction(false)
	s.transaction = transaction{}
}

// failTransaction marks a block as failed, or aborts an implicit transaction. A block without
// savepoints is rolled back at once, so that the write lock is not held until the client ends it.
func (s *session) failTransaction() {
	if !s.transaction.block {
		s.abort()
		return
	}
	if !s.transaction.savepoints {
		readOnly := s.transaction.readOnly
		s.abort()
		s.transaction = transaction{block: true, readOnly: readOnly}
	}
	s.transaction.failed = true
}

// endImplicit commits the implicit transaction, if there is one.
func (s *session) endImplicit() error {
	if s.transaction.block || !s.transaction.open {
		return nil
	}
	return s.commit()
}

// admit checks whether the statement may run in the present state, and starts an implicit
// transaction for a write outside a block.
func (s *session) admit(statement *sqltext.Statement) error {
	if s.transaction.failed {
		return failuref(sqlStateFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
	}
	writes := statement.Kind == sqltext.KindWrite || statement.Kind == sqltext.KindSchema
	if !writes && !statement.LocksRows {
		return nil
	}
	readOnly := s.transaction.readOnly || !s.transaction.block && s.settings.get(settingReadOnly) == "on"
	if readOnly || s.target.snapshot().Role != target.RolePrimary {
		return failuref(sqlStateReadOnly, "cannot execute %s in a read-only transaction", statement.Tag)
	}
	if s.transaction.writes || !writes {
		return nil
	}
	if s.transaction.block {
		return failuref(sqlStateReadOnly, "the transaction began before the target became a primary")
	}
	return s.beginWrite(false)
}

// logWrite adds a statement that changed rows or the schema to the record of the transaction.
func (s *session) logWrite(p *prepared, params []datum, seed uint64) {
	s.transaction.log = append(s.transaction.log, loggedStatement{SQL: p.statement.SQL, Params: params, Seed: seed})
	if p.statement.Kind == sqltext.KindSchema {
		s.transaction.changesSchema = true
		s.target.invalidateCatalog()
	}
}

// storedNow returns the present time in timestampLayout.
func storedNow() string {
	return time.Now().UTC().Format(timestampLayout)
}

func newSeed() uint64 {
	return rand.Uint64()
}

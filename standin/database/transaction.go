package database

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/invariant"
	"github.com/papayacove/papayacove/internal/target"
	"github.com/papayacove/papayacove/standin/database/sqltext"
)

// transaction is the state of a session between BEGIN and its end, or of the implicit
// transaction around a write outside a block.
type transaction struct {
	// block is true between BEGIN and COMMIT or ROLLBACK.
	block bool
	// open is true while SQLite has a transaction.
	open bool
	// writes is true while the session holds the write lock.
	writes   bool
	readOnly bool
	failed   bool
	// savepoints is true once a savepoint was set, so that a failure may be undone in part.
	savepoints bool
	// term is the term of the primary at the start of a write transaction.
	term uint64
	now  string
	// log holds the statements that replicas have to repeat.
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

// begin opens a block. Unless it is read only, a block on a primary takes the write lock.
func (s *session) begin(readOnly bool) error {
	if s.transaction.block {
		return nil
	}
	if err := s.endImplicit(); err != nil {
		return err
	}
	readOnly = readOnly || s.settings.get(settingReadOnly) == "on"
	s.settings.begin()
	if readOnly || s.target.snapshot().Role != target.RolePrimary {
		s.transaction = transaction{block: true, readOnly: readOnly, open: true, now: storedNow()}
		return s.db.exec("BEGIN")
	}
	return s.beginWrite(true)
}

// beginWrite takes the write lock and opens a transaction in SQLite.
func (s *session) beginWrite(block bool) error {
	if err := s.target.store.acquire(s.db.interrupted()); err != nil {
		return s.db.interruptCause(err)
	}
	current := s.target.snapshot()
	s.transaction = transaction{block: block, writes: true, term: current.Term, now: storedNow()}
	// The order of these two steps matters: endWriters looks at writeTerm after the change.
	s.writeTerm.Store(current.Term)
	if err := s.target.checkPrimary(current.Term); err != nil {
		s.abort()
		return failuref(stateReadOnly, "cannot write: target is not a primary")
	}
	if err := s.db.exec("BEGIN IMMEDIATE"); err != nil {
		s.abort()
		return err
	}
	s.transaction.open = true
	return nil
}

// commit ends the transaction. The record is in the log when it returns without an error.
func (s *session) commit() error {
	t := &s.transaction
	defer s.abort()
	if !t.open {
		s.settings.end(true)
		return nil
	}
	if len(t.log) == 0 {
		err := s.db.exec("COMMIT")
		t.open = err != nil
		s.settings.end(err == nil)
		return err
	}
	err := s.commitRecord()
	s.settings.end(err == nil)
	return err
}

// commitRecord appends the record and commits, while no order can change role or term.
func (s *session) commitRecord() error {
	t, txn := s.target, &s.transaction
	t.orders.RLock()
	defer t.orders.RUnlock()
	if err := t.checkPrimary(txn.term); err != nil {
		return fatalf(stateShutdown, "term %d has been fenced", txn.term)
	}
	last, applied := t.positions()
	fields := logrus.Fields{"received": last, "applied": applied, "term": txn.term}
	if !invariant.Check(last == applied && txn.term >= last.Term, "primary_appends_in_its_term", fields) {
		return failuref(stateInternal, "log of the primary is at %s", last)
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
		t.forgetCatalog()
	}
	t.setBoth(e.position())
	return nil
}

// abort rolls back what is open and gives the write lock back.
func (s *session) abort() {
	if s.transaction.open {
		s.db.rollback()
	}
	if s.transaction.writes {
		s.writeTerm.Store(0)
		s.target.store.release()
	}
	s.settings.end(false)
	s.transaction = transaction{}
}

// failTransaction marks a block as failed. Without savepoints its work is undone at once, so that
// the write lock does not wait for the client.
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

// admit checks that the statement may run now, before anything runs, and opens an implicit
// transaction for a write.
func (s *session) admit(statement *sqltext.Statement) error {
	if s.transaction.failed {
		return failuref(stateFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
	}
	writes := statement.Kind == sqltext.KindWrite || statement.Kind == sqltext.KindSchema
	if !writes && !statement.LocksRows {
		return nil
	}
	readOnly := s.transaction.readOnly || !s.transaction.block && s.settings.get(settingReadOnly) == "on"
	if readOnly || s.target.snapshot().Role != target.RolePrimary {
		return failuref(stateReadOnly, "cannot execute %s in a read-only transaction", statement.Tag)
	}
	if s.transaction.writes || !writes {
		return nil
	}
	if s.transaction.block {
		return failuref(stateReadOnly, "the transaction began before the target became a primary")
	}
	return s.beginWrite(false)
}

// logWrite notes a statement that changed something.
func (s *session) logWrite(p *prepared, params []datum, seed uint64) {
	s.transaction.log = append(s.transaction.log, loggedStatement{SQL: p.statement.SQL, Params: params, Seed: seed})
	if p.statement.Kind == sqltext.KindSchema {
		s.transaction.changesSchema = true
		s.target.forgetCatalog()
	}
}

// storedNow returns the present time as functions return it.
func storedNow() string {
	return time.Now().UTC().Format(timestampLayout)
}

func newSeed() uint64 {
	return rand.Uint64()
}

package database

import (
	"fmt"
	"sync"
	"time"

	"zombiezen.com/go/sqlite"
)

// busyTimeout bounds the wait for locks that SQLite takes internally, such as for a checkpoint.
const busyTimeout = 5 * time.Second

// sqlConn is one SQLite connection with the functions that PostgreSQL has and SQLite lacks.
// One goroutine uses it, but any may call interrupt.
type sqlConn struct {
	conn *sqlite.Conn
	// eval holds the values that SQL functions read while a statement runs.
	eval evalContext

	mu              sync.Mutex
	interruptSignal chan struct{}
	cause           *failure
	isInterrupted   bool
}

// openConn opens the database file at path.
func openConn(path string) (*sqlConn, error) {
	conn, err := sqlite.OpenConn(path)
	if err != nil {
		return nil, fmt.Errorf("open database: %w", err)
	}
	c := &sqlConn{conn: conn, interruptSignal: make(chan struct{})}
	conn.SetBusyTimeout(busyTimeout)
	if err := c.exec("PRAGMA synchronous = off"); err != nil {
		conn.Close()
		return nil, err
	}
	if err := c.exec("PRAGMA foreign_keys = on"); err != nil {
		conn.Close()
		return nil, err
	}
	if err := c.registerFunctions(); err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetInterrupt(c.interruptSignal)
	return c, nil
}

func (c *sqlConn) close() error {
	return c.conn.Close()
}

// exec runs a statement to completion and discards its rows.
func (c *sqlConn) exec(sql string, params ...datum) error {
	return c.query(sql, nil, params...)
}

// query runs a statement and calls row for each row, unless row is nil.
func (c *sqlConn) query(sql string, row func(*sqlite.Stmt) error, params ...datum) error {
	stmt, err := c.conn.Prepare(sql)
	if err != nil {
		return fmt.Errorf("prepare %q: %w", sql, err)
	}
	return c.run(stmt, row, params)
}

// run binds params and steps through the rows.
func (c *sqlConn) run(stmt *sqlite.Stmt, row func(*sqlite.Stmt) error, params []datum) error {
	defer stmt.Reset()
	for i, p := range params {
		if i < stmt.BindParamCount() {
			p.bind(stmt, i+1)
		}
	}
	for {
		more, err := stmt.Step()
		if err != nil {
			return c.interruptCause(err)
		}
		if !more {
			return nil
		}
		if row == nil {
			continue
		}
		if err := row(stmt); err != nil {
			return err
		}
	}
}

// inTransaction runs do between BEGIN IMMEDIATE and COMMIT, and rolls back if either fails.
func (c *sqlConn) inTransaction(do func() error) error {
	if err := c.exec("BEGIN IMMEDIATE"); err != nil {
		return err
	}
	if err := do(); err != nil {
		c.rollback()
		return err
	}
	if err := c.exec("COMMIT"); err != nil {
		c.rollback()
		return err
	}
	return nil
}

// rollback rolls back the open transaction, if there is one, also after an interrupt.
func (c *sqlConn) rollback() {
	c.clearInterrupt()
	if !c.conn.AutocommitEnabled() {
		c.exec("ROLLBACK")
	}
}

// interrupt makes the running statement, and each later one until clearInterrupt, fail with cause.
func (c *sqlConn) interrupt(cause *failure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isInterrupted {
		return
	}
	c.isInterrupted = true
	c.cause = cause
	close(c.interruptSignal)
}

// clearInterrupt allows statements to run again after an interrupt.
func (c *sqlConn) clearInterrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isInterrupted {
		return
	}
	c.isInterrupted = false
	c.cause = nil
	c.interruptSignal = make(chan struct{})
	c.conn.SetInterrupt(c.interruptSignal)
}

// interruptCause returns the cause of the interrupt in force, or err if there is none.
func (c *sqlConn) interruptCause(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isInterrupted && c.cause != nil {
		return c.cause
	}
	return err
}

// checkInterrupt returns the cause if the running statement was interrupted. It is needed because
// zombiezen.com/go/sqlite discards errors of functions, so an interrupted pg_sleep returns a value
// instead of an error.
func (c *sqlConn) checkInterrupt() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isInterrupted {
		return c.cause
	}
	return nil
}

// interrupted returns the channel that is closed by interrupt.
func (c *sqlConn) interrupted() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.interruptSignal
}

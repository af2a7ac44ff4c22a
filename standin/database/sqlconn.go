package database

import (
	"fmt"
	"sync"
	"time"

	"zombiezen.com/go/sqlite"
)

// busyTimeout bounds waiting for locks that SQLite takes for itself, such as for a checkpoint.
const busyTimeout = 5 * time.Second

// sqlConn is one SQLite connection with the functions that PostgreSQL has and SQLite lacks.
// One goroutine uses it; interrupt may be called by any.
type sqlConn struct {
	conn *sqlite.Conn
	// eval is the state that functions read while a statement runs.
	eval evaluation

	mu        sync.Mutex
	done      chan struct{}
	cause     *failure
	cancelled bool
}

// openConn opens the database file at path.
func openConn(path string) (*sqlConn, error) {
	conn, err := sqlite.OpenConn(path)
	if err != nil {
		return nil, fmt.Errorf("open database: %w", err)
	}
	c := &sqlConn{conn: conn, done: make(chan struct{})}
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
	conn.SetInterrupt(c.done)
	return c, nil
}

func (c *sqlConn) close() error {
	return c.conn.Close()
}

// exec runs a statement to its end and drops its rows.
func (c *sqlConn) exec(sql string, params ...datum) error {
	return c.query(sql, nil, params...)
}

// query runs a statement and calls row for each row.
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

// inTransaction runs do between BEGIN IMMEDIATE and COMMIT.
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

// rollback ends a transaction, if there is one.
func (c *sqlConn) rollback() {
	c.rearm()
	if !c.conn.AutocommitEnabled() {
		c.exec("ROLLBACK")
	}
}

// interrupt ends the running statement, and each later one up to rearm, with cause.
func (c *sqlConn) interrupt(cause *failure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelled {
		return
	}
	c.cancelled = true
	c.cause = cause
	close(c.done)
}

// rearm lets statements run again after an interrupt.
func (c *sqlConn) rearm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.cancelled {
		return
	}
	c.cancelled = false
	c.cause = nil
	c.done = make(chan struct{})
	c.conn.SetInterrupt(c.done)
}

// interruptCause replaces the error of an interrupted statement by the reason for it.
func (c *sqlConn) interruptCause(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelled && c.cause != nil {
		return c.cause
	}
	return err
}

// checkInterrupt returns the reason when the running statement was interrupted.
// zombiezen.com/go/sqlite drops errors of functions, so that an interrupted pg_sleep returns a
// value instead of an error.
func (c *sqlConn) checkInterrupt() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelled {
		return c.cause
	}
	return nil
}

// interrupted returns the channel that is closed by interrupt.
func (c *sqlConn) interrupted() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.done
}

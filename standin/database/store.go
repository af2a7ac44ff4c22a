package database

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"zombiezen.com/go/sqlite"
)

// defaultLockTimeout bounds the wait of a transaction for the write lock.
const defaultLockTimeout = 2 * time.Second

// schema creates the tables of the log and of the offset of the last applied record. On a primary
// both advance in the same transaction.
var schema = []string{
	`CREATE TABLE IF NOT EXISTS standin_log (
		log_offset INTEGER PRIMARY KEY, term INTEGER NOT NULL, committed_at INTEGER NOT NULL, record BLOB NOT NULL)`,
	`CREATE TABLE IF NOT EXISTS standin_applied (id INTEGER PRIMARY KEY, log_offset INTEGER NOT NULL)`,
	`INSERT OR IGNORE INTO standin_applied VALUES (1, 0)`,
}

// store is the database file of one target.
type store struct {
	path string
	// writeLock has room for one token; the session or loop that has put it there may write.
	writeLock   chan struct{}
	lockTimeout time.Duration
	// writer is the connection of replication, used under writeLock.
	writer *sqlConn
	// reader is the connection for short reads, used under readerMu.
	readerMu sync.Mutex
	reader   *sqlConn

	idleMu sync.Mutex
	idle   []*sqlConn
	closed bool
}

// openStore opens or creates the database file in directory.
func openStore(directory string, lockTimeout time.Duration) (*store, error) {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return nil, fmt.Errorf("create data directory: %w", err)
	}
	s := &store{
		path:        filepath.Join(directory, "rows.sqlite"),
		writeLock:   make(chan struct{}, 1),
		lockTimeout: lockTimeout,
	}
	var err error
	if s.writer, err = openConn(s.path); err != nil {
		return nil, err
	}
	for _, statement := range schema {
		if err := s.writer.exec(statement); err != nil {
			s.writer.close()
			return nil, fmt.Errorf("create log: %w", err)
		}
	}
	if s.reader, err = openConn(s.path); err != nil {
		s.writer.close()
		return nil, err
	}
	return s, nil
}

// acquireConn returns an idle connection for a session, or opens one.
func (s *store) acquireConn() (*sqlConn, error) {
	s.idleMu.Lock()
	if n := len(s.idle); n > 0 {
		c := s.idle[n-1]
		s.idle = s.idle[:n-1]
		s.idleMu.Unlock()
		return c, nil
	}
	s.idleMu.Unlock()
	return openConn(s.path)
}

// releaseConn returns the connection of a session that has ended to the pool.
func (s *store) releaseConn(c *sqlConn) {
	c.rollback()
	c.eval = evalContext{}
	s.idleMu.Lock()
	defer s.idleMu.Unlock()
	if s.closed {
		c.close()
		return
	}
	s.idle = append(s.idle, c)
}

// acquireWriteLock takes the write lock. It fails after the lock timeout or when done is closed.
func (s *store) acquireWriteLock(done <-chan struct{}) error {
	select {
	case s.writeLock <- struct{}{}:
		return nil
	default:
	}
	timer := time.NewTimer(s.lockTimeout)
	defer timer.Stop()
	select {
	case s.writeLock <- struct{}{}:
		return nil
	case <-timer.C:
		return failuref(sqlStateLockTimeout, "canceling statement due to lock timeout")
	case <-done:
		return failuref(sqlStateCancelled, "canceling statement due to user request")
	}
}

// releaseWriteLock releases the write lock. The caller holds it.
func (s *store) releaseWriteLock() {
	<-s.writeLock
}

// withWriteLock runs do with the replication connection under the write lock, for which it waits
// without a limit. The write lock is taken before Target.roleMu.
func (s *store) withWriteLock(do func(*sqlConn) error) error {
	s.writeLock <- struct{}{}
	defer s.releaseWriteLock()
	return do(s.writer)
}

// read runs a short query on the reader connection.
func (s *store) read(sql string, row func(*sqlite.Stmt) error, params ...datum) error {
	s.readerMu.Lock()
	defer s.readerMu.Unlock()
	return s.reader.query(sql, row, params...)
}

// close closes the connections that no session holds; releaseConn closes the others.
func (s *store) close() {
	s.idleMu.Lock()
	s.closed = true
	for _, c := range s.idle {
		c.close()
	}
	s.idle = nil
	s.idleMu.Unlock()
	s.writeLock <- struct{}{}
	s.writer.close()
	s.readerMu.Lock()
	s.reader.close()
	s.readerMu.Unlock()
}

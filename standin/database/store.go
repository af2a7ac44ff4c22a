package database

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"zombiezen.com/go/sqlite"
)

// defaultLockTimeout is how long a transaction waits for the write lock.
const defaultLockTimeout = 2 * time.Second

// schema holds the log and the offset of the last applied record. On a primary the two move
// together.
var schema = []string{
	`CREATE TABLE IF NOT EXISTS standin_log (
		log_offset INTEGER PRIMARY KEY, term INTEGER NOT NULL, committed_at INTEGER NOT NULL, record BLOB NOT NULL)`,
	`CREATE TABLE IF NOT EXISTS standin_applied (id INTEGER PRIMARY KEY, log_offset INTEGER NOT NULL)`,
	`INSERT OR IGNORE INTO standin_applied VALUES (1, 0)`,
}

// store is the database file of one target.
type store struct {
	path string
	// lock holds one token; who has it may write.
	lock        chan struct{}
	lockTimeout time.Duration
	// writer is used by replication, under the lock.
	writer *sqlConn
	// reader is used by short reads of the log, under readerMu.
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
		lock:        make(chan struct{}, 1),
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

// take returns a connection for a session.
func (s *store) take() (*sqlConn, error) {
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

// put takes back the connection of a session that has ended.
func (s *store) put(c *sqlConn) {
	c.rollback()
	c.eval = evaluation{}
	s.idleMu.Lock()
	defer s.idleMu.Unlock()
	if s.closed {
		c.close()
		return
	}
	s.idle = append(s.idle, c)
}

// acquire takes the write lock, or fails after the lock timeout or when done is closed.
func (s *store) acquire(done <-chan struct{}) error {
	select {
	case s.lock <- struct{}{}:
		return nil
	default:
	}
	timer := time.NewTimer(s.lockTimeout)
	defer timer.Stop()
	select {
	case s.lock <- struct{}{}:
		return nil
	case <-timer.C:
		return failuref(stateLockTimeout, "canceling statement due to lock timeout")
	case <-done:
		return failuref(stateCancelled, "canceling statement due to user request")
	}
}

// release gives the write lock back.
func (s *store) release() {
	<-s.lock
}

// locked runs do with the replication connection under the write lock. The lock comes before
// Target.orders.
func (s *store) locked(do func(*sqlConn) error) error {
	s.lock <- struct{}{}
	defer s.release()
	return do(s.writer)
}

// read runs a short query on the connection for the log.
func (s *store) read(sql string, row func(*sqlite.Stmt) error, params ...datum) error {
	s.readerMu.Lock()
	defer s.readerMu.Unlock()
	return s.reader.query(sql, row, params...)
}

// close closes the connections that no session holds.
func (s *store) close() {
	s.idleMu.Lock()
	s.closed = true
	for _, c := range s.idle {
		c.close()
	}
	s.idle = nil
	s.idleMu.Unlock()
	s.lock <- struct{}{}
	s.writer.close()
	s.readerMu.Lock()
	s.reader.close()
	s.readerMu.Unlock()
}

package database

import (
	"fmt"
	"strings"

	"github.com/sirupsen/logrus"
	"zombiezen.com/go/sqlite"

	"github.com/papayacove/papayacove/api"
)

const (
	deleteEntriesAfter = "DELETE FROM standin_log WHERE log_offset > ?1"
	selectUserTables   = "SELECT type, name FROM sqlite_schema WHERE type IN ('table', 'view') AND name NOT LIKE 'sqlite_%' AND name NOT LIKE 'standin\\_%' ESCAPE '\\'"
	selectEntriesUpTo  = "SELECT log_offset, term, committed_at, record FROM standin_log WHERE log_offset <= ?1 ORDER BY log_offset"
)

// truncate removes the records after match, which the primary of state does not have. If some of
// them are applied, the rows are rebuilt from the log in the same transaction, so that no reader
// sees rows as of an offset before match.
func (t *Target) truncate(state durableState, match uint64) error {
	return t.store.withWriteLock(func(c *sqlConn) error {
		t.roleMu.RLock()
		defer t.roleMu.RUnlock()
		received, applied := t.positions()
		if t.snapshot() != state {
			return failuref(sqlStateWrongState, "target no longer follows %s", state.Primary)
		}
		if received.Offset <= match {
			return nil
		}
		last, err := positionAt(c, match)
		if err != nil {
			return err
		}
		if err := c.inTransaction(func() error { return truncateLog(c, applied, match) }); err != nil {
			return err
		}
		t.publishTruncation(last)
		t.log.WithFields(logrus.Fields{"received": received, "applied": applied, "match": last}).Info("log_truncated")
		return nil
	})
}

// publishTruncation sets the received position, and the applied one if it is later, to last.
func (t *Target) publishTruncation(last api.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received = last
	if t.applied.Offset > last.Offset {
		t.applied = last
	}
	t.broadcast()
}

// truncateLog deletes the records after match. If later records have been applied, it rebuilds the
// rows from the records that remain.
func truncateLog(c *sqlConn, applied api.Position, match uint64) error {
	if err := c.exec(deleteEntriesAfter, intDatum(int64(match))); err != nil {
		return err
	}
	if applied.Offset <= match {
		return nil
	}
	if err := c.exec("PRAGMA defer_foreign_keys = on"); err != nil {
		return err
	}
	if err := dropUserTables(c); err != nil {
		return err
	}
	if err := replayUpTo(c, match); err != nil {
		return err
	}
	return setApplied(c, match)
}

func dropUserTables(c *sqlConn) error {
	var drops []string
	err := c.query(selectUserTables, func(stmt *sqlite.Stmt) error {
		name := strings.ReplaceAll(stmt.ColumnText(1), `"`, `""`)
		drops = append(drops, fmt.Sprintf(`DROP %s IF EXISTS "%s"`, stmt.ColumnText(0), name))
		return nil
	})
	if err != nil {
		return err
	}
	for _, drop := range drops {
		if err := c.exec(drop); err != nil {
			return err
		}
	}
	return nil
}

// replayUpTo replays the log from its start up to and including offset.
func replayUpTo(c *sqlConn, offset uint64) error {
	var entries []entry
	err := c.query(selectEntriesUpTo, func(stmt *sqlite.Stmt) error {
		entries = append(entries, scanEntry(stmt))
		return nil
	}, intDatum(int64(offset)))
	if err != nil {
		return err
	}
	for _, e := range entries {
		if err := replay(c, e); err != nil {
			return err
		}
	}
	return nil
}

func positionAt(c *sqlConn, offset uint64) (api.Position, error) {
	p := api.Position{Offset: offset}
	err := c.query(selectTerm, func(stmt *sqlite.Stmt) error {
		p.Term = uint64(stmt.ColumnInt64(0))
		return nil
	}, intDatum(int64(offset)))
	return p, err
}

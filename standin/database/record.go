package database

import (
	"encoding/json"
	"fmt"
	"time"

	"zombiezen.com/go/sqlite"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/invariant"
	"github.com/sirupsen/logrus"
)

// loggedStatement is one statement with the values that make its result the same on a replica.
type loggedStatement struct {
	SQL    string  `json:"sql"`
	Params []datum `json:"params,omitempty"`
	// Seed initializes the random number generator.
	Seed uint64 `json:"seed,omitempty"`
}

// record is the content of one log record. A record without statements starts a term.
type record struct {
	// Now is the value of now() in timestampLayout.
	Now        string            `json:"now,omitempty"`
	Statements []loggedStatement `json:"statements,omitempty"`
}

// entry is one log record with its position.
type entry struct {
	Offset uint64 `json:"offset"`
	Term   uint64 `json:"term"`
	// CommittedAt is the time of the commit on the primary in Unix nanoseconds.
	CommittedAt int64           `json:"committed_at"`
	Record      json.RawMessage `json:"record"`
}

// position returns the term and offset of the entry.
func (e entry) position() api.Position {
	return api.Position{Term: e.Term, Offset: e.Offset}
}

// committedAt returns the time of the commit on the primary.
func (e entry) committedAt() time.Time {
	return time.Unix(0, e.CommittedAt)
}

const (
	insertEntry   = "INSERT INTO standin_log VALUES (?1, ?2, ?3, ?4)"
	updateApplied = "UPDATE standin_applied SET log_offset = ?1 WHERE id = 1"
	selectEntries = "SELECT log_offset, term, committed_at, record FROM standin_log WHERE log_offset > ?1 ORDER BY log_offset LIMIT ?2"
	selectApplied = "SELECT log_offset FROM standin_applied WHERE id = 1"
	selectLast    = "SELECT log_offset, term FROM standin_log ORDER BY log_offset DESC LIMIT 1"
	selectTerm    = "SELECT term FROM standin_log WHERE log_offset = ?1"
)

// newEntry returns the entry that follows last, committed now.
func newEntry(last api.Position, term uint64, content record) (entry, error) {
	encoded, err := json.Marshal(content)
	if err != nil {
		return entry{}, fmt.Errorf("encode record: %w", err)
	}
	return entry{
		Offset:      last.Offset + 1,
		Term:        term,
		CommittedAt: time.Now().UnixNano(),
		Record:      encoded,
	}, nil
}

// storeEntry appends an entry to the log. It fails unless the entry directly follows last.
func storeEntry(c *sqlConn, last api.Position, e entry) error {
	fields := logrus.Fields{"last": last, "entry": e.position()}
	if !invariant.Check(e.Term >= last.Term, "log_terms_never_fall", fields) {
		return failuref(sqlStateInternal, "log term falls from %d to %d", last.Term, e.Term)
	}
	if !invariant.Check(e.Offset == last.Offset+1, "log_offsets_are_contiguous", fields) {
		return failuref(sqlStateInternal, "log offset jumps from %d to %d", last.Offset, e.Offset)
	}
	return c.exec(insertEntry, intDatum(int64(e.Offset)), intDatum(int64(e.Term)),
		intDatum(e.CommittedAt), datum{Kind: datumBlob, Blob: e.Record})
}

// setApplied stores the offset of the last applied record.
func setApplied(c *sqlConn, offset uint64) error {
	return c.exec(updateApplied, intDatum(int64(offset)))
}

// scanEntry reads the current row of selectEntries or selectEntriesUpTo.
func scanEntry(stmt *sqlite.Stmt) entry {
	content := make([]byte, stmt.ColumnLen(3))
	stmt.ColumnBytes(3, content)
	return entry{
		Offset:      uint64(stmt.ColumnInt64(0)),
		Term:        uint64(stmt.ColumnInt64(1)),
		CommittedAt: stmt.ColumnInt64(2),
		Record:      content,
	}
}

// replay runs the statements of an entry with the time and the seeds that they had on the primary.
func replay(c *sqlConn, e entry) error {
	var content record
	if err := json.Unmarshal(e.Record, &content); err != nil {
		return fmt.Errorf("decode record %s: %w", e.position(), err)
	}
	c.eval.startTransaction(content.Now)
	for _, s := range content.Statements {
		c.eval.startStatement(s.Seed)
		if err := c.exec(s.SQL, s.Params...); err != nil {
			return fmt.Errorf("replay record %s: %w", e.position(), err)
		}
	}
	return nil
}

// logEnds reads the positions of the last received and the last applied record.
func (s *store) logEnds() (received, applied api.Position, err error) {
	err = s.read(selectLast, func(stmt *sqlite.Stmt) error {
		received.Offset, received.Term = uint64(stmt.ColumnInt64(0)), uint64(stmt.ColumnInt64(1))
		return nil
	})
	if err != nil {
		return received, applied, err
	}
	err = s.read(selectApplied, func(stmt *sqlite.Stmt) error {
		applied.Offset = uint64(stmt.ColumnInt64(0))
		return nil
	})
	if err != nil {
		return received, applied, err
	}
	applied.Term, err = s.termAt(applied.Offset)
	return received, applied, err
}

// termAt returns the term of the record at offset, or 0 if there is none.
func (s *store) termAt(offset uint64) (uint64, error) {
	var term uint64
	err := s.read(selectTerm, func(stmt *sqlite.Stmt) error {
		term = uint64(stmt.ColumnInt64(0))
		return nil
	}, intDatum(int64(offset)))
	return term, err
}

// entriesAfter reads up to limit entries that follow offset.
func (s *store) entriesAfter(offset uint64, limit int) ([]entry, error) {
	var entries []entry
	err := s.read(selectEntries, func(stmt *sqlite.Stmt) error {
		entries = append(entries, scanEntry(stmt))
		return nil
	}, intDatum(int64(offset)), intDatum(int64(limit)))
	return entries, err
}

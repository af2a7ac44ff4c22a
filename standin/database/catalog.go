package database

import (
	"strings"

	"zombiezen.com/go/sqlite"

	"github.com/papayacove/papayacove/standin/database/sqltext"
)

// column is one column of a table or of a result.
type column struct {
	name string
	// oid is the type OID, or 0 if the type is unknown.
	oid uint32
}

const selectColumns = "SELECT name, type FROM pragma_table_info(?1)"

// invalidateCatalog makes sessions discard their cached statements after a schema change.
func (t *Target) invalidateCatalog() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.schemaVersion++
}

// catalogVersion returns a number that grows with each schema change that a session makes.
func (t *Target) catalogVersion() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.schemaVersion
}

// tableColumns returns the columns of a table as visible to this connection, which includes its open transaction.
func (c *sqlConn) tableColumns(table string) ([]column, error) {
	var columns []column
	err := c.query(selectColumns, func(stmt *sqlite.Stmt) error {
		columns = append(columns, column{
			name: strings.ToLower(stmt.ColumnText(0)),
			oid:  storedOID(stmt.ColumnText(1)),
		})
		return nil
	}, textDatum(table))
	return columns, err
}

// schemaCookie returns SQLite's schema version, which grows with each change of the schema. It
// returns 0 on an error and for kinds of statements that cannot change the schema.
func (c *sqlConn) schemaCookie(kind sqltext.Kind) int64 {
	var cookie int64
	if kind != sqltext.KindSchema {
		return cookie
	}
	err := c.query("PRAGMA schema_version", func(stmt *sqlite.Stmt) error {
		cookie = stmt.ColumnInt64(0)
		return nil
	})
	if err != nil {
		return 0
	}
	return cookie
}

// findOID returns the type OID of the first column of that name, or 0 if there is none.
func findOID(columns []column, name string) uint32 {
	name = strings.ToLower(name)
	for _, c := range columns {
		if c.name == name {
			return c.oid
		}
	}
	return 0
}

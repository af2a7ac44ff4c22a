package database

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
	"zombiezen.com/go/sqlite"

	"github.com/papayacove/papayacove/standin/database/sqltext"
)

// maxCachedStatements bounds the number of parsed statements that a session caches.
const maxCachedStatements = 1000

// prepared is a parsed statement with the types of its parameters and columns.
type prepared struct {
	statement  sqltext.Statement
	parameters []uint32
	columns    []column
}

// returnsRows reports whether the statement has result columns.
func (p *prepared) returnsRows() bool {
	return len(p.columns) > 0
}

// prepare returns the parsed statement. It uses the cache unless the schema has changed since or
// the client declared parameter types.
func (s *session) prepare(sql string, declared []uint32) (*prepared, error) {
	version := s.target.catalogVersion()
	if version != s.statementCacheVersion || len(s.statementCache) > maxCachedStatements {
		s.statementCache = make(map[string]*prepared)
		s.statementCacheVersion = version
	}
	if p, ok := s.statementCache[sql]; ok && len(declared) == 0 {
		return p, nil
	}
	p, err := s.analyse(sql, declared)
	if err != nil {
		return nil, err
	}
	if len(declared) == 0 {
		s.statementCache[sql] = p
	}
	return p, nil
}

// analyse parses sql and determines the types of its parameters and columns.
func (s *session) analyse(sql string, declared []uint32) (*prepared, error) {
	p := &prepared{statement: sqltext.Parse(sql)}
	switch p.statement.Kind {
	case sqltext.KindUnsupported:
		return nil, failuref(sqlStateUnsupported, "the stand-in does not support %q", p.statement.Tag)
	case sqltext.KindShow:
		p.columns = []column{{name: p.statement.Setting, oid: pgtype.TextOID}}
	case sqltext.KindStatus:
		p.columns = statusColumns()
	case sqltext.KindRead, sqltext.KindWrite:
		if err := s.findTypes(p, declared); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// findTypes sets the types of parameters and columns from the hints of the statement.
func (s *session) findTypes(p *prepared, declared []uint32) error {
	stmt, err := s.db.conn.Prepare(p.statement.SQL)
	if err != nil {
		return s.db.interruptCause(err)
	}
	known, err := s.columnsOf(p.statement.Tables)
	if err != nil {
		return err
	}
	for _, name := range p.statement.Series {
		known = append(known, column{name: name, oid: pgtype.Int8OID})
	}
	p.parameters = parameterTypes(p.statement.Parameters, declared, known)
	if p.statement.ReturnsRows {
		p.columns = resultColumns(stmt, p, known)
	}
	return nil
}

// columnsOf returns the columns of all the given tables.
func (s *session) columnsOf(tables []string) ([]column, error) {
	var known []column
	for _, table := range tables {
		columns, err := s.db.tableColumns(table)
		if err != nil {
			return nil, err
		}
		known = append(known, columns...)
	}
	return known, nil
}

// parameterTypes returns a type OID for each parameter; a parameter of unknown type is text.
func parameterTypes(hints []sqltext.Hint, declared []uint32, known []column) []uint32 {
	types := make([]uint32, max(len(hints), len(declared)))
	copy(types, declared)
	for i := range types {
		if types[i] == 0 && i < len(hints) {
			types[i] = hintOID(hints[i], known)
		}
		if types[i] == 0 {
			types[i] = pgtype.TextOID
		}
	}
	return types
}

// hintOID returns the type OID that a hint implies, or 0 if it implies none.
func hintOID(h sqltext.Hint, known []column) uint32 {
	oid := oidByType[h.Type]
	if h.Column != "" {
		oid = findOID(known, h.Column)
	}
	if h.Ordinal > 0 && h.Ordinal <= len(known) {
		oid = known[h.Ordinal-1].oid
	}
	switch {
	case h.Array && oid != 0:
		return arrayOID(oid)
	case h.Sum && (oid == pgtype.Int4OID || oid == pgtype.Int2OID || oid == 0):
		return pgtype.Int8OID
	default:
		return oid
	}
}

// resultColumns returns the names and type OIDs of the result columns; an unknown type is 0.
func resultColumns(stmt *sqlite.Stmt, p *prepared, known []column) []column {
	columns := make([]column, stmt.ColumnCount())
	hints := p.statement.Columns
	for i := range columns {
		columns[i].name = stmt.ColumnName(i)
		if len(hints) != len(columns) {
			columns[i].oid = findOID(known, columns[i].name)
			continue
		}
		columns[i].oid = hintOID(hints[i], known)
		if n := hints[i].Parameter; n > 0 && n <= len(p.parameters) {
			columns[i].oid = p.parameters[n-1]
		}
		columns[i].name = resultName(columns[i].name, hints[i])
	}
	return columns
}

// resultName returns the name of a result column as in PostgreSQL, where SQLite names the column by
// the text of its expression.
func resultName(name string, hint sqltext.Hint) string {
	for i := range len(name) {
		if name[i] == '(' && i > 0 {
			return name[:i]
		}
		if name[i] == ' ' || name[i] == '?' || name[i] == '\'' {
			return "?column?"
		}
	}
	if hint.Type != "" && name != "" && name[0] >= '0' && name[0] <= '9' {
		return "?column?"
	}
	return name
}

// rowDescription describes the columns in the given formats. Columns of unknown type are text.
func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, c := range columns {
		oid := c.oid
		if oid == 0 {
			oid = pgtype.TextOID
		}
		fields[i] = pgproto3.FieldDescription{
			Name:         []byte(c.name),
			DataTypeOID:  oid,
			DataTypeSize: typeSize(oid),
			TypeModifier: -1,
			Format:       formatOf(formats, i),
		}
	}
	return &pgproto3.RowDescription{Fields: fields}
}

// formatOf returns the format of column i. No formats mean text; a single one applies to all columns.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return pgproto3.TextFormat
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	default:
		return pgproto3.TextFormat
	}
}

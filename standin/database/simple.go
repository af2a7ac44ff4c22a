package database

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"zombiezen.com/go/sqlite"

	"github.com/papayacove/papayacove/standin/database/sqltext"
)

// simpleQuery runs the statements of a Query message. Outside a transaction block they form one
// implicit transaction.
func (s *session) simpleQuery(sql string) error {
	statements := sqltext.Split(sql)
	if len(statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i, statement := range statements {
		if err := s.simpleStatement(statement, i == len(statements)-1); err != nil {
			if err := s.reportFailure(err); err != nil {
				return err
			}
			break
		}
	}
	s.sendReady()
	return s.flush()
}

// simpleStatement runs one statement. The implicit transaction is committed before the completion of
// the last one is sent.
func (s *session) simpleStatement(sql string, last bool) error {
	p, err := s.prepare(sql, nil)
	if err != nil {
		return err
	}
	sink := &simpleSink{session: s}
	tag, err := s.runStatement(p, nil, sink)
	if err != nil {
		return err
	}
	if err := s.sendSyntheticSimpleRow(p, sink); err != nil {
		return err
	}
	if p.returnsRows() && !sink.described {
		s.backend.Send(rowDescription(p.columns, nil))
	}
	if last {
		if err := s.endImplicit(); err != nil {
			return err
		}
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

// simpleSink sends rows in text format, with a row description before the first one.
type simpleSink struct {
	session   *session
	columns   []column
	described bool
}

func (k *simpleSink) row(stmt *sqlite.Stmt, columns []column) error {
	if !k.described {
		k.columns = typesByValue(stmt, columns)
		k.describe(k.columns)
	}
	values, err := k.session.row.encodeRow(stmt, k.columns, nil)
	if err != nil {
		return err
	}
	return k.session.sendRow(values)
}

func (k *simpleSink) describe(columns []column) {
	k.described = true
	k.session.backend.Send(rowDescription(columns, nil))
}

// sendSyntheticSimpleRow sends the row of a statement whose result does not come from SQLite.
func (s *session) sendSyntheticSimpleRow(p *prepared, sink *simpleSink) error {
	row, err := s.syntheticRow(p, nil)
	if row == nil {
		return err
	}
	sink.describe(p.columns)
	return s.sendRow(row)
}

// syntheticRow returns the row of SHOW or of the status query, or nil for other statements.
func (s *session) syntheticRow(p *prepared, formats []int16) ([][]byte, error) {
	switch p.statement.Kind {
	case sqltext.KindShow:
		return [][]byte{[]byte(s.showSetting(p.statement.Setting))}, nil
	case sqltext.KindStatus:
		return reencode(statusRow(s.target.Status()), p.columns, formats)
	default:
		return nil, nil
	}
}

// reencode converts text values to the formats that the client requested. It changes row.
func reencode(row [][]byte, columns []column, formats []int16) ([][]byte, error) {
	for i, c := range columns {
		value, err := encode(nil, textDatum(string(row[i])), c.oid, formatOf(formats, i))
		if err != nil {
			return nil, err
		}
		row[i] = value
	}
	return row, nil
}

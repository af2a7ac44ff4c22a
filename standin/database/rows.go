package database

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
	"zombiezen.com/go/sqlite"
)

// rowBuffer encodes one row at a time; a session reuses it for all rows.
type rowBuffer struct {
	data   []byte
	ends   []int
	values [][]byte
}

// encodeRow encodes the current row of stmt. The result is valid until the next call.
func (b *rowBuffer) encodeRow(stmt *sqlite.Stmt, columns []column, formats []int16) ([][]byte, error) {
	b.data, b.ends, b.values = b.data[:0], b.ends[:0], b.values[:0]
	for i, c := range columns {
		d := columnDatum(stmt, i)
		if d.Kind == datumNull {
			b.ends = append(b.ends, -1)
			continue
		}
		var err error
		if b.data, err = encode(b.data, d, c.oid, formatOf(formats, i)); err != nil {
			return nil, err
		}
		b.ends = append(b.ends, len(b.data))
	}
	start := 0
	for _, end := range b.ends {
		if end < 0 {
			b.values = append(b.values, nil)
			continue
		}
		b.values = append(b.values, b.data[start:end:end])
		start = end
	}
	return b.values, nil
}

// typesByValue returns the columns; those of unknown type get the type of their value in the current row.
func typesByValue(stmt *sqlite.Stmt, columns []column) []column {
	typed := make([]column, len(columns))
	copy(typed, columns)
	for i := range typed {
		if typed[i].oid != 0 {
			continue
		}
		switch stmt.ColumnType(i) {
		case sqlite.TypeInteger:
			typed[i].oid = pgtype.Int8OID
		case sqlite.TypeFloat:
			typed[i].oid = pgtype.Float8OID
		case sqlite.TypeBlob:
			typed[i].oid = pgtype.ByteaOID
		default:
			typed[i].oid = pgtype.TextOID
		}
	}
	return typed
}

// sendRow queues a row, and flushes once the queued rows exceed flushThreshold.
func (s *session) sendRow(values [][]byte) error {
	s.backend.Send(&pgproto3.DataRow{Values: values})
	for _, v := range values {
		s.queued += len(v) + 4
	}
	if s.queued > flushThreshold {
		return s.flush()
	}
	return nil
}

package database

import (
	"encoding/binary"
	"encoding/hex"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// timestampLayout is the layout of stored timestamps. Their text sorts by time, as all are in UTC.
const timestampLayout = "2006-01-02 15:04:05.000000-07"

// timestampLayouts are the layouts that are accepted as timestamps.
var timestampLayouts = []string{
	"2006-01-02 15:04:05.999999999-07", "2006-01-02 15:04:05.999999999-07:00",
	time.RFC3339Nano, "2006-01-02 15:04:05.999999999", "2006-01-02T15:04:05.999999999", "2006-01-02",
}

// epoch is the time that binary timestamps and dates of PostgreSQL count from.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// encode appends the value of a result column to dst. The value must not be NULL.
func encode(dst []byte, d datum, oid uint32, format int16) ([]byte, error) {
	if format == pgproto3.BinaryFormat {
		return encodeBinary(dst, d, oid)
	}
	return encodeText(dst, d, oid)
}

func encodeText(dst []byte, d datum, oid uint32) ([]byte, error) {
	switch oid {
	case pgtype.BoolOID:
		if d.boolean() {
			return append(dst, 't'), nil
		}
		return append(dst, 'f'), nil
	case pgtype.ByteaOID:
		return hex.AppendEncode(append(dst, `\x`...), d.bytes()), nil
	case pgtype.Int8OID, pgtype.Int4OID, pgtype.Int2OID:
		n, err := d.integer()
		return strconv.AppendInt(dst, n, 10), err
	case pgtype.TimestamptzOID:
		at, err := d.timestamp()
		return at.AppendFormat(dst, timestampLayout), err
	case pgtype.TimestampOID:
		at, err := d.timestamp()
		return at.AppendFormat(dst, strings.TrimSuffix(timestampLayout, "-07")), err
	default:
		return append(dst, d.text()...), nil
	}
}

func encodeBinary(dst []byte, d datum, oid uint32) ([]byte, error) {
	switch oid {
	case pgtype.BoolOID:
		if d.boolean() {
			return append(dst, 1), nil
		}
		return append(dst, 0), nil
	case pgtype.ByteaOID:
		return append(dst, d.bytes()...), nil
	case pgtype.Int8OID:
		n, err := d.integer()
		return binary.BigEndian.AppendUint64(dst, uint64(n)), err
	case pgtype.Int4OID:
		n, err := d.integer()
		return binary.BigEndian.AppendUint32(dst, uint32(n)), err
	case pgtype.Int2OID:
		n, err := d.integer()
		return binary.BigEndian.AppendUint16(dst, uint16(n)), err
	case pgtype.Float8OID:
		f, err := d.float()
		return binary.BigEndian.AppendUint64(dst, math.Float64bits(f)), err
	case pgtype.Float4OID:
		f, err := d.float()
		return binary.BigEndian.AppendUint32(dst, math.Float32bits(float32(f))), err
	case pgtype.TimestamptzOID, pgtype.TimestampOID:
		at, err := d.timestamp()
		return binary.BigEndian.AppendUint64(dst, uint64(at.Sub(epoch).Microseconds())), err
	case pgtype.DateOID:
		at, err := d.timestamp()
		return binary.BigEndian.AppendUint32(dst, uint32(int32(at.Sub(epoch)/(24*time.Hour)))), err
	case pgtype.JSONBOID:
		return append(append(dst, 1), d.text()...), nil
	case pgtype.UUIDOID:
		return encodeUUID(dst, d)
	case pgtype.NumericOID:
		return encodeNumeric(dst, d)
	default:
		return append(dst, d.text()...), nil
	}
}

func encodeUUID(dst []byte, d datum) ([]byte, error) {
	id, err := hex.DecodeString(strings.ReplaceAll(d.text(), "-", ""))
	if err != nil {
		return nil, failuref(sqlStateInvalidText, "invalid input syntax for type uuid: %q", d.text())
	}
	return append(dst, id...), nil
}

func encodeNumeric(dst []byte, d datum) ([]byte, error) {
	var number pgtype.Numeric
	if err := number.Scan(d.text()); err != nil {
		return nil, failuref(sqlStateInvalidText, "invalid input syntax for type numeric: %q", d.text())
	}
	return pgtype.NewMap().Encode(pgtype.NumericOID, pgproto3.BinaryFormat, number, dst)
}

// bytes returns the value as a byte string.
func (d datum) bytes() []byte {
	if d.Kind == datumBlob {
		return d.Blob
	}
	return []byte(d.text())
}

// timestamp parses the value as a point in time, in UTC.
func (d datum) timestamp() (time.Time, error) {
	for _, layout := range timestampLayouts {
		if at, err := time.Parse(layout, d.text()); err == nil {
			return at.UTC(), nil
		}
	}
	return time.Time{}, failuref(sqlStateInvalidText, "invalid input syntax for type timestamp: %q", d.text())
}

// timestampDatum returns the stored form of a point in time.
func timestampDatum(at time.Time) datum {
	return textDatum(at.UTC().Format(timestampLayout))
}

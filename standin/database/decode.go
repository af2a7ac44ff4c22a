package database

import (
	"encoding/binary"
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// decode decodes a parameter of a Bind message; a nil raw is NULL.
func decode(types *pgtype.Map, raw []byte, oid uint32, format int16) (datum, error) {
	if raw == nil {
		return datum{}, nil
	}
	switch oid {
	case pgtype.TextOID, pgtype.VarcharOID, pgtype.UnknownOID, 0:
		return decodeText(raw)
	case pgtype.Int8OID, pgtype.Int4OID, pgtype.Int2OID:
		return decodeInteger(raw, format)
	case pgtype.BoolOID:
		return decodeBool(raw, format), nil
	case pgtype.Float8OID:
		return decodeFloat(raw, format)
	case pgtype.Int8ArrayOID, pgtype.Int4ArrayOID, pgtype.TextArrayOID:
		return decodeArray(types, raw, oid, format)
	default:
		return decodeOther(types, raw, oid, format)
	}
}

func decodeText(raw []byte) (datum, error) {
	if !utf8.Valid(raw) {
		return datum{}, failuref(sqlStateInvalidEncoding, "invalid byte sequence for encoding \"UTF8\"")
	}
	return textDatum(string(raw)), nil
}

func decodeInteger(raw []byte, format int16) (datum, error) {
	if format != pgproto3.BinaryFormat {
		n, err := textDatum(strings.TrimSpace(string(raw))).integer()
		return intDatum(n), err
	}
	switch len(raw) {
	case 2:
		return intDatum(int64(int16(binary.BigEndian.Uint16(raw)))), nil
	case 4:
		return intDatum(int64(int32(binary.BigEndian.Uint32(raw)))), nil
	case 8:
		return intDatum(int64(binary.BigEndian.Uint64(raw))), nil
	default:
		return datum{}, failuref(sqlStateProtocolViolation, "integer parameter has %d bytes", len(raw))
	}
}

func decodeBool(raw []byte, format int16) datum {
	if format == pgproto3.BinaryFormat {
		return boolDatum(len(raw) == 1 && raw[0] == 1)
	}
	return boolDatum(textDatum(strings.ToLower(string(raw))).boolean())
}

func decodeFloat(raw []byte, format int16) (datum, error) {
	if format == pgproto3.BinaryFormat && len(raw) == 8 {
		return datum{Kind: datumFloat, Float: math.Float64frombits(binary.BigEndian.Uint64(raw))}, nil
	}
	f, err := strconv.ParseFloat(string(raw), 64)
	if err != nil {
		return datum{}, failuref(sqlStateInvalidText, "invalid input syntax for type double precision")
	}
	return datum{Kind: datumFloat, Float: f}, nil
}

// decodeArray converts an array to a JSON array, which SQLite can expand with json_each.
func decodeArray(types *pgtype.Map, raw []byte, oid uint32, format int16) (datum, error) {
	var list any = new([]int64)
	if oid == pgtype.TextArrayOID {
		list = new([]string)
	}
	if err := types.Scan(oid, format, raw, list); err != nil {
		return datum{}, failuref(sqlStateInvalidText, "invalid array: %v", err)
	}
	text, err := json.Marshal(list)
	if err != nil {
		return datum{}, failuref(sqlStateInvalidText, "invalid array: %v", err)
	}
	return textDatum(string(text)), nil
}

// decodeOther decodes the less common types with pgtype.
func decodeOther(types *pgtype.Map, raw []byte, oid uint32, format int16) (datum, error) {
	known, ok := types.TypeForOID(oid)
	if !ok {
		return decodeText(raw)
	}
	value, err := known.Codec.DecodeDatabaseSQLValue(types, oid, format, raw)
	if err != nil {
		return datum{}, failuref(sqlStateInvalidText, "invalid parameter of type %s: %v", known.Name, err)
	}
	switch v := value.(type) {
	case int64:
		return intDatum(v), nil
	case float64:
		return datum{Kind: datumFloat, Float: v}, nil
	case bool:
		return boolDatum(v), nil
	case string:
		return textDatum(v), nil
	case []byte:
		return decodedBytes(v, oid), nil
	case time.Time:
		return timeDatum(v, oid), nil
	default:
		return datum{}, nil
	}
}

func decodedBytes(raw []byte, oid uint32) datum {
	if oid == pgtype.ByteaOID {
		return datum{Kind: datumBlob, Blob: append([]byte{}, raw...)}
	}
	return textDatum(string(raw))
}

func timeDatum(at time.Time, oid uint32) datum {
	if oid == pgtype.DateOID {
		return textDatum(at.Format(time.DateOnly))
	}
	return timestampDatum(at)
}

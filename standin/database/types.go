package database

import (
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
)

// oidByType maps type names of PostgreSQL to type OIDs.
var oidByType = map[string]uint32{
	"bigint": pgtype.Int8OID, "int8": pgtype.Int8OID, "bigserial": pgtype.Int8OID,
	"integer": pgtype.Int4OID, "int": pgtype.Int4OID, "int4": pgtype.Int4OID, "serial": pgtype.Int4OID,
	"smallint": pgtype.Int2OID, "int2": pgtype.Int2OID,
	"boolean": pgtype.BoolOID, "bool": pgtype.BoolOID,
	"text": pgtype.TextOID, "varchar": pgtype.VarcharOID, "character varying": pgtype.VarcharOID,
	"bytea": pgtype.ByteaOID, "numeric": pgtype.NumericOID, "decimal": pgtype.NumericOID,
	"double precision": pgtype.Float8OID, "float8": pgtype.Float8OID,
	"real": pgtype.Float4OID, "float4": pgtype.Float4OID,
	"timestamptz": pgtype.TimestamptzOID, "timestamp with time zone": pgtype.TimestamptzOID,
	"timestamp": pgtype.TimestampOID, "timestamp without time zone": pgtype.TimestampOID,
	"date": pgtype.DateOID, "json": pgtype.JSONOID, "jsonb": pgtype.JSONBOID, "uuid": pgtype.UUIDOID,
	"bigint[]": pgtype.Int8ArrayOID, "int8[]": pgtype.Int8ArrayOID,
	"integer[]": pgtype.Int4ArrayOID, "int[]": pgtype.Int4ArrayOID, "int4[]": pgtype.Int4ArrayOID,
	"text[]": pgtype.TextArrayOID, "varchar[]": pgtype.TextArrayOID,
}

// oidByStoredType maps the declared types of SQLite columns to type OIDs.
var oidByStoredType = map[string]uint32{
	"INTEGER": pgtype.Int8OID, "INT8": pgtype.Int8OID, "INT4": pgtype.Int4OID, "INT2": pgtype.Int2OID,
	"BOOLEAN": pgtype.BoolOID, "TEXT": pgtype.TextOID, "BLOB": pgtype.ByteaOID,
	"DOUBLE": pgtype.Float8OID, "NUMERIC": pgtype.NumericOID, "TIMESTAMPTZ": pgtype.TimestamptzOID,
	"TIMESTAMP": pgtype.TimestampOID, "DATE": pgtype.DateOID, "JSON_TEXT": pgtype.JSONOID,
	"JSONB_TEXT": pgtype.JSONBOID, "UUID_TEXT": pgtype.UUIDOID,
}

// arrayOID returns the OID of the type for arrays of bigint or integer, and that of text[] for all
// other types of elements.
func arrayOID(oid uint32) uint32 {
	switch oid {
	case pgtype.Int8OID:
		return pgtype.Int8ArrayOID
	case pgtype.Int4OID:
		return pgtype.Int4ArrayOID
	default:
		return pgtype.TextArrayOID
	}
}

// typeSize returns the size in bytes for a row description; -1 is a variable size.
func typeSize(oid uint32) int16 {
	switch oid {
	case pgtype.BoolOID:
		return 1
	case pgtype.Int2OID:
		return 2
	case pgtype.Int4OID, pgtype.Float4OID, pgtype.DateOID:
		return 4
	case pgtype.Int8OID, pgtype.Float8OID, pgtype.TimestamptzOID, pgtype.TimestampOID:
		return 8
	case pgtype.UUIDOID:
		return 16
	default:
		return -1
	}
}

// storedOID returns the type OID of a declared type, or 0 if it is unknown.
func storedOID(declared string) uint32 {
	name, _, _ := strings.Cut(strings.ToUpper(declared), "(")
	return oidByStoredType[strings.TrimSpace(name)]
}

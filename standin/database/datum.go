package database

import (
	"strconv"

	"zombiezen.com/go/sqlite"
)

// datumKind is the storage class of a value.
type datumKind string

// The storage classes of SQLite.
const (
	datumNull  datumKind = ""
	datumInt   datumKind = "i"
	datumFloat datumKind = "f"
	datumText  datumKind = "t"
	datumBlob  datumKind = "b"
)

// datum is one SQL value. Records in the log hold it as JSON.
type datum struct {
	Kind  datumKind `json:"k,omitempty"`
	Int   int64     `json:"i,omitempty"`
	Float float64   `json:"f,omitempty"`
	Text  string    `json:"t,omitempty"`
	Blob  []byte    `json:"b,omitempty"`
}

func intDatum(i int64) datum   { return datum{Kind: datumInt, Int: i} }
func textDatum(s string) datum { return datum{Kind: datumText, Text: s} }

func boolDatum(b bool) datum {
	if b {
		return intDatum(1)
	}
	return intDatum(0)
}

// bind binds the value to parameter i, counted from 1.
func (d datum) bind(stmt *sqlite.Stmt, i int) {
	switch d.Kind {
	case datumInt:
		stmt.BindInt64(i, d.Int)
	case datumFloat:
		stmt.BindFloat(i, d.Float)
	case datumText:
		stmt.BindText(i, d.Text)
	case datumBlob:
		stmt.BindBytes(i, d.Blob)
	default:
		stmt.BindNull(i)
	}
}

// columnDatum reads column i of the current row, counted from 0.
func columnDatum(stmt *sqlite.Stmt, i int) datum {
	switch stmt.ColumnType(i) {
	case sqlite.TypeInteger:
		return intDatum(stmt.ColumnInt64(i))
	case sqlite.TypeFloat:
		return datum{Kind: datumFloat, Float: stmt.ColumnFloat(i)}
	case sqlite.TypeText:
		return textDatum(stmt.ColumnText(i))
	case sqlite.TypeBlob:
		blob := make([]byte, stmt.ColumnLen(i))
		stmt.ColumnBytes(i, blob)
		return datum{Kind: datumBlob, Blob: blob}
	default:
		return datum{}
	}
}

// text returns the value as text.
func (d datum) text() string {
	switch d.Kind {
	case datumInt:
		return strconv.FormatInt(d.Int, 10)
	case datumFloat:
		return strconv.FormatFloat(d.Float, 'g', -1, 64)
	case datumBlob:
		return string(d.Blob)
	default:
		return d.Text
	}
}

// integer returns the value as an integer. It fails for text that is not an integer.
func (d datum) integer() (int64, error) {
	switch d.Kind {
	case datumInt:
		return d.Int, nil
	case datumFloat:
		return int64(d.Float), nil
	}
	n, err := strconv.ParseInt(d.text(), 10, 64)
	if err != nil {
		return 0, failuref(sqlStateInvalidText, "invalid input syntax for type bigint: %q", d.text())
	}
	return n, nil
}

// float returns the value as a floating-point number. It fails for text that is not a number.
func (d datum) float() (float64, error) {
	switch d.Kind {
	case datumInt:
		return float64(d.Int), nil
	case datumFloat:
		return d.Float, nil
	}
	f, err := strconv.ParseFloat(d.text(), 64)
	if err != nil {
		return 0, failuref(sqlStateInvalidText, "invalid input syntax for type double precision: %q", d.text())
	}
	return f, nil
}

// boolean returns the value as a boolean; text that is not a form of true is false.
func (d datum) boolean() bool {
	switch d.Kind {
	case datumInt:
		return d.Int != 0
	case datumFloat:
		return d.Float != 0
	}
	switch d.Text {
	case "t", "true", "on", "yes", "1":
		return true
	default:
		return false
	}
}

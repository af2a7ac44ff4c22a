package database

import (
	"errors"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"zombiezen.com/go/sqlite"
)

// SQLSTATE codes that the stand-in reports.
const (
	sqlStateUnsupported        = "0A000"
	sqlStateProtocolViolation  = "08P01"
	sqlStateInvalidText        = "22P02"
	sqlStateInvalidEncoding    = "22021"
	sqlStateIntegrity          = "23000"
	sqlStateNotNull            = "23502"
	sqlStateForeignKey         = "23503"
	sqlStateUnique             = "23505"
	sqlStateCheck              = "23514"
	sqlStateActiveTransaction  = "25001"
	sqlStateReadOnly           = "25006"
	sqlStateNoTransaction      = "25P01"
	sqlStateFailedTransaction  = "25P02"
	sqlStateIdleTransaction    = "25P03"
	sqlStateInvalidStatement   = "26000"
	sqlStatePassword           = "28P01"
	sqlStateInvalidPortal      = "34000"
	sqlStateSyntax             = "42601"
	sqlStateUndefinedColumn    = "42703"
	sqlStateUndefinedFunction  = "42883"
	sqlStateUndefinedTable     = "42P01"
	sqlStateDuplicateTable     = "42P07"
	sqlStateDuplicateStatement = "42P05"
	sqlStateTooManyConnections = "53300"
	sqlStateWrongState         = "55000"
	sqlStateLockTimeout        = "55P03"
	sqlStateTermTooLow         = "55T01"
	sqlStateCancelled          = "57014"
	sqlStateShutdown           = "57P01"
	sqlStateIdleSession        = "57P05"
	sqlStateInternal           = "XX000"
)

// failure is an error with the fields of an ErrorResponse.
type failure struct {
	sqlState   string
	message    string
	detail     string
	table      string
	constraint string
	// fatal is true if the failure ends the connection.
	fatal bool
}

// Error returns the SQLSTATE and the message.
func (f *failure) Error() string {
	return fmt.Sprintf("%s: %s", f.sqlState, f.message)
}

// failuref returns a failure with the given SQLSTATE that leaves the connection open.
func failuref(sqlState, format string, args ...any) *failure {
	return &failure{sqlState: sqlState, message: fmt.Sprintf(format, args...)}
}

// fatalf returns a failure with the given SQLSTATE that ends the connection.
func fatalf(sqlState, format string, args ...any) *failure {
	f := failuref(sqlState, format, args...)
	f.fatal = true
	return f
}

// response returns the message that reports the failure to the client.
func (f *failure) response() *pgproto3.ErrorResponse {
	severity := "ERROR"
	if f.fatal {
		severity = "FATAL"
	}
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: f.sqlState, Message: f.message,
		Detail: f.detail, TableName: f.table, ConstraintName: f.constraint,
	}
}

// asFailure converts an error to a failure; errors of SQLite get the matching SQLSTATE.
func asFailure(err error) *failure {
	var f *failure
	if errors.As(err, &f) {
		return f
	}
	message := strings.TrimPrefix(err.Error(), "sqlite: ")
	code := sqlite.ErrCode(err)
	switch code {
	case sqlite.ResultConstraintUnique, sqlite.ResultConstraintPrimaryKey, sqlite.ResultConstraintRowID:
		return uniqueFailure(message, code)
	case sqlite.ResultConstraintNotNull:
		return failuref(sqlStateNotNull, "%s", message)
	case sqlite.ResultConstraintForeignKey:
		return failuref(sqlStateForeignKey, "%s", message)
	case sqlite.ResultConstraintCheck:
		return failuref(sqlStateCheck, "%s", message)
	case sqlite.ResultInterrupt:
		return failuref(sqlStateCancelled, "canceling statement due to user request")
	}
	switch code.ToPrimary() {
	case sqlite.ResultBusy, sqlite.ResultLocked:
		return failuref(sqlStateLockTimeout, "%s", message)
	case sqlite.ResultConstraint:
		return failuref(sqlStateIntegrity, "%s", message)
	}
	return failuref(sqlStateOfMessage(message), "%s", message)
}

// sqlStateOfMessage derives the SQLSTATE from the message where SQLite has no specific result code.
func sqlStateOfMessage(message string) string {
	switch {
	case strings.Contains(message, "no such table"), strings.Contains(message, "unknown database"):
		return sqlStateUndefinedTable
	case strings.Contains(message, "no such column"), strings.Contains(message, "has no column named"):
		return sqlStateUndefinedColumn
	case strings.Contains(message, "no such function"):
		return sqlStateUndefinedFunction
	case strings.Contains(message, "already exists"):
		return sqlStateDuplicateTable
	case strings.Contains(message, "syntax error"), strings.Contains(message, "incomplete input"):
		return sqlStateSyntax
	default:
		return sqlStateInternal
	}
}

// uniqueFailure reports a unique violation, with the name that PostgreSQL gives the constraint by default.
func uniqueFailure(message string, code sqlite.ResultCode) *failure {
	_, columnPath, _ := strings.Cut(message, "UNIQUE constraint failed: ")
	table, columns, _ := strings.Cut(columnPath, ".")
	column, _, _ := strings.Cut(columns, ",")
	constraint := table + "_" + strings.TrimSpace(column) + "_key"
	if code != sqlite.ResultConstraintUnique {
		constraint = table + "_pkey"
	}
	f := failuref(sqlStateUnique, "duplicate key value violates unique constraint %q", constraint)
	f.detail = message
	f.table = table
	f.constraint = constraint
	return f
}

package database

import (
	"errors"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"zombiezen.com/go/sqlite"
)

// SQLSTATE values that the stand-in reports.
const (
	stateUnsupported        = "0A000"
	stateProtocolViolation  = "08P01"
	stateInvalidText        = "22P02"
	stateInvalidEncoding    = "22021"
	stateIntegrity          = "23000"
	stateNotNull            = "23502"
	stateForeignKey         = "23503"
	stateUnique             = "23505"
	stateCheck              = "23514"
	stateActiveTransaction  = "25001"
	stateReadOnly           = "25006"
	stateNoTransaction      = "25P01"
	stateFailedTransaction  = "25P02"
	stateIdleTransaction    = "25P03"
	stateInvalidStatement   = "26000"
	statePassword           = "28P01"
	stateInvalidPortal      = "34000"
	stateSyntax             = "42601"
	stateUndefinedColumn    = "42703"
	stateUndefinedFunction  = "42883"
	stateUndefinedTable     = "42P01"
	stateDuplicateTable     = "42P07"
	stateDuplicateStatement = "42P05"
	stateTooManyConnections = "53300"
	stateWrongState         = "55000"
	stateLockTimeout        = "55P03"
	stateTermTooLow         = "55T01"
	stateCancelled          = "57014"
	stateShutdown           = "57P01"
	stateIdleSession        = "57P05"
	stateInternal           = "XX000"
)

// failure is an error with the fields of an ErrorResponse.
type failure struct {
	state      string
	message    string
	detail     string
	table      string
	constraint string
	// fatal ends the connection.
	fatal bool
}

// Error returns the SQLSTATE and the message.
func (f *failure) Error() string {
	return fmt.Sprintf("%s: %s", f.state, f.message)
}

func failuref(state, format string, args ...any) *failure {
	return &failure{state: state, message: fmt.Sprintf(format, args...)}
}

func fatalf(state, format string, args ...any) *failure {
	f := failuref(state, format, args...)
	f.fatal = true
	return f
}

// response returns the message that reports the failure.
func (f *failure) response() *pgproto3.ErrorResponse {
	severity := "ERROR"
	if f.fatal {
		severity = "FATAL"
	}
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: f.state, Message: f.message,
		Detail: f.detail, TableName: f.table, ConstraintName: f.constraint,
	}
}

// asFailure gives errors of SQLite their SQLSTATE.
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
		return failuref(stateNotNull, "%s", message)
	case sqlite.ResultConstraintForeignKey:
		return failuref(stateForeignKey, "%s", message)
	case sqlite.ResultConstraintCheck:
		return failuref(stateCheck, "%s", message)
	case sqlite.ResultInterrupt:
		return failuref(stateCancelled, "canceling statement due to user request")
	}
	switch code.ToPrimary() {
	case sqlite.ResultBusy, sqlite.ResultLocked:
		return failuref(stateLockTimeout, "%s", message)
	case sqlite.ResultConstraint:
		return failuref(stateIntegrity, "%s", message)
	}
	return failuref(stateOfMessage(message), "%s", message)
}

// stateOfMessage reads the SQLSTATE off the texts that SQLite has no codes for.
func stateOfMessage(message string) string {
	switch {
	case strings.Contains(message, "no such table"), strings.Contains(message, "unknown database"):
		return stateUndefinedTable
	case strings.Contains(message, "no such column"), strings.Contains(message, "has no column named"):
		return stateUndefinedColumn
	case strings.Contains(message, "no such function"):
		return stateUndefinedFunction
	case strings.Contains(message, "already exists"):
		return stateDuplicateTable
	case strings.Contains(message, "syntax error"), strings.Contains(message, "incomplete input"):
		return stateSyntax
	default:
		return stateInternal
	}
}

// uniqueFailure names the constraint as PostgreSQL does by default.
func uniqueFailure(message string, code sqlite.ResultCode) *failure {
	_, place, _ := strings.Cut(message, "UNIQUE constraint failed: ")
	table, columns, _ := strings.Cut(place, ".")
	column, _, _ := strings.Cut(columns, ",")
	constraint := table + "_" + strings.TrimSpace(column) + "_key"
	if code != sqlite.ResultConstraintUnique {
		constraint = table + "_pkey"
	}
	f := failuref(stateUnique, "duplicate key value violates unique constraint %q", constraint)
	f.detail = message
	f.table = table
	f.constraint = constraint
	return f
}

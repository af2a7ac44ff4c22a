package frontend

import (
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayacove/papayacove/internal/result"
)

const (
	severityError = "ERROR"
	severityFatal = "FATAL"
)

// SQLSTATE codes of errors that the frontend reports without a result code, as a PostgreSQL server does, and the
// message of sqlStateInFailedTransaction.
const (
	sqlStateAdminShutdown        = "57P01"
	sqlStateInvalidAuthorization = "28000"
	sqlStateInFailedTransaction  = "25P02"
	sqlStateIdleInTransaction    = "25P03"
	sqlStateUndefinedStatement   = "26000"
	sqlStateDuplicateStatement   = "42P05"
	failedTransactionMessage     = "current transaction is aborted, commands ignored until end of transaction block"
)

// failure is an error that is sent with an SQLSTATE and message of its own instead of a result code.
type failure struct {
	sqlState string
	message  string
}

// Error returns the message.
func (f *failure) Error() string {
	return f.message
}

// errorResponse returns the ErrorResponse that reports err to the caller.
func errorResponse(severity string, err error) *pgproto3.ErrorResponse {
	response := &pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity}
	var f *failure
	if errors.As(err, &f) {
		response.Code = f.sqlState
		response.Message = f.message
		return response
	}
	e := resultError(err)
	response.Code = e.Code.Definition().SQLState
	response.Message = fmt.Sprintf("papayacove %d %s: %s", int(e.Code), e.Code, e.Reason)
	if e.RetryAfter > 0 {
		response.Hint = fmt.Sprintf("retry after %d ms", max(1, e.RetryAfter.Milliseconds()))
	}
	return response
}

// resultError returns the *result.Error that err wraps, or one with the code Internal when it wraps none.
func resultError(err error) *result.Error {
	var e *result.Error
	if errors.As(err, &e) {
		return e
	}
	return result.Errorf(result.Internal, "the request was ended by an internal error")
}

// appendMessage appends an encoded backend message to dst. Encoding does not fail for the messages of this package.
func appendMessage(dst []byte, message pgproto3.BackendMessage) []byte {
	encoded, err := message.Encode(dst)
	if err != nil {
		return dst
	}
	return encoded
}

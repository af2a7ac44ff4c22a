package workload

import (
	"errors"
	"regexp"
	"strconv"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/papayacove/papayacove/internal/result"
)

// Outcome is what a caller can conclude about a write from its result.
type Outcome int

// The outcomes of a write.
const (
	// Acknowledged means that the write is committed and must not be lost.
	Acknowledged Outcome = iota
	// NotRun means that the write did not take effect and never will.
	NotRun
	// Unknown means that the write may or may not have taken effect.
	Unknown
	// Truncated means that a promotion truncated commits that the session relied on. The request itself did not run.
	Truncated
)

// codePattern finds the result code in the text of an error.
var codePattern = regexp.MustCompile(`^papayacove (\d+) `)

// CodeOf returns the result code in the error that a caller got; result.OK if there is none.
func CodeOf(err error) result.Code {
	var pgError *pgconn.PgError
	if !errors.As(err, &pgError) {
		return result.OK
	}
	found := codePattern.FindStringSubmatch(pgError.Message)
	if found == nil {
		return result.OK
	}
	code, _ := strconv.Atoi(found[1])
	return result.Code(code)
}

// Classify returns what a caller can conclude from the error of a write, or from nil.
func Classify(err error) Outcome {
	if err == nil {
		return Acknowledged
	}
	var pgError *pgconn.PgError
	isPgError := errors.As(err, &pgError)
	code := CodeOf(err)
	switch {
	case code == result.AcknowledgedCut:
		return Truncated
	case code.IsNotRun(), code == result.TransactionLost, code == result.AlreadyRan, code == result.Unsupported:
		return NotRun
	case code == result.OK && isPgError && pgError.Code != "57P01":
		// An error of the database itself means that the statement had no effect. The exception is 57P01
		// (admin_shutdown), which says only that the connection was terminated.
		return NotRun
	case errors.Is(err, pgconn.ErrConnClosed) && !errors.As(err, &uncommitted{}):
		// pgconn returns ErrConnClosed also when the connection broke after the request was sent.
		return Unknown
	case pgconn.SafeToRetry(err):
		return NotRun
	default:
		return Unknown
	}
}

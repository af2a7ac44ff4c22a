package workload

import (
	"errors"
	"regexp"
	"strconv"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/papayacove/papayacove/internal/result"
)

// Outcome is what a caller may conclude from an answer.
type Outcome int

// The outcomes of a write.
const (
	// Acknowledged means that the write is there and stays.
	Acknowledged Outcome = iota
	// NotRun means that the write is not there and never will be.
	NotRun
	// Unknown means that the write may be there.
	Unknown
	// Cut means that a failover cut what the session relied on; the request itself did not run.
	Cut
)

// codePattern finds the result code in the text of an error.
var codePattern = regexp.MustCompile(`^papayacove (\d+) `)

// CodeOf returns the result code that an error of a caller carries; 0 for none.
func CodeOf(err error) result.Code {
	var answer *pgconn.PgError
	if !errors.As(err, &answer) {
		return result.OK
	}
	found := codePattern.FindStringSubmatch(answer.Message)
	if found == nil {
		return result.OK
	}
	code, _ := strconv.Atoi(found[1])
	return result.Code(code)
}

// Classify returns what a caller may conclude from the error of a write.
func Classify(err error) Outcome {
	if err == nil {
		return Acknowledged
	}
	var answer *pgconn.PgError
	isAnswered := errors.As(err, &answer)
	code := CodeOf(err)
	switch {
	case code == result.AcknowledgedCut:
		return Cut
	case code.IsNotRun(), code == result.TransactionLost, code == result.AlreadyRan, code == result.Unsupported:
		return NotRun
	case code == result.OK && isAnswered && answer.Code != "57P01":
		// An error of the database itself ends the statement without effect.
		return NotRun
	case errors.Is(err, pgconn.ErrConnClosed) && !errors.As(err, &uncommitted{}):
		// The client library reports this also when the connection broke after the request was sent.
		return Unknown
	case pgconn.SafeToRetry(err):
		return NotRun
	default:
		return Unknown
	}
}

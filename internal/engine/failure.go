package engine

import (
	"errors"

	"github.com/papayacove/papayacove/internal/result"
)

// failureOf returns the failure that the target itself reported, or nil when err is not one.
func failureOf(err error) *TargetFailure {
	var failure *TargetFailure
	errors.As(err, &failure)
	return failure
}

// isFullTarget reports whether err means that the target accepts no further connection.
func isFullTarget(err error) bool {
	failure := failureOf(err)
	return failure != nil && failure.Kind == FailureTooManyConnections
}

// dialFailure maps a failed connection attempt to an error that guarantees that nothing ran.
func dialFailure(err error) *result.Error {
	failure := failureOf(err)
	if failure == nil {
		return result.Errorf(result.NotRunUnreachable, "connect: %s", err)
	}
	switch failure.Kind {
	case FailureTooManyConnections:
		return result.Errorf(result.NotRunNoSlot, "connect: %s", failure)
	case FailureWrongTarget:
		return result.Errorf(result.NotRunTargetLeaving, "connect: %s", failure)
	}
	return result.Errorf(result.NotRunUnreachable, "connect: %s", failure)
}

// codeOf maps a failure of a target to a result code.
func codeOf(kind FailureKind) result.Code {
	switch kind {
	case FailureBusy:
		return result.NotRunOverloaded
	case FailureBehind:
		return result.NotRunBehind
	case FailureReadOnly:
		return result.NotRunReadOnly
	case FailureWrongTarget:
		return result.NotRunTargetLeaving
	case FailureTooManyConnections:
		return result.NotRunNoSlot
	case FailureUnknownStatement:
		return result.NotRunTermChanged
	}
	return result.TargetFailed
}

// targetRefusal turns a failure that a target reported into the refusal for the caller. That a target does not know a prepared
// statement is not passed on as such: the name is one of this daemon, and the caller's own is known.
func targetRefusal(failure *TargetFailure) *Refusal {
	if failure.Kind == FailureUnknownStatement {
		return refuse(codeOf(failure.Kind), "the target has lost a prepared statement")
	}
	return &Refusal{Code: codeOf(failure.Kind), Reason: failure.Text, Target: failure}
}

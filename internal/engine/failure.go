package engine

import (
	"errors"
	"net"

	"github.com/papayacove/papayacove/internal/result"
)

// isTargetFailure reports whether the target itself told the failure.
func isTargetFailure(err error) bool {
	var failure *TargetFailure
	return errors.As(err, &failure)
}

// isFullTarget reports whether the target takes no further connection.
func isFullTarget(err error) bool {
	var failure *TargetFailure
	return errors.As(err, &failure) && failure.Kind == FailureTooManyConnections
}

// isTimeout reports whether no answer came in time.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// dialFailure maps a failed connection to a promise that nothing ran.
func dialFailure(err error) *result.Error {
	var failure *TargetFailure
	if !errors.As(err, &failure) {
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

// passOn makes the failure that a target told the answer to the caller.
func passOn(failure *TargetFailure) *Refusal {
	return &Refusal{Code: codeOf(failure.Kind), Reason: failure.Text, Target: failure}
}

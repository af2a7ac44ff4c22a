package operator

import "github.com/papayacove/papayacove/internal/result"

// The exit codes of papayacovectl.
const (
	ExitDone = 0
	// ExitFailed means a failure that has no code of its own.
	ExitFailed = 1
	// ExitInvalid means that a file, value or object is not valid; nothing was changed.
	ExitInvalid = 2
	// ExitConflict means that another operator changed the object first; nothing was changed.
	ExitConflict = 3
	// ExitUnavailable means that the platform or the daemons could not be read. When a change was
	// sent, its id is printed, and papayacovectl change determines its outcome later.
	ExitUnavailable = 4
)

// ExitCode returns the exit code for the outcome of a command.
func ExitCode(err error) int {
	if err == nil {
		return ExitDone
	}
	switch result.CodeOf(err) {
	case result.ObjectInvalid, result.SettingsInvalid:
		return ExitInvalid
	case result.ObjectConflict:
		return ExitConflict
	case result.PlatformUnavailable, result.OutcomeUnknown:
		return ExitUnavailable
	default:
		return ExitFailed
	}
}

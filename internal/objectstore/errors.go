package objectstore

import (
	"errors"
	"net/http"

	"github.com/papayacove/papayacove/api"
)

// The errors of a call; compare with errors.Is.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("not found")

	// ErrConflict means that the object has another version than the request names; nothing was changed.
	ErrConflict = errors.New("version conflict")

	// ErrExists means that an object of that name exists; nothing was changed.
	ErrExists = errors.New("exists")

	// ErrCompacted means that the platform no longer has the history after the revision; the caller has to list again.
	ErrCompacted = errors.New("history compacted")

	// ErrTooLarge means that the data is larger than the platform stores.
	ErrTooLarge = errors.New("too large")

	// ErrInvalid means that the platform rejected the request; nothing was changed.
	ErrInvalid = errors.New("invalid request")

	// ErrUnavailable means that the platform could not be reached or did not answer in
	// time. Without ErrOutcomeUnknown nothing was changed.
	ErrUnavailable = errors.New("platform unavailable")

	// ErrOutcomeUnknown means that a change was sent and not answered: it may have taken
	// effect, or may still do so. A call returns it together with ErrUnavailable.
	ErrOutcomeUnknown = errors.New("outcome unknown")
)

// errorByCode maps the code in the body of a failure to an error.
var errorByCode = map[string]error{
	"not_found": ErrNotFound,
	"conflict":  ErrConflict,
	"exists":    ErrExists,
	"too_large": ErrTooLarge,
}

// errorOf returns the error for an answer whose HTTP status is not 2xx. A known code takes precedence over the status.
func errorOf(status int, failure api.PlatformFailure) error {
	if err, ok := errorByCode[failure.Code]; ok {
		return err
	}
	switch {
	case status == http.StatusGone:
		return ErrCompacted
	case status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case status == http.StatusTooManyRequests:
		return ErrUnavailable
	case status >= http.StatusInternalServerError:
		return ErrUnavailable
	}
	return ErrInvalid
}

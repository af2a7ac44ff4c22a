package platform

import (
	"net/http"

	"github.com/papayacove/papayacove/api"
)

// failure is a response whose HTTP status is not 2xx.
type failure struct {
	status int
	body   api.PlatformFailure
}

func newFailure(status int, code, message string) *failure {
	return &failure{status: status, body: api.PlatformFailure{Code: code, Message: message}}
}

// The failures of the object API.
var (
	failNotFound  = newFailure(http.StatusNotFound, "not_found", "no such object")
	failConflict  = newFailure(http.StatusConflict, "conflict", "the object has another version")
	failExists    = newFailure(http.StatusConflict, "exists", "the object exists")
	failTooLarge  = newFailure(http.StatusRequestEntityTooLarge, "too_large", "the data is larger than 1 MB")
	failInvalid   = newFailure(http.StatusBadRequest, "invalid", "the request is not valid")
	failCompacted = newFailure(http.StatusGone, "invalid", "the history after this revision is gone; list anew")
)

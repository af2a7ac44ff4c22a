package target

import (
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Errors to compare with errors.Is.
var (
	// ErrNoSlot means that the target has no free slot; nothing ran.
	ErrNoSlot = errors.New("target has no free slot")
	// ErrUnreachable means that no connection to the target could be set up; nothing ran.
	ErrUnreachable = errors.New("target is unreachable")
	// ErrAuthentication means that authentication failed: the target refused the account, offered no
	// accepted method or did not prove that it knows the password.
	ErrAuthentication = errors.New("target refused the account")
)

// SQLSTATE values that the adapter converts to errors of its own.
const (
	sqlStateTooManyConnections = "53300"
	sqlStateTermTooLow         = "55T01"
)

// sqlStateClassAuthorization is the SQLSTATE class of refused accounts.
const sqlStateClassAuthorization = "28"

// TermTooLowError is returned when the target refuses an order because its term is too low. Match it
// with errors.As and a variable of type *TermTooLowError.
type TermTooLowError struct {
	// OrderTerm is the term that the order carried.
	OrderTerm uint64
	// TargetTerm is the term of the target.
	TargetTerm uint64
}

// Error returns a text with both terms.
func (e *TermTooLowError) Error() string {
	return fmt.Sprintf("term %d is too low: the target is at term %d", e.OrderTerm, e.TargetTerm)
}

// ServerError is an ErrorResponse of the target.
type ServerError struct {
	SQLState string
	Message  string
	Detail   string
}

// Error returns the SQLSTATE and the message.
func (e *ServerError) Error() string {
	return fmt.Sprintf("target error %s: %s", e.SQLState, e.Message)
}

func decodeServerError(body []byte) error {
	var response pgproto3.ErrorResponse
	if err := response.Decode(body); err != nil {
		return fmt.Errorf("decode error response: %w", err)
	}
	return &ServerError{SQLState: response.Code, Message: response.Message, Detail: response.Detail}
}

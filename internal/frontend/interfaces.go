package frontend

import (
	"context"
	"time"

	"github.com/papayacove/papayacove/api"
)

// Transaction status bytes of PostgreSQL, and StatusOpenPipeline for a pipeline that a Flush left open.
const (
	StatusIdle         byte = 'I'
	StatusTransaction  byte = 'T'
	StatusFailed       byte = 'E'
	StatusOpenPipeline byte = 'F'
)

// Session describes a caller connection to the Runner.
type Session struct {
	// ID is unique in the deployment.
	ID        string
	Workspace string
	User      string
	Group     string
}

// Batch is a sequence of frontend messages that ends in Query, Sync or Flush.
type Batch struct {
	// Messages are the encoded messages. They are sent to the target unchanged.
	Messages []byte
	// Prepared are the named statements that Messages use without parsing them.
	Prepared []api.PreparedStatement
	// Settings are the run-time parameters of the session, in the form that set_config accepts.
	Settings []api.SessionSetting
	// Access is read when the batch may run on a replica, and write otherwise.
	Access api.ExecuteRequestAccess
	// InTransaction is true when a transaction block or an open pipeline holds a slot.
	InTransaction bool
	// MaxAge is the allowed age of the data; with 0 only the primary serves the read. When it is negative, the read
	// is bound by the minimum position of the session only: the log position that it must not fall behind.
	MaxAge time.Duration
	// Timeout bounds the run time of the batch.
	Timeout time.Duration
	// OperationKey makes the transaction run at most once; empty for none.
	OperationKey string
}

// Outcome is the state of the target connection after a batch.
type Outcome struct {
	// TransactionStatus is one of the Status constants.
	TransactionStatus byte
}

// SessionRunner runs the batches of one session, one at a time.
type SessionRunner interface {
	// Run executes a batch and passes sequences of whole backend messages to emit, in order. The last
	// sequence ends in ReadyForQuery, or after a Flush in the last answer so far. A returned error is
	// a *result.Error; then no ReadyForQuery was emitted, no transaction is open, and the frontend
	// answers with ErrorResponse and ReadyForQuery.
	Run(ctx context.Context, batch *Batch, emit func(messages []byte) error) (Outcome, error)
	// Cancel requests that the target cancel the running batch, and returns without waiting for it.
	Cancel()
	// Close rolls back an open transaction block or pipeline and releases the resources of the session.
	Close()
}

// Runner opens sessions.
type Runner interface {
	// Open opens a session. It returns a *result.Error when the workspace has no such group or no connection left.
	Open(ctx context.Context, session Session) (SessionRunner, error)
}

// Credential is the authentication data of a user.
type Credential struct {
	// Verifier is a SCRAM-SHA-256 verifier in the form that PostgreSQL stores:
	// SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>.
	// When it is empty, the user is admitted without a password.
	Verifier string
	// MaxAge is the initial allowed age of reads in the sessions of this user; negative when they
	// are bound by the minimum position of the session only.
	MaxAge time.Duration
}

// Credentials looks up the credentials of the users of workspaces.
type Credentials interface {
	// Credential returns the credential of a user. An error is a *result.Error with the code UnknownWorkspace,
	// UnknownGroup or, for an unknown user, AuthenticationFailed.
	Credential(workspace, group, user string) (Credential, error)
}

package frontend

import (
	"context"
	"time"

	"github.com/papayacove/papayacove/api"
)

// Transaction status bytes of PostgreSQL, and one for a pipeline that a Flush left open.
const (
	StatusIdle         byte = 'I'
	StatusTransaction  byte = 'T'
	StatusFailed       byte = 'E'
	StatusOpenPipeline byte = 'F'
)

// Session is what routing needs to know of a caller connection.
type Session struct {
	// ID is unique in the deployment.
	ID        string
	Workspace string
	User      string
	Group     string
}

// Batch is a run of frontend messages that ends in Query, Sync or Flush.
type Batch struct {
	// Messages are the encoded messages, passed to the target as they are.
	Messages []byte
	// Prepared are the named statements that Messages refer to.
	Prepared []api.PreparedStatement
	// Settings are the SET values of the session.
	Settings []api.SessionSetting
	// Access is read when the batch may run on a replica.
	Access api.ExecuteRequestAccess
	// InTransaction is true when a transaction block or an open pipeline holds a slot.
	InTransaction bool
	// MaxAge is the allowed age of the data; negative when only the floor of the session counts.
	MaxAge time.Duration
	// Timeout is the time that the batch may take.
	Timeout time.Duration
	// OperationKey makes the transaction run at most once; empty for none.
	OperationKey string
}

// Outcome tells how a batch left the connection.
type Outcome struct {
	// TransactionStatus is one of the Status constants.
	TransactionStatus byte
}

// SessionRunner runs the batches of one session, one at a time.
type SessionRunner interface {
	// Run executes a batch and passes runs of whole backend messages to emit, in order.
	// The last run ends in ReadyForQuery, or after a Flush in the last answer so far.
	// An error is a *result.Error; then no ReadyForQuery was emitted, no transaction is open,
	// and the frontend answers with ErrorResponse and ReadyForQuery.
	Run(ctx context.Context, batch *Batch, emit func(messages []byte) error) (Outcome, error)
	// Cancel asks the target to cancel the batch that is running. It does not wait.
	Cancel()
	// Close rolls back what is open and releases what the session holds.
	Close()
}

// Runner opens sessions.
type Runner interface {
	// Open returns a *result.Error when the workspace has no such group or no connection left.
	Open(ctx context.Context, session Session) (SessionRunner, error)
}

// Credential is what authentication needs to know of a user.
type Credential struct {
	// Verifier is a SCRAM-SHA-256 verifier in the form that PostgreSQL stores:
	// SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>. Empty admits without password.
	Verifier string
	// MaxAge is the allowed age of reads of this user; negative for none.
	MaxAge time.Duration
}

// Directory looks up workspaces, groups and users.
type Directory interface {
	// Credential returns UnknownWorkspace, UnknownGroup or AuthenticationFailed as *result.Error.
	Credential(workspace, group, user string) (Credential, error)
}

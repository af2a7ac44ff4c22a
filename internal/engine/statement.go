// Package engine serves caller sessions from database groups whose targets maintain a term and a log position.
//
// It knows sessions, transactions, statements and opaque rows, but no wire protocol: callers, targets and the
// order to promote are reached through the interfaces of this package. Decisions are made by the packages of
// internal/policy.
//
// The primary of a group is the target that leads in the highest term; the other targets are its replicas. Each
// promotion begins a new term. A position is a term and an offset in the log. A paused replica does not receive the
// log. A primary that steps down becomes a replica. Only the daemon that holds the promotion lock orders promotions.
package engine

import (
	"errors"
	"fmt"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/result"
)

// Operation says what a statement does.
type Operation uint8

// The operations of callers, and those that papayacove itself sends to targets.
const (
	OpUnknown Operation = iota
	OpBegin
	OpBeginReadOnly
	OpCommit
	OpRollback
	OpRead
	OpWrite
	OpSet
	OpPrepare
	OpExecute
	OpDeallocate

	// OpDiscard clears session values and prepared statements of a target connection.
	OpDiscard
	// OpStatus asks a target for its status.
	OpStatus
	// OpPause stops a replica from receiving the log until a promotion or OpResume.
	OpPause
	// OpResume ends a pause.
	OpResume
	// OpStepDown makes a primary of a lower term a replica.
	OpStepDown
)

var operationNames = [...]string{
	OpUnknown: "unknown", OpBegin: "begin", OpBeginReadOnly: "begin_read_only", OpCommit: "commit", OpRollback: "rollback",
	OpRead: "read", OpWrite: "write", OpSet: "set", OpPrepare: "prepare", OpExecute: "execute", OpDeallocate: "deallocate",
	OpDiscard: "discard", OpStatus: "status", OpPause: "pause", OpResume: "resume", OpStepDown: "step_down",
}

// beginsTransaction reports whether a transaction is open after the operation has succeeded.
func (o Operation) beginsTransaction() bool { return o == OpBegin || o == OpBeginReadOnly }

// preparesOthers reports whether the operation only changes the session for statements that follow.
func (o Operation) preparesOthers() bool { return o == OpSet || o == OpPrepare || o == OpDeallocate }

// String returns the name of the operation.
func (o Operation) String() string { return operationNames[o] }

// Statement is one request of a caller.
type Statement struct {
	// ID is the caller's identifier of the request.
	ID string
	Op Operation
	// Name is the session value or the prepared statement that the request names.
	Name string
	// Prepares is the operation of the statement that OpPrepare names: OpRead or OpWrite.
	Prepares Operation
	// Argument is the value, the shape or the input that follows the name, unchanged.
	Argument string
	// Text is the whole text as the caller wrote it.
	Text string
}

// Command is one message to a target.
type Command struct {
	// ID is that of the caller's request, or empty when papayacove itself sends the command.
	ID       string
	Op       Operation
	Name     string
	Prepares Operation
	Argument string
	// Text is sent unchanged when it is not empty.
	Text string
	// MinPosition is the position that the target's log must hold before OpRead, OpExecute, OpBegin or
	// OpBeginReadOnly runs; the zero value stands for none.
	MinPosition api.Position
	// Term is the term of OpPause and OpStepDown.
	Term uint64
}

// TransactionState is the state of the transaction on a connection.
type TransactionState uint8

// The transaction states.
const (
	StateIdle TransactionState = iota
	StateOpen
	StateFailed
)

// Reply is the whole answer to one command.
type Reply struct {
	Rows []string
	// Signature shows that the target ran the command; empty when the target sent none.
	Signature string
	// Failure is nil on success.
	Failure *TargetFailure
	State   TransactionState
	// Position is the end of the log that the target has applied, or the zero value when it was not reported.
	Position api.Position
	// ServiceTime is the time that the target took, as measured where its connection is; 0 when it is not known.
	ServiceTime time.Duration
	// Status is set in the answers to OpStatus, OpPause, OpResume and OpStepDown.
	Status leadership.Status
}

// FailureKind says why a target did not carry out a command.
type FailureKind uint8

// The failures of targets. Those up to FailureUnknownStatement mean that nothing ran.
const (
	// FailureBusy means that the target has no free slot and a full queue.
	FailureBusy FailureKind = iota
	// FailureBehind means that the target's log lacks the minimum position.
	FailureBehind
	// FailureReadOnly means that the target is not the primary.
	FailureReadOnly
	// FailureWrongTarget means that another target has this address now.
	FailureWrongTarget
	// FailureTooManyConnections means that the target accepts no further connection.
	FailureTooManyConnections
	// FailureUnknownStatement means that the connection has no prepared statement of the name.
	FailureUnknownStatement
	// FailureFailed means that the command ran and failed.
	FailureFailed
	// FailureTimeout means that the command exceeded the time limit of the target.
	FailureTimeout
	// FailureRejected means that the target did not understand the command or did not allow it.
	FailureRejected
)

var failureNames = [...]string{
	FailureBusy: "busy", FailureBehind: "behind", FailureReadOnly: "read_only", FailureWrongTarget: "wrong_target",
	FailureTooManyConnections: "too_many_connections", FailureUnknownStatement: "unknown_statement",
	FailureFailed: "failed", FailureTimeout: "timeout", FailureRejected: "rejected",
}

// String returns the name of the failure.
func (k FailureKind) String() string { return failureNames[k] }

// IsNotRun reports whether the target guarantees that the command did not run.
func (k FailureKind) IsNotRun() bool { return k <= FailureUnknownStatement }

// TargetFailure is a failure that a target reported.
type TargetFailure struct {
	Kind FailureKind
	// Code is the target's own code of the failure, which is passed on unchanged.
	Code string
	Text string
}

// Error returns the kind of the failure and the text of the target.
func (f *TargetFailure) Error() string {
	return fmt.Sprintf("target failure %s: %s", f.Kind, f.Text)
}

// Answer is what a caller gets for one statement.
type Answer struct {
	Rows      []string
	Signature string
	// Refusal is nil on success.
	Refusal  *Refusal
	State    TransactionState
	Position api.Position
}

// Refusal is an outcome other than success, reported by papayacove or by a target.
type Refusal struct {
	Code   result.Code
	Reason string
	// RetryAfter is the time after which the caller may retry; 0 when it is not known.
	RetryAfter time.Duration
	// Target is the failure reported by the target; nil when papayacove itself refuses.
	Target *TargetFailure
}

func refuse(code result.Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Reason: fmt.Sprintf(format, args...)}
}

func refusalOf(err error) *Refusal {
	var known *result.Error
	if errors.As(err, &known) {
		return &Refusal{Code: known.Code, Reason: known.Reason, RetryAfter: known.RetryAfter}
	}
	return &Refusal{Code: result.NotRunUnreachable, Reason: err.Error()}
}

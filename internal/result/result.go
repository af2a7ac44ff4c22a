// Package result defines the numbered result codes of papayacove and the error type that carries them.
//
// docs/ERRORS.md contains the same table; a test compares the two.
package result

import (
	"errors"
	"fmt"
	"time"
)

// Code identifies one kind of outcome by a number. Codes from 2000 to 2999 guarantee that nothing ran.
type Code int

// The result codes. Definitions gives the meaning of each.
const (
	OK Code = 0

	NotRunOverloaded      Code = 2001
	NotRunNoPrimary       Code = 2002
	NotRunBehind          Code = 2003
	NotRunNotHolder       Code = 2004
	NotRunDraining        Code = 2005
	NotRunDeadline        Code = 2006
	NotRunNoMajority      Code = 2007
	NotRunNoSlot          Code = 2008
	NotRunReadOnly        Code = 2009
	NotRunUnreachable     Code = 2010
	NotRunTooOld          Code = 2011
	NotRunTargetLeaving   Code = 2012
	NotRunTermChanged     Code = 2013
	NotRunConnectionLimit Code = 2014
	NotRunOverQuota       Code = 2015
	NotRunUnproved        Code = 2016

	OutcomeUnknown     Code = 3001
	TransactionLost    Code = 3002
	AcknowledgedCut    Code = 3003
	AnswerInterrupted  Code = 3004
	StatementCancelled Code = 3005
	TargetFailed       Code = 3006
	StatementTimeout   Code = 3007

	AlreadyRan Code = 4001
	KeyUnknown Code = 4002

	ProtocolViolation    Code = 5001
	MessageTooLarge      Code = 5002
	UnknownWorkspace     Code = 5003
	AuthenticationFailed Code = 5004
	Unsupported          Code = 5005
	TooManyConnections   Code = 5006
	SettingsInvalid      Code = 5007
	ObjectInvalid        Code = 5008
	ObjectConflict       Code = 5009
	ObjectNotFound       Code = 5010
	PlatformUnavailable  Code = 5011
	UnknownGroup         Code = 5012
	Internal             Code = 5013
	UnknownStatement     Code = 5014
)

// Definition describes one result code: its name, its SQLSTATE and its meaning.
type Definition struct {
	Code     Code
	Name     string
	SQLState string
	Meaning  string
}

// Definitions is the table of all result codes in ascending order.
var Definitions = []Definition{
	{OK, "ok", "00000", "The request was carried out."},
	{NotRunOverloaded, "not_run_overloaded", "53400", "Nothing ran: the request could not start in time. Come back after the stated time."},
	{NotRunNoPrimary, "not_run_no_primary", "57P03", "Nothing ran: the group has no primary at the moment."},
	{NotRunBehind, "not_run_behind", "57P03", "Nothing ran: the replica has not applied what the session relies on."},
	{NotRunNotHolder, "not_run_not_holder", "57P03", "Nothing ran: another daemon holds the target."},
	{NotRunDraining, "not_run_draining", "57P03", "Nothing ran: the daemon or the primary is being stopped in a planned way."},
	{NotRunDeadline, "not_run_deadline", "57P03", "Nothing ran: the time limit passed before the request could start."},
	{NotRunNoMajority, "not_run_no_majority", "57P03", "Nothing ran: no majority of the group was seen lately, so a write could not be confirmed."},
	{NotRunNoSlot, "not_run_no_slot", "53300", "Nothing ran: the target had no free connection."},
	{NotRunReadOnly, "not_run_read_only", "25006", "Nothing ran: the statement writes and was sent to a replica."},
	{NotRunUnreachable, "not_run_unreachable", "57P03", "Nothing ran: the target or its daemon could not be reached."},
	{NotRunTooOld, "not_run_too_old", "57P03", "Nothing ran: no reachable copy is within the allowed age."},
	{NotRunTargetLeaving, "not_run_target_leaving", "57P03", "Nothing ran: the target is leaving."},
	{NotRunTermChanged, "not_run_term_changed", "57P03", "Nothing ran: the primary was replaced before the request started."},
	{NotRunConnectionLimit, "not_run_connection_limit", "53300", "Nothing ran: the workspace uses all of its connections."},
	{NotRunOverQuota, "not_run_over_quota", "53400", "Nothing ran: the workspace has used up its operations. Come back after the stated time."},
	{NotRunUnproved, "not_run_unproved", "57P03", "Nothing ran: the daemon cannot prove that the key of the caller is still valid."},
	{OutcomeUnknown, "outcome_unknown", "08007", "The request was sent and no confirmation came: it may have run. Ask with its operation key."},
	{TransactionLost, "transaction_lost", "40001", "The transaction was rolled back: its connection was lost before the commit was sent."},
	{AcknowledgedCut, "acknowledged_cut", "40001", "A failover cut writes that this session relied on. Reported once; later reads see the new primary."},
	{AnswerInterrupted, "answer_interrupted", "08006", "A read was interrupted after part of its answer had been sent. Nothing was written."},
	{StatementCancelled, "statement_cancelled", "57014", "The statement was cancelled at the request of the caller."},
	{TargetFailed, "target_failed", "XX000", "The target ran the statement and reported a failure, which is passed on."},
	{StatementTimeout, "statement_timeout", "57014", "The statement was sent and no answer came within its time limit: it may have run."},
	{AlreadyRan, "already_ran", "23505", "A transaction with this operation key was committed before; this one was rolled back."},
	{KeyUnknown, "key_unknown", "02000", "No transaction with this operation key was committed."},
	{ProtocolViolation, "protocol_violation", "08P01", "A message of the caller does not follow the protocol."},
	{MessageTooLarge, "message_too_large", "54000", "A message of the caller is larger than allowed."},
	{UnknownWorkspace, "unknown_workspace", "3D000", "The database name does not name a workspace and one of its groups."},
	{AuthenticationFailed, "authentication_failed", "28P01", "The user is unknown or the password is wrong."},
	{Unsupported, "unsupported", "0A000", "The statement needs a connection of its own, which papayacove does not give."},
	{TooManyConnections, "too_many_connections", "53300", "The daemon has no room for another caller connection."},
	{SettingsInvalid, "settings_invalid", "F0000", "The settings file is not valid."},
	{ObjectInvalid, "object_invalid", "22023", "A template or workspace is not valid."},
	{ObjectConflict, "object_conflict", "40001", "Another operator changed the object first; nothing was changed."},
	{ObjectNotFound, "object_not_found", "02000", "The object does not exist."},
	{PlatformUnavailable, "platform_unavailable", "57P03", "The platform cannot be reached."},
	{UnknownGroup, "unknown_group", "3D000", "The workspace has no group of this name."},
	{Internal, "internal", "XX000", "An invariant does not hold; the request was ended."},
	{UnknownStatement, "unknown_statement", "26000", "The session has no prepared statement of this name."},
}

var definitionByCode = indexDefinitions()

func indexDefinitions() map[Code]Definition {
	index := make(map[Code]Definition, len(Definitions))
	for _, d := range Definitions {
		index[d.Code] = d
	}
	return index
}

// Definition returns the definition of c, or that of Internal when c is unknown.
func (c Code) Definition() Definition {
	if d, ok := definitionByCode[c]; ok {
		return d
	}
	return definitionByCode[Internal]
}

// String returns the name of the code, such as not_run_behind.
func (c Code) String() string {
	return c.Definition().Name
}

// IsNotRun reports whether the code guarantees that nothing ran.
func (c Code) IsNotRun() bool {
	return c >= 2000 && c < 3000
}

// Error is the outcome of a request that ended with a code other than OK.
type Error struct {
	Code   Code
	Reason string
	// RetryAfter is the time after which the caller may retry; 0 when none is suggested.
	RetryAfter time.Duration
	// Holder is the name of the daemon that holds the target. It is set only with NotRunNotHolder.
	Holder string
}

// Error returns the name of the code, its number and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%d): %s", e.Code, int(e.Code), e.Reason)
}

// Errorf returns an Error with a formatted reason.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Reason: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets the time after which the caller may retry, and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// CodeOf returns the code of the first Error in the chain of err, OK when err is nil, and Internal for any other error.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Internal
}

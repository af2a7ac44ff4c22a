// Package frontend serves callers over the PostgreSQL protocol: it authenticates them, keeps their
// sessions and splits their message stream into batches, each of which ends in Query, Sync or Flush.
// It has no knowledge of the targets; a Runner routes each batch to the gate of a target, which owns
// the connections to it (slots).
//
// # Prepared statements
//
// On targets, a named statement of a caller has a name that is derived from its text and parameter
// types, and Parse, Bind and Describe are rewritten to that name. Batch.Prepared lists the
// definitions that a batch uses without parsing them itself: the gate prepares those that its
// connection lacks and drops their ParseComplete. The gate also makes sure that a Parse inside
// Batch.Messages succeeds when its connection already has the name. No name is parsed twice in one
// batch, and none is parsed after a message that needs it. A connection has a name only after its
// ParseComplete. Close of a named statement is rewritten to a name that no target ever has, so that
// the statement stays prepared for other sessions.
//
// # Settings
//
// Batch.Settings holds values in the form that set_config accepts: search_path is a list of quoted
// names. What a target sends when the settings are applied, such as ParameterStatus, is not part of
// the answer to the batch.
//
// # Transactions
//
// When the Runner returns an error inside a transaction block, the caller receives the failed
// transaction status and has to end the block itself. Statements that it has already sent for the
// block are refused; otherwise each of them would be committed on its own.
package frontend

// Package frontend serves callers: PostgreSQL sessions, authentication and the split of the
// message stream into batches. It knows nothing of targets; a Runner routes the batches.
//
// # Prepared statements
//
// A named statement of a caller has a name on targets that is derived from its text and parameter
// types, and Parse, Bind and Describe are rewritten to it. Batch.Prepared lists the definitions
// that a batch refers to without a Parse of its own: the gate prepares those that its connection
// lacks and swallows their ParseComplete. It also makes sure that a Parse inside Batch.Messages
// succeeds when its connection already has the name. No name is parsed twice in one batch, and none
// is parsed after a message that needs it. A connection has a name only after its ParseComplete.
// Close of a named statement is rewritten to a name that never exists, so that the shared statement
// stays.
//
// # Settings
//
// Batch.Settings holds values as set_config takes them: search_path is a list of quoted names.
// Answers to the application of settings, such as ParameterStatus, are not part of the answer to
// the batch.
//
// # Transactions
//
// After an error of the Runner inside a transaction block the caller sees the failed status and has
// to end the block itself. Statements that it had already sent for the block are refused, since
// they would otherwise be committed one by one.
package frontend

// Package frontend serves callers: PostgreSQL sessions, authentication and the split of the
// message stream into batches. It knows nothing of targets; a Runner routes the batches.
package frontend

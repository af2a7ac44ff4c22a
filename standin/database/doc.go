// Package database is a stand-in for a target: a PostgreSQL server with a log that replicas
// stream, terms, fencing and promotion, and a fixed number of slots.
//
// Rows are kept in SQLite, so that SQL, unique constraints and transactions are real. Each
// committed write transaction appends one record to the log in the same SQLite transaction. A
// replica stores received records durably and applies them after a lag that can be changed at
// run time.
//
// A slot is a client connection that counts against the limit of a target; control connections,
// which carry status queries, orders and streams, do not count. An order is a request to fence
// or promote a target or to make it follow a primary. A term is the period of one primary. A
// target that was fenced at a term refuses writes and records of all lower terms.
package database

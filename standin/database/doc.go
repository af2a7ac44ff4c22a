// Package database is a stand-in for a target: a PostgreSQL server with a log that replicas
// stream, terms, fencing and promotion, and a fixed number of slots.
//
// Rows are kept in SQLite, so that SQL, unique constraints and transactions are real. Each
// committed write transaction appends one record to the log in the same SQLite transaction. A
// replica stores received records durably and applies them after a lag that can be changed at
// run time.
package database

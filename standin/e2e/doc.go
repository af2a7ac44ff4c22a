// Package e2e holds the tests over running processes: PostgreSQL clients at the daemons of a
// deployment on loopback, and gates in this process before the stand-in database.
package e2e

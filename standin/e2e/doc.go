// Package e2e holds the end-to-end tests. Most connect PostgreSQL clients to the daemons of a
// deployment that runs as separate processes on loopback addresses. The others run gates in the
// test process, in front of the stand-in database.
package e2e

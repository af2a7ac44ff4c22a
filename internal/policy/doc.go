// Package policy groups the decisions of papayacove as pure functions and small state machines.
//
// None of its packages does I/O or reads a clock: the caller passes the time. Each decision
// carries a typed reason and the figures that it was based on, and gives the fields of its log line.
package policy

// Package policy groups the decisions of papayacove as pure functions and small state machines.
//
// None of its packages does I/O or reads a clock: the caller passes the time. Most decisions are
// values that carry a typed reason and the figures that they were based on, and return the fields
// of their log line.
package policy

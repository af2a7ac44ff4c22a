// Package peer carries the messages between daemons over net/rpc.
//
// A call that could not be sent is told apart from one whose answer is missing, because only the
// first is sure not to have run. A connection without any answer for a while is probed and closed,
// so that a path that lost track of it does not hold up later calls.
package peer

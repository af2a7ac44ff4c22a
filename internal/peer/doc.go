// Package peer carries the calls between daemons over net/rpc.
//
// A call that was not sent (ErrNotSent) is distinguished from one whose answer is missing (ErrNoAnswer), because only
// the first certainly did not run. A connection on which calls get no answer for a while is probed, and closed if the
// probe is not answered either, so that a half-open connection, whose state the network path has lost, does not delay
// later calls.
package peer

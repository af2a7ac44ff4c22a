// Package gate runs statement batches on the targets that this daemon holds. The holder of a target is the daemon
// through which the other daemons send their batches to it. A gate manages the scarce connections to one target
// (slots), the queue of batches that wait for a slot, and the transactions in progress, and it confirms commits before
// they are acknowledged.
//
// A term is a numbered period in which the group has at most one primary. The entry daemon of a session is the daemon
// that its caller is connected to.
package gate

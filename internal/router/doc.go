// Package router sends each statement batch of a session to the gate of a target, on this daemon or on the target's
// holder: reads by their minimum position and allowed age, writes to the primary, and the batches of a transaction
// to the target at which it began.
//
// The minimum position is the log position that a read must not fall behind. The router keeps it for each session,
// so that a session reads its own writes. A strict read has no allowed age and sees, besides those, everything that
// was confirmed before the first strict read or write of its session; a read with an allowed age may return older
// data. A gate manages the connections to one target; its holder is the daemon through which the other daemons use
// the target.
package router

// Package stopping decides what a daemon does, and until when, in a planned stop.
package stopping

import "time"

// RotationTime is the time that the balancer needs to take a daemon that is not ready out of rotation: two probes, one
// second apart, and a margin. Callers that reconnect earlier may be sent to this daemon again.
const RotationTime = 2200 * time.Millisecond

const (
	// maxReserve and reservePart bound the part of the grace period that is left when the last callers are answered: a
	// time, and one part in so many of a short grace period.
	maxReserve  = 500 * time.Millisecond
	reservePart = 4
	// The last parts of a stop end when these tenths of the reserve are over. What is left is for a signal that was sent
	// earlier than it was noticed.
	cutTenths, peersTenths, promotionsTenths, logTenths = 3, 4, 6, 9
	// maxRun and runPart bound the time that a statement needs to end, from the latest start: a time, and one part in so
	// many of a short grace period.
	maxRun  = time.Second
	runPart = 6
	// acceptPart is the part of the time until the last answers, one in so many, in which no callers are accepted.
	acceptPart = 4
	// maxNextWait bounds the time that a caller has for the next statement of an operation.
	maxNextWait = 500 * time.Millisecond
)

// Schedule holds the times of a planned stop, counted from its begin. They ascend in the order of the fields, except
// that CloseIdle may come at the same time as EndTransactions or before it.
type Schedule struct {
	// CloseIdle is when idle sessions begin to be closed. The balancer sends no new callers then.
	CloseIdle time.Duration
	// EndTransactions is when open transactions are rolled back: they have half of the grace period to end.
	EndTransactions time.Duration
	// AcceptUntil is when the daemon stops to accept callers.
	AcceptUntil time.Duration
	// StartUntil is the latest start of a statement, so that it can be answered before Conclude.
	StartUntil time.Duration
	// Conclude is when each caller that still waits gets a final answer.
	Conclude time.Duration
	// Cut is when the connections are closed whose callers have not taken their answers.
	Cut time.Duration
	// Peers is when the answers to other daemons have to be on their way.
	Peers time.Duration
	// Promotions is when promotions in progress have to have released their locks.
	Promotions time.Duration
	// Log is when the log has to be written.
	Log time.Duration
	// Grace is the end of the grace period, by which the process must have ended.
	Grace time.Duration
}

// ScheduleOf returns the schedule of a stop with a grace period, the time from the signal to the kill. A grace period
// that is not positive leaves no time for any part.
func ScheduleOf(grace time.Duration) Schedule {
	grace = max(0, grace)
	reserve := min(maxReserve, grace/reservePart)
	conclude := grace - reserve
	after := func(tenths time.Duration) time.Duration { return conclude + reserve*tenths/10 }
	return Schedule{
		CloseIdle:       min(RotationTime, grace/2),
		EndTransactions: grace / 2,
		AcceptUntil:     conclude - conclude/acceptPart,
		StartUntil:      conclude - min(maxRun, grace/runPart),
		Conclude:        conclude,
		Cut:             after(cutTenths),
		Peers:           after(peersTenths),
		Promotions:      after(promotionsTenths),
		Log:             after(logTenths),
		Grace:           grace,
	}
}

// Arrival is a statement that arrives during a stop outside of an open transaction, and needs a target.
type Arrival struct {
	// Begins is true if it begins a transaction.
	Begins bool
	// Closing is true once sessions are being closed.
	Closing bool
	// SinceStop is the time since the stop began.
	SinceStop time.Duration
}

// Admits reports whether a statement is still served. Others serve what it refuses: no transaction begins once sessions
// are being closed, as it might not end in time, and no statement starts that could not end in time.
func (s Schedule) Admits(a Arrival) bool {
	if a.Begins && a.Closing {
		return false
	}
	return a.SinceStop < s.StartUntil
}

// IdleSession is a session without a statement or a transaction.
type IdleSession struct {
	// ExpectsNext is true after its opening, and after a statement that only prepares others. It is false after one that
	// ended an operation.
	ExpectsNext bool
	// Waited is the time since the last answer to the caller.
	Waited time.Duration
}

// ClosesIdle reports whether an idle session is closed once sessions are being closed. A caller that is expected to go
// on has time for it.
func (s Schedule) ClosesIdle(i IdleSession) bool {
	return !i.ExpectsNext || i.Waited >= min(maxNextWait, (s.Conclude-s.AcceptUntil)/2)
}

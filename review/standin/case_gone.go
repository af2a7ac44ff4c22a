package main

import "time"

const (
	// downTime is the time for which the first primary is down, and deafTime the time for which it then receives nothing.
	downTime = 7 * time.Second
	// leaveAfter is the time from the first crash to the announcement of the replica that leaves, and leaveTime the time from
	// there to its end: DrainTimeoutMs and a second.
	leaveAfter = 3 * time.Second
	leaveTime  = 8 * time.Second
	// secondCrashBefore is the time from the second crash to the end of the replica that leaves.
	secondCrashBefore = time.Second
)

// playGone lets the primary crash, and the replica of the new one leave as planned. The old primary comes back as a replica
// that receives nothing, and the new primary crashes a second before the replica is gone.
func playGone(w *world, trouble bool) ([]string, error) {
	if err := w.awaitReady(4 * time.Second); err != nil {
		return nil, err
	}
	writers := w.startWriters(1, 20*time.Millisecond)
	defer writers.end()
	time.Sleep(3 * time.Second)
	if !trouble {
		w.record.printf("planned db-c drains")
		w.database("db-c").leave(leaveTime)
		time.Sleep(leaveTime + 3*time.Second)
		return summarize(w.losses()), nil
	}
	first := w.database(w.leaderID())
	w.record.printf("fault   the primary %s crashes", first.id)
	began := time.Now()
	first.crash()
	if _, err := w.awaitPromotion(0); err != nil {
		return nil, err
	}
	second := w.database(w.leaderID())
	var leaving *database
	for _, id := range w.replicaIDs() {
		if id != first.id {
			leaving = w.database(id)
		}
	}
	time.Sleep(time.Until(began.Add(leaveAfter)))
	w.record.printf("planned %s drains", leaving.id)
	leaving.leave(leaveTime)
	time.Sleep(time.Until(began.Add(downTime)))
	w.record.printf("fault   %s is back and receives nothing", first.id)
	w.setDeaf(first, true)
	time.AfterFunc(deafTime, func() { w.setDeaf(first, false) })
	if err := first.start(); err != nil {
		return nil, err
	}
	time.Sleep(time.Until(began.Add(leaveAfter + leaveTime - secondCrashBefore)))
	w.record.printf("fault   the primary %s crashes", second.id)
	before := len(w.provider.received())
	second.crash()
	time.AfterFunc(downTime, func() { _ = second.start() })
	if _, err := w.awaitPromotion(before); err != nil {
		w.record.printf("no promotion while %s is down", second.id)
	}
	time.Sleep(time.Second)
	return summarize(w.losses()), nil
}

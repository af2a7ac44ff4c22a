package admission

import "time"

// next removes and returns the batch that starts next; false when none may start. Batches past their deadline
// stay in the queue until Expire removes them.
func (q *Queue) next(now time.Time) (entry, bool) {
	l, ok := q.nextLane(now)
	if !ok {
		return entry{}, false
	}
	for lower := l + 1; lower < lanes; lower++ {
		if q.lanes[lower].length > 0 {
			q.lanes[lower].bypassed++
		}
	}
	return q.lanes[l].popStartable(q, now), true
}

// nextLane returns the lowest lane that was bypassed MaxBypasses times, or else the highest lane that has a startable
// batch. Late batches have no claim to be started after bypasses: they would make others late.
func (q *Queue) nextLane(now time.Time) (lane, bool) {
	for l := laneLate - 1; l > 0; l-- {
		if q.lanes[l].bypassed >= MaxBypasses && q.lanes[l].hasStartable(q, now) {
			return l, true
		}
	}
	for l := range lanes {
		if q.lanes[l].hasStartable(q, now) {
			return l, true
		}
	}
	return 0, false
}

// hasStartable reports whether some waiting batch is within its deadline and the limit of its workspace.
func (q *Queue) hasStartable(now time.Time) bool {
	for l := range q.lanes {
		if q.lanes[l].hasStartable(q, now) {
			return true
		}
	}
	return false
}

func (lq *laneQueue) hasStartable(q *Queue, now time.Time) bool {
	for _, wq := range lq.queues {
		if wq.firstStartable(q, now) >= 0 {
			return true
		}
	}
	return false
}

// popStartable removes and returns the oldest startable batch of the first workspace that has one, and moves that
// workspace to the end of the round-robin order. The lane must have a startable batch.
func (lq *laneQueue) popStartable(q *Queue, now time.Time) entry {
	for i, wq := range lq.queues {
		j := wq.firstStartable(q, now)
		if j < 0 {
			continue
		}
		e := lq.removeAt(i, j)
		if len(wq.entries) > 0 {
			lq.queues = append(append(lq.queues[:i], lq.queues[i+1:]...), wq)
		}
		lq.bypassed = 0
		return e
	}
	return entry{}
}

func (wq *workspaceQueue) firstStartable(q *Queue, now time.Time) int {
	for i, e := range wq.entries {
		if now.Before(e.item.Deadline) && q.isWithinLimit(e.item) {
			return i
		}
	}
	return -1
}

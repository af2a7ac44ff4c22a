package admission

import "time"

// next removes and returns the batch that starts next; false when none may start. Batches past their deadline
// stay in the queue until Expire removes them.
func (q *Queue) next(now time.Time) (entry, bool) {
	c, ok := q.nextClass(now)
	if !ok {
		return entry{}, false
	}
	for lower := c + 1; lower < classes; lower++ {
		if q.byClass[lower].length > 0 {
			q.byClass[lower].bypassed++
		}
	}
	return q.byClass[c].popStartable(q, now), true
}

// nextClass returns the lowest-priority class that was bypassed MaxBypasses times, or else the highest-priority class
// that has a startable batch.
func (q *Queue) nextClass(now time.Time) (Class, bool) {
	for c := classes - 1; c > 0; c-- {
		if q.byClass[c].bypassed >= MaxBypasses && q.byClass[c].hasStartable(q, now) {
			return c, true
		}
	}
	for c := Class(0); c < classes; c++ {
		if q.byClass[c].hasStartable(q, now) {
			return c, true
		}
	}
	return 0, false
}

// hasStartable reports whether some waiting batch is within its deadline and the limit of its workspace.
func (q *Queue) hasStartable(now time.Time) bool {
	for c := range q.byClass {
		if q.byClass[c].hasStartable(q, now) {
			return true
		}
	}
	return false
}

func (cq *classQueue) hasStartable(q *Queue, now time.Time) bool {
	for _, wq := range cq.queues {
		if wq.firstStartable(q, now) >= 0 {
			return true
		}
	}
	return false
}

// popStartable removes and returns the oldest startable batch of the first workspace that has one, and moves that
// workspace to the end of the round-robin order. The class must have a startable batch.
func (cq *classQueue) popStartable(q *Queue, now time.Time) entry {
	for i, wq := range cq.queues {
		j := wq.firstStartable(q, now)
		if j < 0 {
			continue
		}
		e := cq.removeAt(i, j)
		if len(wq.entries) > 0 {
			cq.queues = append(append(cq.queues[:i], cq.queues[i+1:]...), wq)
		}
		cq.bypassed = 0
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

package admission

import "time"

// next removes and returns the batch that starts next, and the virtual time at which it was queued; false when none may start. Batches past their deadline
// stay in the queue until Expire removes them.
func (q *Queue) next(now time.Time) (e entry, queuedAt float64, ok bool) {
	l, ok := q.nextLane(now)
	if !ok {
		return entry{}, 0, false
	}
	for lower := l + 1; lower < lanes; lower++ {
		if q.lanes[lower].length > 0 {
			q.lanes[lower].bypassed++
		}
	}
	e, queuedAt = q.lanes[l].popStartable(q, now)
	return e, queuedAt, true
}

// nextLane returns the lowest lane that was bypassed MaxBypasses times, or else the highest lane that has a startable
// batch, of a workspace that is not in excess if there is one. Late batches have no claim to be started after bypasses:
// they would make others late.
func (q *Queue) nextLane(now time.Time) (lane, bool) {
	for l := laneLate - 1; l > 0; l-- {
		if q.lanes[l].bypassed >= MaxBypasses && q.lanes[l].hasStartable(q, now) {
			return l, true
		}
	}
	if l, ok := q.highestWithinShares(now); ok {
		return l, true
	}
	for l := range lanes {
		if q.lanes[l].hasStartable(q, now) {
			return l, true
		}
	}
	return 0, false
}

// highestWithinShares returns the highest lane above the late one that has a startable batch of a workspace that is not
// in excess. Transactions in progress are never in excess: they hold what others wait for.
func (q *Queue) highestWithinShares(now time.Time) (lane, bool) {
	if !q.shares.isOn() {
		return 0, false
	}
	for l := range laneLate {
		for _, wq := range q.lanes[l].queues {
			inExcess := l != laneTransaction && q.isInExcess(wq.workspace, now)
			if !inExcess && wq.firstStartable(q, now) >= 0 {
				return l, true
			}
		}
	}
	return 0, false
}

func (q *Queue) isInExcess(workspace string, now time.Time) bool {
	return q.shares.isInExcess(workspace, q.slots, now)
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

// popStartable removes and returns the oldest startable batch of the workspace that is served next, and the virtual time
// at which it was queued, and moves that workspace to the end of the round-robin order. The lane must have a startable
// batch.
func (lq *laneQueue) popStartable(q *Queue, now time.Time) (entry, float64) {
	i, j := lq.nextWorkspace(q, now)
	if i < 0 {
		return entry{}, 0
	}
	wq := lq.queues[i]
	e := lq.removeAt(i, j)
	if len(wq.entries) > 0 {
		lq.queues = append(append(lq.queues[:i], lq.queues[i+1:]...), wq)
	}
	lq.bypassed = 0
	return e, wq.queuedAt
}

// nextWorkspace returns the index of the workspace queue that is served next and that of its oldest startable batch: the
// first in round-robin order, or by shares the one that has used the least of its part, those in excess last. The index
// is -1 if there is none.
func (lq *laneQueue) nextWorkspace(q *Queue, now time.Time) (index, startable int) {
	index = -1
	var least float64
	var leastInExcess bool
	for i, wq := range lq.queues {
		j := wq.firstStartable(q, now)
		if j < 0 {
			continue
		}
		if !q.shares.isOn() {
			return i, j
		}
		begin, inExcess := max(wq.queuedAt, q.shares.of(wq.workspace, now).finish), q.isInExcess(wq.workspace, now)
		if index < 0 || leastInExcess && !inExcess || leastInExcess == inExcess && begin < least {
			index, startable, least, leastInExcess = i, j, begin, inExcess
		}
	}
	return index, startable
}

func (wq *workspaceQueue) firstStartable(q *Queue, now time.Time) int {
	for i, e := range wq.entries {
		if now.Before(e.item.Deadline) && q.isWithinLimit(e.item) {
			return i
		}
	}
	return -1
}

package admission

import "time"

// next removes and returns the batch that starts next. Batches past their deadline are left for
// Expire.
func (q *Queue) next(now time.Time) (entry, bool) {
	c, ok := q.nextClass(now)
	if !ok {
		return entry{}, false
	}
	for lower := c + 1; lower < classes; lower++ {
		if q.lanes[lower].length > 0 {
			q.lanes[lower].bypassed++
		}
	}
	return q.lanes[c].popStartable(q, now), true
}

// nextClass returns the lowest class that was bypassed too often, else the highest that waits.
func (q *Queue) nextClass(now time.Time) (Class, bool) {
	for c := classes - 1; c > 0; c-- {
		if q.lanes[c].bypassed >= MaxBypasses && q.lanes[c].hasStartable(q, now) {
			return c, true
		}
	}
	for c := Class(0); c < classes; c++ {
		if q.lanes[c].hasStartable(q, now) {
			return c, true
		}
	}
	return 0, false
}

// hasStartable reports whether a waiting batch is within its deadline and the limit of its workspace.
func (q *Queue) hasStartable(now time.Time) bool {
	for c := range q.lanes {
		if q.lanes[c].hasStartable(q, now) {
			return true
		}
	}
	return false
}

func (l *lane) hasStartable(q *Queue, now time.Time) bool {
	for _, w := range l.lines {
		if w.firstStartable(q, now) >= 0 {
			return true
		}
	}
	return false
}

// popStartable removes the oldest batch of the workspace whose turn it is among those that may start,
// and moves that workspace to the end of the turn. The lane must have such a batch.
func (l *lane) popStartable(q *Queue, now time.Time) entry {
	for i, w := range l.lines {
		j := w.firstStartable(q, now)
		if j < 0 {
			continue
		}
		e := l.removeAt(i, j)
		if len(w.entries) > 0 {
			l.lines = append(append(l.lines[:i], l.lines[i+1:]...), w)
		}
		l.bypassed = 0
		return e
	}
	return entry{}
}

func (w *line) firstStartable(q *Queue, now time.Time) int {
	for i, e := range w.entries {
		if now.Before(e.item.Deadline) && q.isWithinLimit(e.item) {
			return i
		}
	}
	return -1
}

package admission

import "time"

// entry is a waiting batch.
type entry struct {
	item  Item
	since time.Time
}

// workspaceQueue holds the waiting batches of one workspace in one lane, oldest first.
type workspaceQueue struct {
	workspace string
	entries   []entry
	// queuedAt is the virtual time at which the first of them was queued; see shares.
	queuedAt float64
}

// laneQueue holds the waiting batches of one lane. Its workspaces are served round-robin: the first
// element of queues is served next. No element of queues is empty.
type laneQueue struct {
	queues []*workspaceQueue
	length int
	// bypassed counts the starts of higher lanes while this lane waited, since its own last start.
	bypassed int
}

func (lq *laneQueue) find(workspace string) int {
	for i, wq := range lq.queues {
		if wq.workspace == workspace {
			return i
		}
	}
	return -1
}

func (lq *laneQueue) lengthOf(workspace string) int {
	if i := lq.find(workspace); i >= 0 {
		return len(lq.queues[i].entries)
	}
	return 0
}

// push appends a batch at a virtual time.
func (lq *laneQueue) push(e entry, virtual float64) {
	i := lq.find(e.item.Workspace)
	if i < 0 {
		lq.queues = append(lq.queues, &workspaceQueue{workspace: e.item.Workspace, queuedAt: virtual})
		i = len(lq.queues) - 1
	}
	lq.queues[i].entries = append(lq.queues[i].entries, e)
	lq.length++
}

// removeAt removes and returns the batch at entryIndex of the workspace queue at queueIndex.
func (lq *laneQueue) removeAt(queueIndex, entryIndex int) entry {
	wq := lq.queues[queueIndex]
	e := wq.entries[entryIndex]
	wq.entries = append(wq.entries[:entryIndex], wq.entries[entryIndex+1:]...)
	if len(wq.entries) == 0 {
		lq.queues = append(lq.queues[:queueIndex], lq.queues[queueIndex+1:]...)
	}
	lq.length--
	if lq.length == 0 {
		lq.bypassed = 0
	}
	return e
}

// removeExpired removes and returns the batches whose deadline has passed.
func (lq *laneQueue) removeExpired(now time.Time) []entry {
	return lq.removeIf(func(i Item) bool { return !now.Before(i.Deadline) })
}

// removeLate removes and returns the batches whose deadline has passed and that may still start late.
func (lq *laneQueue) removeLate(now time.Time) []entry {
	return lq.removeIf(func(i Item) bool { return !now.Before(i.Deadline) && i.mayBeLate(now) })
}

// removeIf removes and returns the batches that match. It calls matches for the batches of each workspace oldest first.
func (lq *laneQueue) removeIf(matches func(Item) bool) []entry {
	var removed []entry
	for i := 0; i < len(lq.queues); {
		wq := lq.queues[i]
		for j := 0; j < len(wq.entries); {
			if matches(wq.entries[j].item) {
				removed = append(removed, lq.removeAt(i, j))
			} else {
				j++
			}
		}
		if len(wq.entries) > 0 {
			i++
		}
	}
	return removed
}

// longest returns the index and the length of the longest workspace queue; the index is -1 when no batch waits.
func (lq *laneQueue) longest() (int, int) {
	index, length := -1, 0
	for i, wq := range lq.queues {
		if len(wq.entries) > length {
			index, length = i, len(wq.entries)
		}
	}
	return index, length
}

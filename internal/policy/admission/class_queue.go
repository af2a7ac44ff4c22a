package admission

import "time"

// entry is a waiting batch.
type entry struct {
	item  Item
	since time.Time
}

// workspaceQueue holds the waiting batches of one workspace in one class, oldest first.
type workspaceQueue struct {
	workspace string
	entries   []entry
}

// classQueue holds the waiting batches of one class. Its workspaces are served round-robin: the first
// element of queues is served next. No element of queues is empty.
type classQueue struct {
	queues []*workspaceQueue
	length int
	// bypassed counts the starts of higher classes while this class waited, since its own last start.
	bypassed int
}

func (cq *classQueue) find(workspace string) int {
	for i, wq := range cq.queues {
		if wq.workspace == workspace {
			return i
		}
	}
	return -1
}

func (cq *classQueue) lengthOf(workspace string) int {
	if i := cq.find(workspace); i >= 0 {
		return len(cq.queues[i].entries)
	}
	return 0
}

func (cq *classQueue) push(e entry) {
	i := cq.find(e.item.Workspace)
	if i < 0 {
		cq.queues = append(cq.queues, &workspaceQueue{workspace: e.item.Workspace})
		i = len(cq.queues) - 1
	}
	cq.queues[i].entries = append(cq.queues[i].entries, e)
	cq.length++
}

// removeAt removes and returns the batch at entryIndex of the workspace queue at queueIndex.
func (cq *classQueue) removeAt(queueIndex, entryIndex int) entry {
	wq := cq.queues[queueIndex]
	e := wq.entries[entryIndex]
	wq.entries = append(wq.entries[:entryIndex], wq.entries[entryIndex+1:]...)
	if len(wq.entries) == 0 {
		cq.queues = append(cq.queues[:queueIndex], cq.queues[queueIndex+1:]...)
	}
	cq.length--
	if cq.length == 0 {
		cq.bypassed = 0
	}
	return e
}

// removeExpired removes and returns the batches whose deadline has passed.
func (cq *classQueue) removeExpired(now time.Time) []entry {
	return cq.removeIf(func(i Item) bool { return !now.Before(i.Deadline) })
}

// removeLate removes and returns the batches whose deadline has passed and that may still start late.
func (cq *classQueue) removeLate(now time.Time) []entry {
	return cq.removeIf(func(i Item) bool { return !now.Before(i.Deadline) && i.mayBeLate(now) })
}

// removeIf removes and returns the batches that match. It calls matches for the batches of each workspace oldest first.
func (cq *classQueue) removeIf(matches func(Item) bool) []entry {
	var removed []entry
	for i := 0; i < len(cq.queues); {
		wq := cq.queues[i]
		for j := 0; j < len(wq.entries); {
			if matches(wq.entries[j].item) {
				removed = append(removed, cq.removeAt(i, j))
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

// ahead returns the number of batches of the class that start before a new one of workspace.
func (cq *classQueue) ahead(workspace string) int {
	own := cq.lengthOf(workspace)
	total := own
	for _, wq := range cq.queues {
		if wq.workspace != workspace {
			total += min(len(wq.entries), own+1)
		}
	}
	return total
}

// longest returns the index and the length of the longest workspace queue; the index is -1 when no batch waits.
func (cq *classQueue) longest() (int, int) {
	index, length := -1, 0
	for i, wq := range cq.queues {
		if len(wq.entries) > length {
			index, length = i, len(wq.entries)
		}
	}
	return index, length
}

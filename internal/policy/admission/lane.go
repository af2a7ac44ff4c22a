package admission

import "time"

// entry is a waiting batch.
type entry struct {
	item  Item
	since time.Time
}

// line is the waiting batches of one workspace in one class, the oldest first.
type line struct {
	workspace string
	entries   []entry
}

// lane is the waiting batches of one class. The lines of its workspaces take turns; the first
// line is served next. Lines are never empty.
type lane struct {
	lines  []*line
	length int
	// bypassed counts the starts of higher classes since this class last started while it waited.
	bypassed int
}

func (l *lane) find(workspace string) int {
	for i, w := range l.lines {
		if w.workspace == workspace {
			return i
		}
	}
	return -1
}

func (l *lane) lineLength(workspace string) int {
	if i := l.find(workspace); i >= 0 {
		return len(l.lines[i].entries)
	}
	return 0
}

func (l *lane) push(e entry) {
	i := l.find(e.item.Workspace)
	if i < 0 {
		l.lines = append(l.lines, &line{workspace: e.item.Workspace})
		i = len(l.lines) - 1
	}
	l.lines[i].entries = append(l.lines[i].entries, e)
	l.length++
}

// removeAt removes one batch of a line.
func (l *lane) removeAt(lineIndex, entryIndex int) entry {
	w := l.lines[lineIndex]
	e := w.entries[entryIndex]
	w.entries = append(w.entries[:entryIndex], w.entries[entryIndex+1:]...)
	if len(w.entries) == 0 {
		l.lines = append(l.lines[:lineIndex], l.lines[lineIndex+1:]...)
	}
	l.length--
	if l.length == 0 {
		l.bypassed = 0
	}
	return e
}

// removeExpired removes and returns the batches whose deadline has passed.
func (l *lane) removeExpired(now time.Time) []entry {
	return l.removeIf(func(i Item) bool { return !now.Before(i.Deadline) })
}

// removeLate removes and returns the batches whose deadline has passed and that may start late.
func (l *lane) removeLate(now time.Time) []entry {
	return l.removeIf(func(i Item) bool { return !now.Before(i.Deadline) && i.mayBeLate(now) })
}

// removeIf removes and returns the batches that match.
func (l *lane) removeIf(matches func(Item) bool) []entry {
	var removed []entry
	for i := len(l.lines) - 1; i >= 0; i-- {
		w := l.lines[i]
		for j := len(w.entries) - 1; j >= 0; j-- {
			if matches(w.entries[j].item) {
				removed = append(removed, l.removeAt(i, j))
			}
		}
	}
	return removed
}

// ahead returns the number of batches of the class that start before a new one of workspace.
func (l *lane) ahead(workspace string) int {
	own := l.lineLength(workspace)
	total := own
	for _, w := range l.lines {
		if w.workspace != workspace {
			total += min(len(w.entries), own+1)
		}
	}
	return total
}

// longest returns the index of the longest line, and its length; -1 when the lane is empty.
func (l *lane) longest() (int, int) {
	index, length := -1, 0
	for i, w := range l.lines {
		if len(w.entries) > length {
			index, length = i, len(w.entries)
		}
	}
	return index, length
}

package lines

// IDs returns the ids of all targets, sorted.
func (g *Group) IDs() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return sortedNames(g.targets)
}

// writeEntries writes the entries of all targets again, as heartbeats do.
func (g *Group) writeEntries() {
	for _, id := range g.IDs() {
		g.Target(id).WriteEntry()
	}
}

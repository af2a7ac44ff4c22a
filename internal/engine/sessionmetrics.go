package engine

import (
	"cmp"
	"slices"
)

// namedWorkspaces is the number of workspaces that metrics name; the others are counted together.
const namedWorkspaces = 20

// SessionsByWorkspace returns the number of open sessions of the workspaces that have the most, and of all others together
// under otherWorkspaces. Sessions without a workspace are left out.
func (e *Engine) SessionsByWorkspace() map[string]int {
	counts := make(map[string]int)
	for _, s := range e.openSessions() {
		if name := s.boundIdentity().Workspace; name != "" {
			counts[name]++
		}
	}
	return largest(counts, namedWorkspaces)
}

// otherWorkspaces stands for the workspaces that are not named. No workspace has a name with blanks.
const otherWorkspaces = "all others"

// largest returns the n largest counts by name, and the sum of the rest.
func largest(counts map[string]int, n int) map[string]int {
	if len(counts) <= n {
		return counts
	}
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b)) })
	kept := make(map[string]int, n+1)
	for i, name := range names {
		if i < n {
			kept[name] = counts[name]
		} else {
			kept[otherWorkspaces] += counts[name]
		}
	}
	return kept
}

package membership

// state is the part of a member on which the results of Members and ReachesPlatform depend.
type state struct {
	live            bool
	leaving         bool
	platformReached bool
}

func (m *member) state() state {
	return state{live: m.live, leaving: m.leaving, platformReached: m.platformReached}
}

// isPlacedLike reports whether placement treats a daemon alike in both states.
func (s state) isPlacedLike(other state) bool {
	return s.live == other.live && s.leaving == other.leaving
}

// countChange increments the number of changes if the state of a daemon differs. m.mu must be held.
func (m *Manager) countChange(previous, current state) {
	if previous != current {
		m.changes.Add(1)
	}
}

// Changes returns the number of changes of Members and ReachesPlatform so far. A result derived from them holds while
// the number stays the same.
func (m *Manager) Changes() uint64 {
	return m.changes.Load()
}

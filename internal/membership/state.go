package membership

// state is what decisions take from the knowledge of one daemon.
type state struct {
	live            bool
	leaving         bool
	platformReached bool
}

func (m *member) state() state {
	return state{live: m.live, leaving: m.leaving, platformReached: m.platformReached}
}

// isPlacedAs reports whether placement treats a daemon in both states alike.
func (s state) isPlacedAs(other state) bool {
	return s.live == other.live && s.leaving == other.leaving
}

// count notes a change of a daemon. The caller holds the lock.
func (m *Manager) count(previous, current state) {
	if previous != current {
		m.changes.Add(1)
	}
}

// Changes counts the changes of Members and ReachesPlatform, so that what was derived from them can
// be kept until the next one.
func (m *Manager) Changes() uint64 {
	return m.changes.Load()
}

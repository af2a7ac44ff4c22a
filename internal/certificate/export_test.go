package certificate

// Reload reloads changed files without waiting for the next poll.
func (s *Store) Reload() {
	s.reload()
}

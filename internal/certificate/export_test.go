package certificate

// Reload looks at the files at once.
func (s *Store) Reload() {
	s.reload()
}

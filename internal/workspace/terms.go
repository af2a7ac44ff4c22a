package workspace

import (
	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/invariant"
)

// isNewerTerm orders the records of one group by term, and within a term by whether the primary
// is recorded.
func isNewerTerm(next, old api.TermRecord) bool {
	if next.Term != old.Term {
		return next.Term > old.Term
	}
	return next.Primary != "" && old.Primary == ""
}

// raiseTerm keeps the newer of two records and reports whether that is the given one.
func (v *view) raiseTerm(next api.TermRecord) bool {
	old, known := v.terms[next.Group]
	if known && !isNewerTerm(next, old) {
		checkSinglePrimary(next, old)
		return false
	}
	v.terms[next.Group] = next
	return true
}

// checkSinglePrimary asserts that a term has one primary.
func checkSinglePrimary(next, old api.TermRecord) {
	same := next.Term != old.Term || next.Primary == "" || next.Primary == old.Primary
	invariant.Check(same, "term_has_one_primary", logrus.Fields{
		"group":  next.Group,
		"term":   next.Term,
		"known":  old.Primary,
		"stated": next.Primary,
	})
}

// ObserveTerm takes in a term that a peer reported, and reports whether it was newer.
func (c *Catalog) ObserveTerm(term api.GroupTerm) bool {
	record := api.TermRecord{Group: term.Group, Term: term.Term, Primary: term.Primary, Start: term.Start}
	if old, known := c.Term(term.Group); known && !isNewerTerm(record, old) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.current.Load().clone()
	if !next.raiseTerm(record) {
		return false
	}
	c.publish(next)
	return true
}

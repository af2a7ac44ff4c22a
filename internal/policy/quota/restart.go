package quota

import (
	"slices"
	"time"
)

// firstAnswer is what a candidate answered first since the start of the daemon.
type firstAnswer struct {
	// spentUntil is the time until which tokens may be spent that it granted from what earlier starts of the daemon lent.
	spentUntil time.Duration
	// unusedSince is the time since which it certainly counted nothing that earlier starts lent, nor did an earlier start of
	// the candidate.
	unusedSince time.Duration
}

// borrowers returns those to whom an earlier start of the daemon may have lent the rights of a share.
func (l *lending) borrowers(s share) []string {
	return append(slices.Clone(s.order), l.earlierCandidates...)
}

// unanswered returns the borrowers of a share that have not answered since the start.
func (l *lending) unanswered(s share) []string {
	return slices.DeleteFunc(l.borrowers(s), func(name string) bool {
		_, ok := l.answered[name]
		return ok
	})
}

// settle moves the start of each share forward whose candidates have all answered: none of them counts what an earlier
// start of the daemon lent.
func (l *lending) settle(now time.Duration) {
	for i := range l.shares {
		s := &l.shares[i]
		if !l.knowsBorrowers || now >= s.startAt || l.weight == 0 || len(l.unanswered(*s)) > 0 {
			continue
		}
		startAt, unusedSince := now, l.startedAt
		for _, name := range l.borrowers(*s) {
			startAt = max(startAt, l.answered[name].spentUntil)
			unusedSince = max(unusedSince, l.answered[name].unusedSince)
		}
		s.startAt = min(s.startAt, startAt)
		s.unused = max(0, s.startAt-unusedSince)
	}
}

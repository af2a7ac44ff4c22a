package lines

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"
)

// StaleReads describes the reads on logs that lack a commit which they must have.
type StaleReads struct {
	// Breaches lack a commit that a target acknowledged in time.
	Breaches []string
	// Told are those of the Breaches that lack a commit which was also acknowledged to its caller in time.
	Told []string
	// Dropped are reads whose answer no caller got, which are no breaches: a daemon may run a read before it has the
	// proof that the answer needs.
	Dropped []string
}

// Stale returns each read on a log that lacks a commit which it must have: one acknowledged before its first byte, or
// that of its transaction, was sent, or more than maxStaleness before on routes that allow it; and any of its session.
// A commit that a promotion rolled back counts for the reads that ran before the promotion took effect.
func (r Records) Stale(maxStaleness time.Duration) StaleReads {
	var found StaleReads
	histories := map[historyKey]history{}
	for _, e := range r.inOrder() {
		s := r.sent[e.ID]
		if !s.reads() {
			continue
		}
		key := historyKey{e.Group, r.termAt(e.Group, e.RanAt)}
		h, ok := histories[key]
		if !ok {
			h = r.history(key)
			histories[key] = h
		}
		r.checkRead(&found, e, h.needed(s, r.kindOf(s.database), maxStaleness))
	}
	return found
}

// checkRead adds a read to those found if its log lacks one of the commits that it must have.
func (r Records) checkRead(found *StaleReads, e Execution, n neededCommits) {
	acknowledged, lacks := r.lacking(e, n.acknowledged)
	if !lacks {
		return
	}
	breach := fmt.Sprintf("lacks %s", r.describeCommit(acknowledged))
	told, lacksTold := r.lacking(e, n.told)
	if lacksTold {
		breach += fmt.Sprintf(", and of those acknowledged to callers %s", r.describeCommit(told))
	}
	breach += fmt.Sprintf(" (read at %s): %s", e.RanAt.Format(recordTime), r.describe(e))
	switch {
	case r.sent[e.ID].signature != e.Signature:
		found.Dropped = append(found.Dropped, breach)
		return
	case lacksTold:
		found.Told = append(found.Told, breach)
	}
	found.Breaches = append(found.Breaches, breach)
}

// lacking returns the first of some commits that the log of a run lacks.
func (r Records) lacking(e Execution, commits []Commit) (Commit, bool) {
	i := slices.IndexFunc(commits, func(c Commit) bool { return !e.Position.contains(c.Position, r.termStarts[e.Group]) })
	if i < 0 {
		return Commit{}, false
	}
	return commits[i], true
}

// describeCommit returns a commit with what its caller was told.
func (r Records) describeCommit(c Commit) string {
	s := r.sent[c.ID]
	answer := fmt.Sprintf("answer %q", s.code)
	if !s.succeededAt.IsZero() {
		answer = "told at " + s.succeededAt.Format(recordTime)
	}
	return fmt.Sprintf("%s, which %s acknowledged at %s (statement %s, %s)", c.Position, c.Target,
		c.AcknowledgedAt.Format(recordTime), c.ID, answer)
}

// termAt returns the last term of a group that a promotion began by a time; 0 if there was no promotion.
func (r Records) termAt(group string, at time.Time) uint64 {
	last := uint64(0)
	for term, promotedAt := range r.promotedAt[group] {
		if !promotedAt.After(at) {
			last = max(last, term)
		}
	}
	return last
}

// isRolledBack reports whether a commit is not in the log with which a term began. Nothing is before the first
// promotion.
func (r Records) isRolledBack(c Commit, term uint64) bool {
	starts := r.termStarts[c.Group]
	return c.Position.Term < term && !starts[term].contains(c.Position, starts)
}

// historyKey names a group and the last term that a promotion had begun.
type historyKey struct {
	group string
	term  uint64
}

// history is the commits of a group that no promotion up to a term rolled back.
type history struct {
	// acknowledged are those that targets acknowledged, told those that were acknowledged to their callers, with the
	// times of that.
	acknowledged, told []acknowledgement
	// acknowledgedTo and toldTo are those of the statements of each session.
	acknowledgedTo, toldTo map[uint64][]acknowledgement
}

func (r Records) history(key historyKey) history {
	h := history{acknowledgedTo: map[uint64][]acknowledgement{}, toldTo: map[uint64][]acknowledgement{}}
	for _, c := range r.commits {
		if c.Group != key.group || r.isRolledBack(c, key.term) {
			continue
		}
		byTarget := acknowledgement{c.AcknowledgedAt, c}
		h.acknowledged = append(h.acknowledged, byTarget)
		s, ok := r.sent[c.ID]
		if !ok {
			continue
		}
		h.acknowledgedTo[s.session] = append(h.acknowledgedTo[s.session], byTarget)
		if !s.succeededAt.IsZero() {
			toCaller := acknowledgement{s.succeededAt, c}
			h.told = append(h.told, toCaller)
			h.toldTo[s.session] = append(h.toldTo[s.session], toCaller)
		}
	}
	keepNewest(h.acknowledged)
	keepNewest(h.told)
	return h
}

// neededCommits are commits that a log must have: by what targets, and by what callers saw as acknowledged.
type neededCommits struct{ acknowledged, told []Commit }

// needed returns the commits that the log must have on which a read runs.
func (h history) needed(s sent, kind RouteKind, maxStaleness time.Duration) neededCommits {
	from := s.at
	if s.transaction != 0 {
		from = s.transactionAt
	}
	if kind == RoutePrimary {
		return neededCommits{newestBefore(h.acknowledged, from), newestBefore(h.told, from)}
	}
	aged := from.Add(-maxStaleness)
	n := neededCommits{newestBefore(h.acknowledged, aged), newestBefore(h.told, aged)}
	if kind == RouteReadYourWrites {
		n.acknowledged = append(n.acknowledged, allBefore(h.acknowledgedTo[s.session], from)...)
		n.told = append(n.told, allBefore(h.toldTo[s.session], from)...)
	}
	return n
}

func (s sent) reads() bool {
	return strings.HasPrefix(s.text, "READ ") || strings.HasPrefix(s.text, "EXECUTE ") && strings.HasPrefix(s.shape, "READ")
}

// acknowledgement is the newest commit of a log that was acknowledged up to a time. A log that has it has all before.
type acknowledgement struct {
	at     time.Time
	newest Commit
}

// keepNewest sorts the acknowledgements of one log by time, and gives each the commit with the highest number so far.
func keepNewest(list []acknowledgement) {
	slices.SortFunc(list, func(x, y acknowledgement) int { return x.at.Compare(y.at) })
	for i := 1; i < len(list); i++ {
		if before := list[i-1].newest; before.Position.Number > list[i].newest.Position.Number {
			list[i].newest = before
		}
	}
}

// newestBefore returns the newest commit that was acknowledged before a time, if there is one.
func newestBefore(list []acknowledgement, at time.Time) []Commit {
	if i := sort.Search(len(list), func(i int) bool { return !list[i].at.Before(at) }); i > 0 {
		return []Commit{list[i-1].newest}
	}
	return nil
}

// allBefore returns the commits that were acknowledged before a time.
func allBefore(list []acknowledgement, at time.Time) []Commit {
	var commits []Commit
	for _, a := range list {
		if a.at.Before(at) {
			commits = append(commits, a.newest)
		}
	}
	return commits
}

// contains reports whether a log that ends at a position contains a record. starts are the positions at which the terms
// began.
func (p Position) contains(record Position, starts map[uint64]Position) bool {
	for p.Term > record.Term {
		start, ok := starts[p.Term]
		if !ok {
			return false
		}
		p = start
	}
	return p.Term == record.Term && p.Number >= record.Number
}

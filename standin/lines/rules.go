package lines

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"
)

// Records are what callers sent and what targets ran and acknowledged, for the checks of the rules of statements.
type Records struct {
	// sent are the statements of callers by id, executions the runs of all targets, each target's in order.
	sent       map[string]sent
	executions []Execution
	// attempts are the statements that targets received.
	attempts []Attempt
	commits  []Commit
	// termStarts are the positions at which the terms of each group began.
	termStarts map[string]map[uint64]Position
	routes     []routeVersion
}

// NewRecords returns what has been recorded so far.
func NewRecords(callers *CallerLog, operator *OperatorLog, groups ...*Group) Records {
	r := Records{termStarts: map[string]map[uint64]Position{}}
	callers.mu.Lock()
	r.sent = maps.Clone(callers.sent)
	callers.mu.Unlock()
	operator.mu.Lock()
	r.routes = slices.Clone(operator.routes)
	operator.mu.Unlock()
	for _, g := range groups {
		r.executions = append(r.executions, g.Executions()...)
		r.attempts = append(r.attempts, g.attemptsOf()...)
		g.mu.Lock()
		r.commits = append(r.commits, g.commits...)
		r.termStarts[g.Name] = maps.Clone(g.termStarts)
		g.mu.Unlock()
	}
	return r
}

// Relayed returns how many statements a daemon sent to a target for another daemon, and how many were run in all.
func (r Records) Relayed() (relayed, all int) {
	for _, e := range r.executions {
		if s, ok := r.sent[e.ID]; ok {
			all++
			if e.Source != "" && e.Source != s.daemon {
				relayed++
			}
		}
	}
	return relayed, all
}

// describe returns the records of a run and of its statement.
func (r Records) describe(e Execution) string {
	s := r.sent[e.ID]
	return fmt.Sprintf("%q (id %s, session %d, transaction %d, database %s, daemon %s, sent %s, settings %v, shape %q, signature %q, code %q) ran at %s of %s "+
		"on connection %d of daemon %s, in transaction %d, at %s, position %s, settings %v, shape %q",
		s.text, e.ID, s.session, s.transaction, s.database, s.daemon, s.at.Format(recordTime), s.settings, s.shape, s.signature, s.code, e.Target, e.Group,
		e.Connection, e.Source, e.Transaction, e.ArrivedAt.Format(recordTime), e.Position, e.Settings, e.Shape)
}

// All describes all runs of callers' statements in the order in which they arrived, and the statements that no target ran.
func (r Records) All() []string {
	var all []string
	ran := map[string]bool{}
	for _, e := range r.inOrder() {
		ran[e.ID] = true
		all = append(all, r.describe(e))
	}
	for id, s := range r.sent {
		if !ran[id] {
			all = append(all, fmt.Sprintf("%q (id %s, session %d, transaction %d, database %s, daemon %s, sent %s) did not run, code %q",
				s.text, id, s.session, s.transaction, s.database, s.daemon, s.at.Format(recordTime), s.code))
		}
	}
	return all
}

// recordTime is the format of times in descriptions.
const recordTime = "15:04:05.000"

// Pinned returns each run inside the transaction of another caller, outside its own transaction or on another connection
// than that of its first statement, and each with other session values or another prepared shape than were acknowledged.
func (r Records) Pinned() []string {
	var breaches []string
	// owners are the first runs of the transactions of targets, begun the transactions of callers.
	owners, begun := map[uint64]Execution{}, map[uint64]*begunTransaction{}
	for _, e := range r.inOrder() {
		s := r.sent[e.ID]
		var reasons []string
		if owner, ok := owners[e.Transaction]; !ok && e.Transaction != 0 {
			owners[e.Transaction] = e
		} else if o := r.sent[owner.ID]; ok && (o.session != s.session || o.transaction != s.transaction) {
			reasons = append(reasons, "inside the transaction that began with "+r.describe(owner))
		}
		b, ok := begun[s.transaction]
		if !ok && s.transaction != 0 {
			b = &begunTransaction{first: e}
			begun[s.transaction] = b
		}
		if s.transaction != 0 && !b.continuesWith(e) {
			reasons = append(reasons, "on another connection or transaction than "+r.describe(b.first))
		}
		if reason := misplaced(e, s); reason != "" {
			reasons = append(reasons, reason)
		}
		if len(reasons) > 0 {
			breaches = append(breaches, strings.Join(reasons, "; ")+": "+r.describe(e))
		}
	}
	return breaches
}

// misplaced returns why a run differs from what was acknowledged to its caller; empty if it doesn't.
func misplaced(e Execution, s sent) string {
	switch {
	case s.transaction != 0 && e.Transaction == 0:
		return "outside its transaction"
	case s.transaction == 0 && e.Transaction != 0:
		return "inside a transaction, though its caller has none"
	case !maps.Equal(e.Settings, s.settings):
		return "session values differ"
	case e.Shape != s.shape:
		return "prepared shape differs"
	}
	return ""
}

// begunTransaction is the transaction of a caller: where its first statement ran, the last time if more than once.
type begunTransaction struct {
	first     Execution
	continued bool
}

// continuesWith reports whether a run is on the connection and in the transaction of the first statement. The first
// statement itself may run anew in another transaction until a second one has run.
func (b *begunTransaction) continuesWith(e Execution) bool {
	if e.ID == b.first.ID {
		if b.continued && (e.Connection != b.first.Connection || e.Transaction != b.first.Transaction) {
			return false
		}
		b.first = e
		return true
	}
	b.continued = true
	return e.Connection == b.first.Connection && e.Transaction == b.first.Transaction
}

// inOrder returns the runs of callers' statements in the order in which they arrived. Those of one connection keep their
// order.
func (r Records) inOrder() []Execution {
	var list []Execution
	for _, e := range r.executions {
		if _, ok := r.sent[e.ID]; ok {
			list = append(list, e)
		}
	}
	slices.SortStableFunc(list, func(x, y Execution) int { return x.ArrivedAt.Compare(y.ArrivedAt) })
	return list
}

// Route returns each run at a group that no configuration sent before allows for the database of its caller.
func (r Records) Route() []string {
	var breaches []string
	for _, e := range r.inOrder() {
		if !r.allows(r.sent[e.ID].database, e) {
			breaches = append(breaches, "at a group that no configuration allows: "+r.describe(e))
		}
	}
	return breaches
}

func (r Records) allows(database string, e Execution) bool {
	for _, v := range r.routes {
		if v.at.After(e.ArrivedAt) {
			return false
		}
		for _, route := range v.routes {
			if route.Database == database && route.Group == e.Group {
				return true
			}
		}
	}
	return false
}

// kindOf returns the type of the route of a database, which no configuration changes.
func (r Records) kindOf(database string) RouteKind {
	for _, v := range r.routes {
		for _, route := range v.routes {
			if route.Database == database {
				return route.Kind
			}
		}
	}
	return ""
}

// Stale returns each read on a log that lacks a commit which it must have: one acknowledged before its first byte, or
// that of its transaction, was sent, or more than maxStaleness before on routes that allow it; and any of its session.
// A daemon may run a read before it has the proof that the answer needs, and drop the answer: runs whose answer no
// caller got are returned apart.
func (r Records) Stale(maxStaleness time.Duration) (breaches, dropped []string) {
	h := r.history()
	for _, e := range r.inOrder() {
		s := r.sent[e.ID]
		if !s.reads() {
			continue
		}
		for _, c := range h.needed(s, e.Group, r.kindOf(s.database), maxStaleness) {
			if e.Position.contains(c.Position, r.termStarts[e.Group]) {
				continue
			}
			breach := fmt.Sprintf("lacks %s, which %s acknowledged at %s (statement %s): %s",
				c.Position, c.Target, c.AcknowledgedAt.Format(recordTime), c.ID, r.describe(e))
			if s.signature == e.Signature {
				breaches = append(breaches, breach)
			} else {
				dropped = append(dropped, breach)
			}
			break
		}
	}
	return breaches, dropped
}

// history is the acknowledged commits that no promotion rolled back.
type history struct {
	// ofGroup are those of each group, ofSession those that were acknowledged to each session, with the time of that.
	ofGroup   map[string][]acknowledgement
	ofSession map[uint64][]acknowledgement
}

func (r Records) history() history {
	h := history{map[string][]acknowledgement{}, map[uint64][]acknowledgement{}}
	for _, c := range r.commits {
		if r.isRolledBack(c) {
			continue
		}
		h.ofGroup[c.Group] = append(h.ofGroup[c.Group], acknowledgement{c.AcknowledgedAt, c})
		if s, ok := r.sent[c.ID]; ok && !s.succeededAt.IsZero() {
			h.ofSession[s.session] = append(h.ofSession[s.session], acknowledgement{s.succeededAt, c})
		}
	}
	for _, list := range h.ofGroup {
		keepNewest(list)
	}
	return h
}

// needed returns the commits that the log must have on which a read of a group runs.
func (h history) needed(s sent, group string, kind RouteKind, maxStaleness time.Duration) []Commit {
	from := s.at
	if s.transaction != 0 {
		from = s.transactionAt
	}
	if kind == RoutePrimary {
		return newestBefore(h.ofGroup[group], from)
	}
	needed := newestBefore(h.ofGroup[group], from.Add(-maxStaleness))
	if kind == RouteReadYourWrites {
		for _, a := range h.ofSession[s.session] {
			if a.newest.Group == group && a.at.Before(from) {
				needed = append(needed, a.newest)
			}
		}
	}
	return needed
}

func (s sent) reads() bool {
	return strings.HasPrefix(s.text, "READ ") || strings.HasPrefix(s.text, "EXECUTE ") && strings.HasPrefix(s.shape, "READ")
}

// isRolledBack reports whether a promotion removed a commit: the newest term began without it.
func (r Records) isRolledBack(c Commit) bool {
	starts := r.termStarts[c.Group]
	newest := c.Position.Term
	for term := range starts {
		newest = max(newest, term)
	}
	return newest != c.Position.Term && !starts[newest].contains(c.Position, starts)
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

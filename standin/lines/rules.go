package lines

import (
	"fmt"
	"maps"
	"slices"
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
	// termStarts are the positions at which the terms of each group began, promotedAt the times at which they did.
	termStarts map[string]map[uint64]Position
	promotedAt map[string]map[uint64]time.Time
	routes     []routeVersion
}

// NewRecords returns what has been recorded so far.
func NewRecords(callers *CallerLog, operator *OperatorLog, groups ...*Group) Records {
	r := Records{termStarts: map[string]map[uint64]Position{}, promotedAt: map[string]map[uint64]time.Time{}}
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
		r.termStarts[g.Name], r.promotedAt[g.Name] = maps.Clone(g.termStarts), maps.Clone(g.promotedAt)
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

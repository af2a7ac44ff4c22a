package database

import (
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/invariant"
	"github.com/papayacove/papayacove/internal/target"
)

// Fence raises the term of the target. Afterwards the target neither streams records nor accepts
// writes of a lower term. It fails unless term is higher than the present one.
func (t *Target) Fence(term uint64) (target.Status, error) {
	t.roleMu.Lock()
	current := t.snapshot()
	if term <= current.Term {
		t.roleMu.Unlock()
		return target.Status{}, termTooLow(term, current.Term)
	}
	err := t.changeState(durableState{Role: target.RoleFenced, Term: term})
	t.roleMu.Unlock()
	if err != nil {
		return target.Status{}, err
	}
	t.terminateFencedWriters()
	t.log.WithFields(logrus.Fields{"event": "fenced", "term": term, "was": current.Role}).Info("order")
	return t.Status(), nil
}

// Promote makes the target the primary of the term at which it was fenced, after it has applied all
// received records. It has no effect if the target is the primary of that term already, and fails if
// the target is not fenced at term.
func (t *Target) Promote(term uint64) (target.Status, error) {
	t.promotionMu.Lock()
	defer t.promotionMu.Unlock()
	current := t.snapshot()
	if term < current.Term {
		return target.Status{}, termTooLow(term, current.Term)
	}
	if term == current.Term && current.Role == target.RolePrimary {
		return t.Status(), nil
	}
	if term > current.Term || current.Role != target.RoleFenced {
		return target.Status{}, failuref(sqlStateWrongState, "target is %s at term %d and not fenced at term %d", current.Role, current.Term, term)
	}
	if err := t.applyAll(); err != nil {
		return target.Status{}, err
	}
	if err := t.startTerm(term); err != nil {
		return target.Status{}, err
	}
	t.log.WithFields(logrus.Fields{"event": "promoted", "term": term}).Info("order")
	return t.Status(), nil
}

// startTerm appends the record that starts the term and makes the target a primary, unless another
// order has raised the term in the meantime.
func (t *Target) startTerm(term uint64) error {
	return t.store.withWriteLock(func(c *sqlConn) error {
		t.roleMu.Lock()
		defer t.roleMu.Unlock()
		current := t.snapshot()
		if term < current.Term {
			return termTooLow(term, current.Term)
		}
		received, applied := t.positions()
		fields := logrus.Fields{"received": received, "applied": applied}
		if !invariant.Check(received == applied, "promoted_target_has_applied_all", fields) {
			return failuref(sqlStateInternal, "received %s is not applied", received)
		}
		// After a crash between storing the record and the state, the record exists already.
		if received.Term < term {
			if err := t.storeTermStart(c, received, term); err != nil {
				return err
			}
		}
		return t.changeState(durableState{Role: target.RolePrimary, Term: term})
	})
}

// storeTermStart appends the record that starts a term; it has no statements and counts as applied.
func (t *Target) storeTermStart(c *sqlConn, received api.Position, term uint64) error {
	e, err := newEntry(received, term, record{})
	if err != nil {
		return err
	}
	err = c.inTransaction(func() error {
		if err := storeEntry(c, received, e); err != nil {
			return err
		}
		return setApplied(c, e.Offset)
	})
	if err != nil {
		return err
	}
	t.setReceivedAndApplied(e.position())
	return nil
}

// Follow makes the target a replica of the primary of term at the given host:port. It fails if term is
// lower than the present one, or if the target is the primary of term itself.
func (t *Target) Follow(term uint64, primary string) (target.Status, error) {
	t.roleMu.Lock()
	current := t.snapshot()
	switch {
	case term < current.Term:
		t.roleMu.Unlock()
		return target.Status{}, termTooLow(term, current.Term)
	case term == current.Term && current.Role == target.RolePrimary:
		t.roleMu.Unlock()
		return target.Status{}, failuref(sqlStateWrongState, "target is the primary of term %d", term)
	}
	err := t.changeState(durableState{Role: target.RoleReplica, Term: term, Primary: primary})
	t.roleMu.Unlock()
	if err != nil {
		return target.Status{}, err
	}
	t.terminateFencedWriters()
	t.log.WithFields(logrus.Fields{"event": "following", "term": term, "primary": primary}).Info("order")
	return t.Status(), nil
}

// changeState stores the new durable state and wakes its waiters. The caller holds roleMu for writing.
func (t *Target) changeState(next durableState) error {
	current := t.snapshot()
	if current == next {
		return nil
	}
	fields := logrus.Fields{"term": current.Term, "next": next.Term}
	if !invariant.Check(next.Term >= current.Term, "terms_never_fall", fields) {
		return failuref(sqlStateInternal, "term falls from %d to %d", current.Term, next.Term)
	}
	if err := saveState(t.options.DataDirectory, next); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = next
	t.broadcast()
	return nil
}

// terminateFencedWriters ends the connections whose write transaction belongs to an earlier term, or
// all with a write transaction if the target is no longer a primary.
func (t *Target) terminateFencedWriters() {
	current := t.snapshot()
	for _, s := range t.openSessions() {
		term := s.writeTerm.Load()
		if term != 0 && (term < current.Term || current.Role != target.RolePrimary) {
			s.terminate(fatalf(sqlStateShutdown, "terminating connection because term %d has been fenced", term))
		}
	}
}

func termTooLow(requested, current uint64) error {
	f := failuref(sqlStateTermTooLow, "term %d is too low", requested)
	f.detail = strconv.FormatUint(current, 10)
	return f
}

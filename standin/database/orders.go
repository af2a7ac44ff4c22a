package database

import (
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/invariant"
	"github.com/papayacove/papayacove/internal/target"
)

// Fence raises the term. Afterwards the target neither streams from nor accepts writes of a
// lower term.
func (t *Target) Fence(term uint64) (target.Status, error) {
	t.orders.Lock()
	current := t.snapshot()
	if term <= current.Term {
		t.orders.Unlock()
		return target.Status{}, termTooLow(term, current.Term)
	}
	err := t.changeState(durableState{Role: target.RoleFenced, Term: term})
	t.orders.Unlock()
	if err != nil {
		return target.Status{}, err
	}
	t.endWriters()
	t.log.WithFields(logrus.Fields{"event": "fenced", "term": term, "was": current.Role}).Info("order")
	return t.Status(), nil
}

// Promote makes the target the primary of the term that it was fenced at. All received records
// are applied first.
func (t *Target) Promote(term uint64) (target.Status, error) {
	t.promoting.Lock()
	defer t.promoting.Unlock()
	current := t.snapshot()
	if term < current.Term {
		return target.Status{}, termTooLow(term, current.Term)
	}
	if term == current.Term && current.Role == target.RolePrimary {
		return t.Status(), nil
	}
	if term > current.Term || current.Role != target.RoleFenced {
		return target.Status{}, failuref(stateWrongState, "target is %s at term %d and not fenced at term %d", current.Role, current.Term, term)
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

// startTerm writes the switch record and takes the role, unless another order came in between.
func (t *Target) startTerm(term uint64) error {
	return t.store.locked(func(c *sqlConn) error {
		t.orders.Lock()
		defer t.orders.Unlock()
		current := t.snapshot()
		if term < current.Term {
			return termTooLow(term, current.Term)
		}
		received, applied := t.positions()
		fields := logrus.Fields{"received": received, "applied": applied}
		if !invariant.Check(received == applied, "promoted_target_has_applied_all", fields) {
			return failuref(stateInternal, "received %s is not applied", received)
		}
		// After a crash between the switch record and the state the record is there already.
		if received.Term < term {
			if err := t.writeSwitch(c, received, term); err != nil {
				return err
			}
		}
		return t.changeState(durableState{Role: target.RolePrimary, Term: term})
	})
}

// writeSwitch appends the record that starts a term.
func (t *Target) writeSwitch(c *sqlConn, received api.Position, term uint64) error {
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
	t.setBoth(e.position())
	return nil
}

// Follow makes the target a replica of the primary of term.
func (t *Target) Follow(term uint64, primary string) (target.Status, error) {
	t.orders.Lock()
	current := t.snapshot()
	switch {
	case term < current.Term:
		t.orders.Unlock()
		return target.Status{}, termTooLow(term, current.Term)
	case term == current.Term && current.Role == target.RolePrimary:
		t.orders.Unlock()
		return target.Status{}, failuref(stateWrongState, "target is the primary of term %d", term)
	}
	err := t.changeState(durableState{Role: target.RoleReplica, Term: term, Primary: primary})
	t.orders.Unlock()
	if err != nil {
		return target.Status{}, err
	}
	t.endWriters()
	t.log.WithFields(logrus.Fields{"event": "following", "term": term, "primary": primary}).Info("order")
	return t.Status(), nil
}

// changeState stores and publishes a new state. The caller holds orders.
func (t *Target) changeState(next durableState) error {
	current := t.snapshot()
	if current == next {
		return nil
	}
	fields := logrus.Fields{"term": current.Term, "next": next.Term}
	if !invariant.Check(next.Term >= current.Term, "terms_never_fall", fields) {
		return failuref(stateInternal, "term falls from %d to %d", current.Term, next.Term)
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

// endWriters ends the connections whose write transaction belongs to an older term or role.
func (t *Target) endWriters() {
	current := t.snapshot()
	for _, s := range t.openSessions() {
		term := s.writeTerm.Load()
		if term != 0 && (term < current.Term || current.Role != target.RolePrimary) {
			s.terminate(fatalf(stateShutdown, "terminating connection because term %d has been fenced", term))
		}
	}
}

func termTooLow(asked, current uint64) error {
	f := failuref(stateTermTooLow, "term %d is too low", asked)
	f.detail = strconv.FormatUint(current, 10)
	return f
}

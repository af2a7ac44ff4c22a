package engine

import (
	"maps"
	"slices"
	"time"
)

// sessionState is what a statement requires of the session state of its connection.
type sessionState struct {
	values map[string]string
	// valuesKey is the canonical form of values.
	valuesKey string
	// prepared is the prepared statement that the command executes; nil for none.
	prepared *preparedStatement
	// inTransaction is true in an open transaction, in which nothing may be discarded but session values that differ.
	inTransaction bool
	// unchanged is true for a command that runs with the session state that the connection has.
	unchanged bool
}

// stateFor returns the session state that a statement requires.
func (s *session) stateFor(statement Statement) sessionState {
	state := sessionState{values: s.values, valuesKey: s.valuesKey, inTransaction: s.transaction != nil}
	if statement.Op == OpExecute {
		if known, ok := s.prepared[statement.Name]; ok {
			state.prepared = &known
		}
	}
	return state
}

// applyTo sets the session values on a connection and prepares the statement there if necessary. It waits for the
// replies before the statement is sent, because the statement must not run with other values.
func (s sessionState) applyTo(conn *pooledConnection, deadline time.Time) error {
	if s.unchanged {
		return nil
	}
	commands := s.commandsFor(conn)
	if len(commands) == 0 {
		return nil
	}
	replies, err := conn.Exchange(deadline, commands...)
	if err != nil {
		conn.broken = true
		return err
	}
	for _, reply := range replies {
		if reply.Failure != nil {
			conn.broken = true
			return reply.Failure
		}
	}
	if conn.valuesUnknown || conn.values != s.valuesKey {
		conn.values, conn.valueNames = s.valuesKey, slices.Collect(maps.Keys(s.values))
		conn.setInTransaction, conn.valuesUnknown = conn.open, false
	}
	if s.prepared != nil {
		conn.prepared[s.prepared.shared] = struct{}{}
	}
	return nil
}

// commandsFor returns the commands that give the connection the session state it lacks.
func (s sessionState) commandsFor(conn *pooledConnection) []Command {
	var commands []Command
	discard := s.mustDiscard(conn)
	if discard {
		commands = append(commands, Command{Op: OpDiscard})
	}
	if conn.values != s.valuesKey || discard {
		for name, value := range s.values {
			commands = append(commands, Command{Op: OpSet, Name: name, Argument: value})
		}
	}
	if s.prepared != nil {
		if _, ok := conn.prepared[s.prepared.shared]; !ok || discard {
			commands = append(commands, Command{Op: OpPrepare, Name: s.prepared.shared, Prepares: s.prepared.op, Argument: s.prepared.shape})
		}
	}
	if discard {
		clear(conn.prepared)
	}
	return commands
}

// mustDiscard reports whether the state that a connection has is discarded before the statement.
func (s sessionState) mustDiscard(conn *pooledConnection) bool {
	hasOthers := conn.values != "" && conn.values != s.valuesKey && !s.overwritesAll(conn.valueNames)
	isFull := len(conn.prepared) >= maxPrepared && !s.inTransaction
	return conn.valuesUnknown || hasOthers || isFull
}

// overwritesAll reports whether all values that the connection has are set here, so that those need not be discarded first.
func (s sessionState) overwritesAll(names []string) bool {
	return !slices.ContainsFunc(names, func(name string) bool {
		_, ok := s.values[name]
		return !ok
	})
}

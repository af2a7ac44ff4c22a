package engine

import (
	"strings"
	"time"
)

// applySessionState sets the session values on a connection and prepares the statement there if necessary. It
// waits for the replies before the statement is sent, because the statement must not run with other values.
func (s *session) applySessionState(conn *pooledConnection, statement Statement, deadline time.Time) error {
	commands := s.sessionStateCommands(conn, statement)
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
	s.recordSessionState(conn, statement)
	return nil
}

// sessionStateCommands returns the commands that give the connection the session state it lacks.
func (s *session) sessionStateCommands(conn *pooledConnection, statement Statement) []Command {
	var commands []Command
	discard := conn.values != "" && conn.values != s.valuesKey && !s.overwritesAll(conn.values) || len(conn.prepared) >= maxPrepared && s.transaction == nil
	if discard {
		commands = append(commands, Command{Op: OpDiscard})
	}
	if conn.values != s.valuesKey || discard {
		for name, value := range s.values {
			commands = append(commands, Command{Op: OpSet, Name: name, Argument: value})
		}
	}
	if statement.Op == OpExecute {
		known := s.prepared[statement.Name]
		if _, ok := conn.prepared[known.shared]; !ok || discard {
			commands = append(commands, Command{Op: OpPrepare, Name: known.shared, Prepares: known.op, Argument: known.shape})
		}
	}
	if discard {
		clear(conn.prepared)
	}
	return commands
}

// overwritesAll reports whether the session sets every value that the connection has, so that those need not be
// discarded first.
func (s *session) overwritesAll(key string) bool {
	parts := strings.Split(key, "\x00")
	for i := 0; i+1 < len(parts); i += 2 {
		if _, ok := s.values[parts[i]]; !ok {
			return false
		}
	}
	return true
}

// recordSessionState records the session state that the connection has now.
func (s *session) recordSessionState(conn *pooledConnection, statement Statement) {
	conn.values = s.valuesKey
	if statement.Op == OpExecute {
		conn.prepared[s.prepared[statement.Name].shared] = struct{}{}
	}
}

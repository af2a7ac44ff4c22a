package engine

import (
	"strings"
	"time"
)

// tune gives a connection the session's values and the statement's prepared form. The commands are awaited
// before the statement is sent: it must not run with other values.
func (s *session) tune(conn *pooled, statement Statement, deadline time.Time) error {
	commands := s.tuning(conn, statement)
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
	s.noteTuned(conn, statement)
	return nil
}

// tuning returns the commands that the connection still needs.
func (s *session) tuning(conn *pooled, statement Statement) []Command {
	var commands []Command
	discard := conn.values != "" && conn.values != s.valuesKey && !s.covers(conn.values) || len(conn.prepared) >= maxPrepared && s.transaction == nil
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

// covers reports whether the session sets each of the values of a connection, so that they need not be
// discarded first.
func (s *session) covers(key string) bool {
	parts := strings.Split(key, "\x00")
	for i := 0; i+1 < len(parts); i += 2 {
		if _, ok := s.values[parts[i]]; !ok {
			return false
		}
	}
	return true
}

// noteTuned records what the connection has now.
func (s *session) noteTuned(conn *pooled, statement Statement) {
	conn.values = s.valuesKey
	if statement.Op == OpExecute {
		conn.prepared[s.prepared[statement.Name].shared] = struct{}{}
	}
}

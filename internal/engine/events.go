package engine

import (
	"context"
	"expvar"
	"time"

	"github.com/sirupsen/logrus"
)

// outcomes counts the statements that were not answered with success by result code.
var outcomes = expvar.NewMap("engine_refusals")

// log returns an entry that names the session and the statement.
func (s *session) log(statement Statement) *logrus.Entry {
	return logrus.WithFields(logrus.Fields{"session": s.id, "database": s.database, "request": statement.ID})
}

// logRefusal writes why a statement was not answered with success.
func (s *session) logRefusal(statement Statement, refusal *Refusal, arrived time.Time) {
	outcomes.Add(refusal.Code.String(), 1)
	s.log(statement).WithFields(logrus.Fields{
		"operation": statement.Op.String(), "code": int(refusal.Code), "outcome": refusal.Code.String(), "reason": refusal.Reason,
		"retry_after": refusal.RetryAfter, "elapsed": time.Since(arrived),
	}).Info("statement_refused")
}

// commands counts what was sent to targets by operation; own ones are those that no caller sent.
var (
	commands    = expvar.NewMap("engine_commands")
	ownCommands = expvar.NewMap("engine_own_commands")
)

// countingDialer counts what is sent on the connections of another dialer.
type countingDialer struct{ Dialer }

// Dial connects to a target.
func (d countingDialer) Dial(ctx context.Context, target Target) (Connection, error) {
	conn, err := d.Dialer.Dial(ctx, target)
	if err != nil {
		return nil, err
	}
	return countingConnection{conn}, nil
}

type countingConnection struct{ Connection }

// Exchange counts and passes on.
func (c countingConnection) Exchange(deadline time.Time, sent ...Command) ([]Reply, error) {
	for _, command := range sent {
		commands.Add(command.Op.String(), 1)
		if command.ID == "" {
			ownCommands.Add(command.Op.String(), 1)
		}
	}
	return c.Connection.Exchange(deadline, sent...)
}

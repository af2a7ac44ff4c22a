package engine

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/stopping"
)

const (
	// rotationTime is the time after which the balancer sends no new callers to a daemon that is not ready.
	rotationTime = stopping.RotationTime
	// probesBeforeRotation is the number of probes without success after which the balancer sends new callers elsewhere.
	probesBeforeRotation = 2
	// idleCloseInterval is the time between closing two idle sessions of an isolated daemon.
	idleCloseInterval = 5 * time.Millisecond
	// drainInterval is the time between two checks for sessions that have become idle.
	drainInterval = 50 * time.Millisecond
	// concludeInterval is the time between two checks for sessions that have taken their final answers.
	concludeInterval = 5 * time.Millisecond
)

func (e *Engine) isClosing() bool { return e.closing.Load() }

// Drain closes the sessions for a planned stop. It keeps serving until the balancer has stopped sending new
// callers. Then it closes the sessions without a statement or transaction one by one within half of the remaining
// time, and the others as they become idle. It returns when none is left, or when ctx ends; FinishSessions ends the rest.
func (e *Engine) Drain(ctx context.Context, schedule stopping.Schedule) {
	e.schedule.Store(&schedule)
	e.stoppedAt.Store(int64(clock.SinceBoot()))
	e.stopping.Store(true)
	logrus.WithField(logfield.Sessions, len(e.openSessions())).Info(logevent.SessionsDraining)
	e.logRelaysDraining()
	time.AfterFunc(schedule.EndTransactions, e.endTransactions)
	_ = clock.Sleep(ctx, schedule.CloseIdle)
	e.closing.Store(true)
	interval := (schedule.Conclude - schedule.CloseIdle) / 2 / time.Duration(max(1, len(e.openSessions())))
	e.closeIdleSessions(ctx, interval, func() bool { return true })
	e.awaitSessions(ctx)
}

// endTransactions has each session, and each transaction of another daemon, roll back once no statement is in progress.
func (e *Engine) endTransactions() {
	e.EndRelayedTransactions()
	e.transactionsOver.Store(true)
	for _, s := range e.openSessions() {
		s.caller.Interrupt()
	}
}

// FinishSessions closes the sessions as they become idle until ctx ends. Then it gives the callers that still wait final
// answers, and closes all connections by the time of the schedule of Drain.
func (e *Engine) FinishSessions(ctx context.Context) {
	e.awaitSessions(ctx)
	e.concluding.Store(true)
	until := time.Duration(e.stoppedAt.Load()) + e.schedule.Load().Cut
	for {
		open := e.openSessions()
		for _, s := range open {
			s.conclude()
		}
		if len(open) == 0 || clock.SinceBoot() >= until {
			break
		}
		time.Sleep(concludeInterval)
	}
	for _, s := range e.openSessions() {
		s.abort()
	}
}

// awaitSessions closes the sessions as they become idle, until none is left and other daemons have their answers, or ctx
// ends.
func (e *Engine) awaitSessions(ctx context.Context) {
	for ctx.Err() == nil && (e.CloseIdleSessions() > 0 || e.relayed.Load() > 0) {
		_ = clock.Sleep(ctx, drainInterval)
	}
}

// CloseIdleSessions closes the sessions without a statement or transaction, and returns the number of sessions that were
// open.
func (e *Engine) CloseIdleSessions() int {
	open := e.openSessions()
	for _, s := range open {
		s.endIfIdle()
	}
	return len(open)
}

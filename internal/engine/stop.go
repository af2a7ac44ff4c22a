package engine

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/stopping"
	"github.com/papayacove/papayacove/internal/result"
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

// stoppingReason is the reason of refusals during a planned stop.
const stoppingReason = "the daemon stops"

// plannedStop is a stop that has begun.
type plannedStop struct {
	schedule stopping.Schedule
	began    time.Time
}

// admits reports whether a statement outside of open transactions is still served during a planned stop.
func (e *Engine) admits(op Operation) bool {
	stop := e.plannedStop.Load()
	return stop == nil || stop.schedule.Admits(stopping.Arrival{
		Begins: op.beginsTransaction(), Closing: e.isClosing(), SinceStop: time.Since(stop.began),
	})
}

// boundStart returns the time by which a statement has to start, or the latest start of a planned stop if that is
// earlier.
func (e *Engine) boundStart(by time.Time) time.Time {
	stop := e.plannedStop.Load()
	if stop == nil {
		return by
	}
	if last := stop.began.Add(stop.schedule.StartUntil); last.Before(by) {
		return last
	}
	return by
}

func refuseStopping() *Refusal { return refuse(result.NotRunDraining, stoppingReason) }

func (e *Engine) isClosing() bool { return e.closing.Load() }

// Drain closes the sessions for a planned stop. It keeps serving until the balancer has stopped sending new callers.
// Then it closes the sessions without a statement or transaction one by one within half of the remaining time, and the
// others as they become idle. It returns when none is left, or when ctx ends; FinishSessions ends the rest.
func (e *Engine) Drain(ctx context.Context, schedule stopping.Schedule) {
	e.plannedStop.Store(&plannedStop{schedule: schedule, began: time.Now()})
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

// FinishSessions closes the sessions as they become idle until ctx ends. Then it gives the callers that still wait
// final answers, and closes all connections when the time that the schedule of Drain has for that is over, also if it
// begins late. The statements of other daemons that wait here are refused with the first final answer, so that they are
// answered before the connections are closed. None of them is sent to a target later.
func (e *Engine) FinishSessions(ctx context.Context) {
	e.awaitSessions(ctx)
	e.concluding.Store(true)
	e.endRelayWaits()
	stop := e.plannedStop.Load()
	until := max(stop.schedule.Cut, time.Since(stop.began)+stop.schedule.Cut-stop.schedule.Conclude)
	for {
		open := e.openSessions()
		for _, s := range open {
			s.conclude()
		}
		if len(open) == 0 || time.Since(stop.began) >= until {
			break
		}
		time.Sleep(concludeInterval)
	}
	for _, s := range e.openSessions() {
		s.abort()
	}
}

// awaitSessions closes the sessions as they become idle, until none is left and other daemons have their answers, or
// ctx ends.
func (e *Engine) awaitSessions(ctx context.Context) {
	for ctx.Err() == nil && (e.CloseIdleSessions() > 0 || e.relayed.Load() > 0) {
		_ = clock.Sleep(ctx, drainInterval)
	}
}

// CloseIdleSessions closes the sessions without a statement or transaction, and returns the number of sessions that
// were open.
func (e *Engine) CloseIdleSessions() int {
	open := e.openSessions()
	for _, s := range open {
		s.endIfIdle()
	}
	return len(open)
}

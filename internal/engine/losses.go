package engine

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

const (
	// lossTimeout bounds one call to the registry of lost replicas.
	lossTimeout = time.Second
	// lossRetryDelay is the time before a failed call to it is repeated.
	lossRetryDelay = 500 * time.Millisecond
)

// The changes of the registry, as they are logged.
const (
	changeRecord = "record"
	changeForget = "forget"
)

// keepLosses keeps the registry as the group's lost replicas are, until ctx ends, while this daemon judges the primary.
// It records each loss at once: the daemons that know of it may end at any time.
func (g *group) keepLosses(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-g.lossesChanged:
		case <-ctx.Done():
			return
		}
		for !g.updateRegistry(ctx) && clock.Sleep(ctx, lossRetryDelay) == nil {
		}
	}
}

// updateRegistry makes the calls that are due, and returns false if one has failed.
func (g *group) updateRegistry(ctx context.Context) bool {
	add, remove := g.registryChanges()
	done := true
	for _, loss := range add {
		record := func(ctx context.Context) error { return g.losses.Record(ctx, loss) }
		done = g.callRegistry(ctx, changeRecord, loss.Replica, record) && done
	}
	for _, name := range remove {
		forget := func(ctx context.Context) error { return g.losses.Forget(ctx, g.name, name) }
		done = g.callRegistry(ctx, changeForget, name, forget) && done
	}
	return done
}

// registryChanges returns the losses that the registry lacks, and the names of those that it should no longer hold.
func (g *group) registryChanges() (add []api.LostReplica, remove []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !takeover.IsJudge(g.judgeRank, g.zones) {
		return nil, nil
	}
	lost := make(map[string]bool)
	for _, name := range g.lostReplicas.All() {
		lost[name] = true
		if !g.registered[name] {
			add = append(add, g.lostReplicas.Describe(g.name, name))
		}
	}
	for name := range g.registered {
		if !lost[name] {
			remove = append(remove, name)
		}
	}
	return add, remove
}

// callRegistry makes one call about a lost replica, and reports whether it succeeded.
func (g *group) callRegistry(ctx context.Context, change, name string, call func(context.Context) error) bool {
	ctx, cancel := context.WithTimeout(ctx, lossTimeout)
	defer cancel()
	err := call(ctx)
	logrus.WithFields(logrus.Fields{
		logfield.Group: g.name, logfield.Target: name, logfield.Change: change, logfield.Error: err,
	}).Info(logevent.LossRegistered)
	if err != nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if change == changeRecord {
		g.registered[name] = true
	} else {
		delete(g.registered, name)
	}
	return true
}

// adoptLoss takes over a loss from before this daemon learned of the group's targets, unless the replica is back.
func (g *group) adoptLoss(loss api.LostReplica) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registered[loss.Replica] = true
	if g.members[loss.Replica] == nil {
		g.lostReplicas.Adopt(loss, clock.SinceBoot())
		fields := logrus.Fields{logfield.Target: loss.Replica, logfield.Held: loss.Position}
		g.log().WithFields(fields).Info(logevent.LossAdopted)
		g.requestStatusRound()
	}
	signal(g.lossesChanged)
}

// learnLosses takes over the losses from before the start of this daemon, once the entries of the targets are complete:
// a replica whose entry was removed later is known to be lost here as well. It repeats a failed call until ctx ends.
func (e *Engine) learnLosses(ctx context.Context) {
	for left := e.untilFollowedEntries(); left > 0; left = e.untilFollowedEntries() {
		if clock.Sleep(ctx, left) != nil {
			return
		}
	}
	for {
		call, cancel := context.WithTimeout(ctx, lossTimeout)
		losses, err := e.options.LossRegistry.List(call)
		cancel()
		if err == nil {
			e.adoptLosses(losses)
			return
		}
		logrus.WithField(logfield.Error, err).Info(logevent.LossesNotListed)
		if clock.Sleep(ctx, lossRetryDelay) != nil {
			return
		}
	}
}

// adoptLosses adopts the losses of the groups that are known, and keeps those of others until they are.
func (e *Engine) adoptLosses(losses []api.LostReplica) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, loss := range losses {
		if g, ok := e.groups[loss.Group]; ok {
			g.adoptLoss(loss)
			continue
		}
		e.unplacedLosses = append(e.unplacedLosses, loss)
	}
	e.knowsLosses.Store(true)
}

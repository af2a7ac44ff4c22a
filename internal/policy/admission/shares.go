package admission

import (
	"math"
	"time"
)

// Shares of workspaces, composed with the lanes:
//
//  1. Lanes come first: a batch of a higher lane starts before one of a lower lane, whatever the workspaces, but for 2
//     and 4. So strict kinds keep their order.
//  2. While a workspace is in excess, which means that it has lately used more than excessFactor times its usual part of
//     the slots, its batches start after those of all others in all lanes above the late one. They are never held while
//     a slot is free, and the excess ends within a few times recentTime of not being served, so that nothing starves.
//  3. Within a lane, workspaces get the slots' time in proportion to their usual load (start-time fair queueing), at least
//     minWeight of the largest. What one does not use goes to the others. A workspace that has not waited starts
//     before those that have used their part.
//  4. A lane that was bypassed MaxBypasses times starts one batch, chosen by 2 and 3. The late lane has no such claim.
//  5. A full queue displaces from the lowest lane, there from the workspace with the most waiting for its usual load, so
//     that refusals fall on the one that asks for more than usual.
//
// The usual load is what the workspace was served, over usualTime: attempts that are refused do not raise it.

const (
	// usualTime is the time constant of a workspace's usual load.
	usualTime = time.Minute
	// recentTime is the time constant of a workspace's present load.
	recentTime = 2 * time.Second
	// excessFactor is the multiple of its usual load from which on a workspace is in excess.
	excessFactor = 2
	// priorLoad is the time for which each workspace is taken to have held slots, in seconds, beside what was observed: a new
	// queue treats all nearly alike, until it has seen more.
	priorLoad = 3.0
	// minExcess is the part of the slots below which no workspace is in excess.
	minExcess = 0.05
	// minWeight is the least part of the weight of the largest workspace that each workspace has.
	minWeight = 0.05
	// largestValidity is the time for which the largest usual load is not computed again.
	largestValidity = 250 * time.Millisecond
	// maxShares bounds the workspaces whose load is remembered. Beyond it those that used nothing lately are forgotten.
	maxShares = 1024
)

// share is the load of one workspace, and its place in the order of starts.
type share struct {
	// usual and recent are the times for which it held slots, in seconds, weighted by age.
	usual, recent float64
	at            time.Time
	// finish is the virtual time at which it has used its part for what it has started.
	finish float64
}

// shares are the loads of the workspaces. The zero value treats all workspaces alike, served round-robin.
type shares struct {
	workspaces map[string]*share
	// began is the time of the first start.
	began time.Time
	// virtual is the virtual time of the latest start.
	virtual float64
	// greatest is the largest usual load as computed at greatestAt.
	greatest   float64
	greatestAt time.Time
}

// isOn reports whether workspaces are served by their usual load.
func (s *shares) isOn() bool { return s.workspaces != nil }

// decay reduces the weights of a workspace's load to the time now.
func (w *share) decay(now time.Time) {
	if passed := now.Sub(w.at).Seconds(); passed > 0 {
		w.usual *= math.Exp(-passed / usualTime.Seconds())
		w.recent *= math.Exp(-passed / recentTime.Seconds())
		w.at = now
	}
}

// of returns the load of a workspace at the time now.
func (s *shares) of(workspace string, now time.Time) *share {
	w := s.workspaces[workspace]
	if w == nil {
		s.forget(now)
		w = &share{at: now, finish: s.virtual}
		s.workspaces[workspace] = w
	}
	w.decay(now)
	return w
}

// forget removes the workspaces that used nothing lately, when there are too many.
func (s *shares) forget(now time.Time) {
	if len(s.workspaces) < maxShares {
		return
	}
	for name, w := range s.workspaces {
		if w.decay(now); w.recent < 1e-6 && w.finish <= s.virtual {
			delete(s.workspaces, name)
		}
	}
}

// largest returns the largest usual load, computed no longer than largestValidity ago.
func (s *shares) largest(now time.Time) float64 {
	if s.greatest > 0 && now.Sub(s.greatestAt) < largestValidity {
		return s.greatest
	}
	s.greatest, s.greatestAt = 0, now
	for _, w := range s.workspaces {
		w.decay(now)
		s.greatest = max(s.greatest, w.usual)
	}
	return s.greatest
}

// weight returns the weight of a workspace, relative to the largest usual load.
func (s *shares) weight(workspace string, largest float64, now time.Time) float64 {
	if largest <= 0 {
		return 1
	}
	return max(minWeight, (s.of(workspace, now).usual+priorLoad)/(largest+priorLoad))
}

// started records that a batch of the workspace starts, which was queued at the virtual time queuedAt and is expected to
// hold its slot for the given seconds.
func (s *shares) started(workspace string, queuedAt, seconds float64, now time.Time) {
	if !s.isOn() {
		return
	}
	if s.began.IsZero() {
		s.began = now
	}
	w := s.of(workspace, now)
	begin := max(queuedAt, w.finish)
	w.finish = begin + seconds/s.weight(workspace, s.largest(now), now)
	s.virtual = max(s.virtual, begin)
	w.usual += seconds
	w.recent += seconds
}

// isInExcess reports whether a workspace has lately used much more than usual of the given number of slots.
func (s *shares) isInExcess(workspace string, slots int, now time.Time) bool {
	if !s.isOn() || len(s.workspaces) < 2 || s.workspaces[workspace] == nil {
		return false
	}
	w := s.of(workspace, now)
	recent := w.recent / recentTime.Seconds()
	// In the first minute the usual load is that since the beginning.
	known := usualTime.Seconds() * (1 - math.Exp(-now.Sub(s.began).Seconds()/usualTime.Seconds()))
	usual := w.usual / max(known, recentTime.Seconds())
	return recent > minExcess*float64(slots) && recent > excessFactor*usual
}

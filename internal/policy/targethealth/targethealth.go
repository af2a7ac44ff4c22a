// Package targethealth decides, by the outcomes of statements alone, which targets of a group reads avoid, and how many
// reads that failed at one target are tried at another.
//
// The load it answers: a target that answers its health and status checks while a share of its statements fail, get no
// answer or lose their connection; one that goes down and up every second or two; several of a group at once. A refusal for
// load (busy, full) is no outcome here, and neither is a statement that fails at two targets alike, which is its own fault.
//
// A target is ejected when its share of failed statements is far above that of the rest of its group. It comes back by
// trials: a few statements, twice as many each time all have been served. A failed trial ejects it again, for twice as long
// up to MaxEjection. At most half of a group is ejected at once. Ejected targets still serve what no other target can.
package targethealth

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which the weight of an outcome halves.
	halfLife = 4 * time.Second
	// minSamples is the weight of the outcomes without which a target is not judged.
	minSamples = 8
	// minFailedShare is the least share of failed statements of a target that is ejected, and farAbove how many times
	// that of the rest of its group it must be at least.
	minFailedShare = 0.2
	farAbove       = 3
	// suspectFailures is the weight of failures from which on a target is suspect.
	suspectFailures = 1.5
	// firstEjection is the time of a first ejection, which doubles with each in turn up to MaxEjection.
	firstEjection = 2 * time.Second
	// MaxEjection is the longest time for which a target is ejected without a trial.
	MaxEjection = 10 * time.Second
	// maxDoublings is the number of ejections after which the time is MaxEjection.
	maxDoublings = 3
	// forgetAfter is the time without an ejection after which one of the former ejections is forgotten.
	forgetAfter = 30 * time.Second
	// firstTrials is the number of statements of the first round of trials, lastTrials that of the last round.
	firstTrials, lastTrials = 2, 8
	// trialTimeout is the time after which a trial that has no outcome is given to another statement.
	trialTimeout = time.Second
)

// State says how reads use a target.
type State uint8

// The states of a target.
const (
	// Healthy targets are chosen by their load.
	Healthy State = iota
	// Ejected targets are tried last.
	Ejected
	// Trial targets are tried first by the statements that TakeTrial allows, and last by the others.
	Trial
)

// Change is an ejection or a return of a target, for the log.
type Change struct {
	Target string
	State  State
	// FailedShare is the share of failed statements, from 0 to 1, and Samples the weight of the outcomes behind it.
	FailedShare float64
	Samples     float64
	// For is the time until the first trial.
	For time.Duration
}

// target is what is known of one target. All times are of the caller's monotonic clock.
type target struct {
	served, failed float64
	weighedAt      time.Duration
	state          State
	trialAt        time.Duration
	// ejections is the number of ejections that are not forgotten; changedAt is when it or the state last changed.
	ejections int
	changedAt time.Duration
	// round is the number of trials of this round, granted of which have been given out and passed have been served.
	round, granted, passed int
	grantedAt              time.Duration
}

// Group tracks the targets of one group. The zero value is ready. It is not safe for concurrent use.
type Group struct {
	targets map[string]*target
}

// Served records that a target answered a statement.
func (g *Group) Served(name string, now time.Duration) (Change, bool) {
	t := g.weighed(name, now)
	t.served++
	if t.state != Trial {
		return Change{}, false
	}
	t.passed++
	if t.passed < t.round {
		return Change{}, false
	}
	if t.round < lastTrials {
		t.round, t.granted, t.passed = 2*t.round, 0, 0
		return Change{}, false
	}
	change := Change{Target: name, State: Healthy, FailedShare: t.failedShare(), Samples: t.samples()}
	t.state, t.changedAt, t.served, t.failed = Healthy, now, 0, 0
	return change, true
}

// Failed records that a statement failed at a target for a fault of the target, or got no answer. It returns the ejection
// that follows, if any. The members are the names of the targets of the group.
func (g *Group) Failed(name string, members []string, now time.Duration) (Change, bool) {
	t := g.weighed(name, now)
	t.failed++
	switch {
	case t.state == Ejected:
		return Change{}, false
	case t.state == Trial:
		return g.eject(name, t, now), true
	case t.samples() < minSamples || t.failedShare() < max(minFailedShare, farAbove*g.shareOfOthers(name, members, now)):
		return Change{}, false
	case 2*(g.away(members, now)+1) > max(2, len(members)) || len(members) < 2:
		return Change{}, false
	}
	return g.eject(name, t, now), true
}

// StateOf returns how reads use a target. An ejection that has ended becomes a trial.
func (g *Group) StateOf(name string, now time.Duration) State {
	t := g.targets[name]
	if t == nil {
		return Healthy
	}
	if t.state == Ejected && now >= t.trialAt {
		t.state, t.round, t.granted, t.passed = Trial, firstTrials, 0, 0
	}
	return t.state
}

// TakeTrial reports whether a statement is a trial of a target, and counts it.
func (g *Group) TakeTrial(name string, now time.Duration) bool {
	if g.StateOf(name, now) != Trial {
		return false
	}
	t := g.targets[name]
	if t.granted >= t.round && now-t.grantedAt >= trialTimeout {
		t.granted = t.passed
	}
	if t.granted >= t.round {
		return false
	}
	t.granted++
	t.grantedAt = now
	return true
}

// IsSuspect reports whether a target failed a share of its latest statements, so that a read should not wait for its answer
// for as long as for that of another.
func (g *Group) IsSuspect(name string, now time.Duration) bool {
	if g.targets[name] == nil {
		return false
	}
	t := g.weighed(name, now)
	return t.state != Healthy || t.failed >= suspectFailures && t.failedShare() >= minFailedShare
}

// Forget removes a target, or what is known of one that has restarted.
func (g *Group) Forget(name string) { delete(g.targets, name) }

func (g *Group) eject(name string, t *target, now time.Duration) Change {
	for range int((now - t.changedAt) / forgetAfter) {
		t.ejections = max(0, t.ejections-1)
	}
	lasts := min(MaxEjection, firstEjection<<t.ejections)
	t.ejections = min(t.ejections+1, maxDoublings)
	t.state, t.trialAt, t.changedAt = Ejected, now+lasts, now
	return Change{Target: name, State: Ejected, FailedShare: t.failedShare(), Samples: t.samples(), For: lasts}
}

// away returns the number of targets that are not healthy.
func (g *Group) away(members []string, now time.Duration) int {
	count := 0
	for _, name := range members {
		if g.StateOf(name, now) != Healthy {
			count++
		}
	}
	return count
}

// shareOfOthers returns the share of failed statements of the other healthy targets together.
func (g *Group) shareOfOthers(name string, members []string, now time.Duration) float64 {
	others := target{}
	for _, other := range members {
		if other != name && g.StateOf(other, now) == Healthy {
			t := g.weighed(other, now)
			others.served += t.served
			others.failed += t.failed
		}
	}
	return others.failedShare()
}

// weighed returns a target with its outcomes weighed by their age.
func (g *Group) weighed(name string, now time.Duration) *target {
	if g.targets == nil {
		g.targets = make(map[string]*target)
	}
	t := g.targets[name]
	if t == nil {
		t = &target{weighedAt: now}
		g.targets[name] = t
	}
	if now > t.weighedAt {
		weight := math.Exp2(-float64(now-t.weighedAt) / float64(halfLife))
		t.served, t.failed, t.weighedAt = t.served*weight, t.failed*weight, now
	}
	return t
}

func (t *target) samples() float64 { return t.served + t.failed }

func (t *target) failedShare() float64 {
	if t.samples() == 0 {
		return 0
	}
	return t.failed / t.samples()
}

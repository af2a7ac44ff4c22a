package failover

import (
	"context"
	"sync"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/observer"
	"github.com/papayacove/papayacove/internal/policy/promotion"
	"github.com/papayacove/papayacove/internal/target"
	"github.com/sirupsen/logrus"
)

const (
	// decideInterval is the time between two decisions while nothing changes.
	decideInterval = 50 * time.Millisecond
	// daemonCallTimeout is the time that the question to the other vantage points may take.
	daemonCallTimeout = 200 * time.Millisecond
	// repairInterval is the time between two looks for targets that do not follow.
	repairInterval = 500 * time.Millisecond
	// admissionHold is the time for which a gate stops admission around a planned switchover.
	admissionHold = time.Second
	// holdTime is the time after a promotion in which a lost primary is not replaced again.
	holdTime = 2 * time.Second
	// openTermTimeout is the time after which an open term is taken over from its promoter.
	openTermTimeout = 2 * time.Second
	// retryPause is the pause after an abandoned promotion.
	retryPause = 200 * time.Millisecond
)

// controller decides on one group.
type controller struct {
	options Options
	group   api.GroupSpec
	trigger promotion.Trigger

	suspicion  promotion.Suspicion
	lastObservation   observer.Observation
	suspicionDecision  promotion.SuspicionDecision
	term       api.GroupTerm
	termSince  time.Time
	admissionStoppedAt  time.Time
	admissionResumedAt  time.Time
	workInProgress       int
	control    controlDecision
	repairedAt time.Time
	lastReason promotion.TriggerReason
}

func newController(options Options, group api.GroupSpec) *controller {
	return &controller{
		options: options, group: group,
		trigger: promotion.Trigger{HoldTime: holdTime, OpenTermTimeout: openTermTimeout},
	}
}

// run decides until ctx ends or the group is no longer observed.
func (c *controller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if _, observed := c.options.Observer(c.group.Name); !observed {
			return
		}
		changed := c.step(ctx)
		timer := time.NewTimer(decideInterval)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// step decides once and returns the channel that is closed when there is news.
func (c *controller) step(ctx context.Context) <-chan struct{} {
	watching, ok := c.options.Observer(c.group.Name)
	if !ok {
		return nil
	}
	all, changed := watching.All()
	c.updateTerm()
	c.updateSuspicion(watching.Latest(c.term.Primary))
	if !c.control.isHeld(c.options, c.group.Name) {
		return changed
	}
	state := c.state(ctx, all)
	decision := c.trigger.Decide(state)
	c.logDecision(decision)
	switch decision.Action {
	case promotion.ActionPromote:
		c.promote(ctx, decision)
	case promotion.ActionStopAdmission:
		c.setAdmission(ctx, true)
	case promotion.ActionNone:
		c.maintain(ctx, all, decision)
	case promotion.ActionResumeAdmission:
		c.setAdmission(ctx, false)
	}
	return changed
}

// maintain leaves the group as it is. Around a switchover it asks the gate again what is in progress
// there, which also keeps admission stopped.
func (c *controller) maintain(ctx context.Context, all []observer.Observation, decision promotion.TriggerDecision) {
	if decision.Reason == promotion.TriggerCatchUp {
		c.setAdmission(ctx, true)
		return
	}
	c.repair(ctx, all)
}

// updateTerm follows the newest term and starts anew when it changes.
func (c *controller) updateTerm() {
	current, _ := c.options.Terms.Current(c.group.Name)
	if current.Term == c.term.Term && current.Primary == c.term.Primary {
		return
	}
	// A term that was there when this daemon started is not new.
	if c.term.Term != 0 {
		c.termSince = time.Now()
	}
	c.term = current
	c.suspicion = promotion.Suspicion{}
	c.suspicionDecision = promotion.SuspicionDecision{}
	c.lastObservation = observer.Observation{}
	c.admissionStoppedAt = time.Time{}
	c.admissionResumedAt = time.Time{}
}

// updateSuspicion takes in what is new about the primary.
func (c *controller) updateSuspicion(seen observer.Observation) {
	previous := c.lastObservation
	c.lastObservation = seen
	// What was asked before the promotion shows the target in its former role.
	if seen.Misses == 0 && seen.Asked.Before(c.termSince) {
		return
	}
	now := time.Now()
	switch {
	case seen.Answered.After(previous.Answered) && isReached(seen, c.term.Term):
		c.suspicionDecision = c.suspicion.Answered(now)
	case seen.Answered.After(previous.Answered) && seen.Status.Term >= c.term.Term && seen.Misses == 0:
		c.suspicionDecision = c.suspicion.NotPrimary(now)
	case seen.Misses > previous.Misses && seen.Refused:
		c.suspicionDecision = c.suspicion.Refused(now)
	case seen.Misses > previous.Misses:
		c.suspicionDecision = c.suspicion.Missed(now)
	}
}

// state gathers what the decision is based on.
func (c *controller) state(ctx context.Context, all []observer.Observation) promotion.GroupState {
	state := promotion.GroupState{
		Group: c.group.Name, Term: c.term.Term, Primary: c.term.Primary, TermAge: time.Since(c.termSince),
		IsController: true, Members: len(c.group.Targets),
	}
	for _, seen := range all {
		if !seen.Asked.IsZero() && seen.Misses == 0 {
			state.Reached++
		}
	}
	state.SurelyGone = c.suspicionDecision.Reason == promotion.SuspicionNotPrimary && c.suspicionDecision.Suspected
	if c.suspicionDecision.Suspected {
		state.Vantage = c.askDetectors(ctx)
	}
	state.Leaving = c.leaving(all)
	return state
}

// askDetectors asks the daemons that hold the targets of the group whether they reach the primary.
func (c *controller) askDetectors(ctx context.Context) promotion.VantageVerdict {
	ctx, cancel := context.WithTimeout(ctx, daemonCallTimeout)
	defer cancel()
	daemons := c.detectors()
	views := make([]promotion.View, len(daemons))
	var asked sync.WaitGroup
	for i, daemon := range daemons {
		asked.Add(1)
		go func() {
			defer asked.Done()
			views[i] = c.view(ctx, daemon)
		}()
	}
	asked.Wait()
	verdict := promotion.VantageDecision(views, c.term.Term, promotion.VantageQuorum(len(daemons)))
	logrus.WithFields(verdict.Fields()).WithFields(c.suspicionDecision.Fields()).WithFields(logrus.Fields{
		logfield.Group: c.group.Name, logfield.Term: c.term.Term, logfield.Primary: c.term.Primary,
	}).Info(logevent.PrimarySuspected)
	return verdict
}

// detectors returns this daemon and the live ones that hold targets of the group.
func (c *controller) detectors() []string {
	live := make(map[string]bool)
	for _, member := range c.options.Daemons.Members() {
		live[member.Name] = true
	}
	points := []string{c.options.Self}
	live[c.options.Self] = false
	for _, spec := range c.group.Targets {
		holder := c.options.Holder(spec.Name)
		if live[holder] {
			points = append(points, holder)
			live[holder] = false
		}
	}
	return points
}

func (c *controller) view(ctx context.Context, daemon string) promotion.View {
	if daemon == c.options.Self {
		return promotion.View{Daemon: daemon, Answered: true, Reached: isReached(c.lastObservation, c.term.Term), Term: c.term.Term}
	}
	req := &api.VantageRequest{Group: c.group.Name, Primary: c.term.Primary, Term: c.term.Term}
	reply, err := c.options.Daemons.Vantage(ctx, daemon, req)
	if err != nil {
		return promotion.View{Daemon: daemon}
	}
	return promotion.View{
		Daemon: daemon, Answered: reply.Known, Reached: reply.Reached,
		Silence: time.Duration(reply.SilenceMs) * time.Millisecond, Term: reply.Term,
	}
}

// leaving describes the planned switchover from a leaving primary.
func (c *controller) leaving(all []observer.Observation) promotion.LeavingState {
	state := promotion.LeavingState{AdmissionStopped: !c.admissionStoppedAt.IsZero()}
	if state.AdmissionStopped {
		state.StoppedFor = time.Since(c.admissionStoppedAt)
	}
	if !c.admissionResumedAt.IsZero() {
		state.SinceResumed = time.Since(c.admissionResumedAt)
	}
	primary := c.lastObservation
	state.PrimaryLeaving = c.term.Primary != "" && (primary.Status.Leaving || c.options.IsLeaving(c.term.Primary))
	for _, seen := range all {
		isReplacement := seen.Target != c.term.Primary && seen.Misses == 0 && !seen.Asked.IsZero() && !c.isLeaving(seen)
		if !isReplacement {
			continue
		}
		state.Replacements++
		holdsAll := seen.Asked.After(c.admissionStoppedAt) && seen.Status.LogPosition().Compare(primary.Status.LogPosition()) >= 0
		if state.AdmissionStopped && primary.Asked.After(c.admissionStoppedAt) && holdsAll && c.workInProgress == 0 {
			state.CaughtUp = true
		}
	}
	return state
}

func (c *controller) isLeaving(seen observer.Observation) bool {
	return seen.Status.Leaving || c.options.IsLeaving(seen.Target)
}

// setAdmission stops or resumes the admission of writes at the gate of the primary.
func (c *controller) setAdmission(ctx context.Context, stop bool) {
	ctx, cancel := context.WithTimeout(ctx, daemonCallTimeout)
	defer cancel()
	req := &api.AdmissionRequest{Target: c.term.Primary, Stop: stop, HoldMs: admissionHold.Milliseconds()}
	reply, err := c.options.Daemons.Admission(ctx, c.options.Holder(c.term.Primary), req)
	if err != nil || !reply.Known {
		return
	}
	c.workInProgress = reply.Busy
	if !stop {
		c.admissionStoppedAt = time.Time{}
		c.admissionResumedAt = time.Now()
	} else if c.admissionStoppedAt.IsZero() {
		c.admissionStoppedAt = time.Now()
	}
	if watching, ok := c.options.Observer(c.group.Name); ok {
		for _, spec := range c.group.Targets {
			watching.Ask(spec.Name)
		}
	}
}

// repair makes targets follow that missed a promotion or have come back.
func (c *controller) repair(ctx context.Context, all []observer.Observation) {
	if c.term.Primary == "" || time.Since(c.repairedAt) < repairInterval {
		return
	}
	c.repairedAt = time.Now()
	record := api.TermRecord{Group: c.group.Name, Term: c.term.Term, Primary: c.term.Primary, Start: c.term.Start}
	for _, order := range promotion.Repair(record, targetStates(all, c.term)) {
		logrus.WithFields(order.Fields()).WithField(logfield.Group, c.group.Name).Info(logevent.TargetRepaired)
		go c.follow(ctx, order)
	}
}

// targetStates converts the observations of the targets that answer.
func targetStates(all []observer.Observation, term api.GroupTerm) []promotion.TargetState {
	var states []promotion.TargetState
	for _, seen := range all {
		if seen.Asked.IsZero() || seen.Misses > 0 {
			continue
		}
		state := promotion.TargetState{Target: seen.Target, Term: seen.Status.Term, Role: seen.Role()}
		// A status does not tell whom a replica follows; within a term there is only one primary.
		if seen.Status.Role == target.RoleReplica && seen.Status.Term == term.Term {
			state.Follows = term.Primary
		}
		states = append(states, state)
	}
	return states
}

func (c *controller) follow(ctx context.Context, order promotion.Follow) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if _, err := c.callTarget(ctx, order.Target, c.followCall(order)); err != nil {
		logrus.WithFields(order.Fields()).WithFields(logrus.Fields{logfield.Group: c.group.Name, logfield.Error: err}).Warn(logevent.TargetRepairFailed)
	}
}

func (c *controller) logDecision(decision promotion.TriggerDecision) {
	if decision.Reason == c.lastReason {
		return
	}
	c.lastReason = decision.Reason
	logrus.WithFields(decision.Fields()).WithField(logfield.Primary, c.term.Primary).Info(logevent.FailoverDecision)
}

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
	// decideInterval is the longest time between two decisions; a new observation leads to a decision at once.
	decideInterval = 50 * time.Millisecond
	// daemonCallTimeout is the time that a call to another daemon may take: to a failure detector or to a gate.
	daemonCallTimeout = 200 * time.Millisecond
	// repairInterval is the shortest time between two checks for targets that do not follow the primary.
	repairInterval = 500 * time.Millisecond
	// admissionHold is the time after which a gate resumes admission on its own during a planned switchover, unless the
	// stop is renewed.
	admissionHold = time.Second
	// holdTime is the time after a promotion during which a primary that the failure detectors report as lost is not
	// replaced again. A target that answers that it is not the primary of the term is replaced at once.
	holdTime = 2 * time.Second
	// openTermTimeout is the time after which a term that has no primary yet is taken over from its promoter.
	openTermTimeout = 2 * time.Second
	// promotionRetryDelay is the time between a promotion that was abandoned or could not start and the next one.
	promotionRetryDelay = 200 * time.Millisecond
)

// controller decides on the primary of one group and carries out the decisions. One goroutine uses its state; the
// methods that call a target or the platform may run in others.
type controller struct {
	options Options
	group   api.GroupSpec
	trigger promotion.Trigger

	suspicion          promotion.Suspicion
	lastObservation    observer.Observation
	suspicionDecision  promotion.SuspicionDecision
	term               api.GroupTerm
	termSince          time.Time
	admissionStoppedAt time.Time
	admissionResumedAt time.Time
	workInProgress     int
	controlDecision    controlDecision
	repairedAt         time.Time
	lastReason         promotion.TriggerReason
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

// step decides once. It returns a channel that is closed when there is a newer observation.
func (c *controller) step(ctx context.Context) <-chan struct{} {
	groupObserver, ok := c.options.Observer(c.group.Name)
	if !ok {
		return nil
	}
	all, changed := groupObserver.All()
	c.updateTerm()
	c.updateSuspicion(groupObserver.Latest(c.term.Primary))
	if !c.controlDecision.isHeld(c.options, c.group.Name) {
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

// maintain keeps the primary. During a planned switchover it requests from the gate again how much work is in
// progress, which also renews the stop of admission; otherwise it repairs the targets that do not follow.
func (c *controller) maintain(ctx context.Context, all []observer.Observation, decision promotion.TriggerDecision) {
	if decision.Reason == promotion.TriggerCatchUp {
		c.setAdmission(ctx, true)
		return
	}
	c.repair(ctx, all)
}

// updateTerm adopts the newest term. When it differs from the last one, the state kept for the last one is reset.
func (c *controller) updateTerm() {
	current, _ := c.options.Terms.Current(c.group.Name)
	if current.Term == c.term.Term && current.Primary == c.term.Primary {
		return
	}
	// A term that existed when this controller started is not handled as a new one: termSince stays zero.
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

// updateSuspicion updates the suspicion with the newest observation of the primary.
func (c *controller) updateSuspicion(observation observer.Observation) {
	previous := c.lastObservation
	c.lastObservation = observation
	// A status that was requested before the promotion shows the target in its former role.
	if observation.Misses == 0 && observation.AskedAt.Before(c.termSince) {
		return
	}
	now := time.Now()
	switch {
	case observation.AnsweredAt.After(previous.AnsweredAt) && isReached(observation, c.term.Term):
		c.suspicionDecision = c.suspicion.RecordAnswer(now)
	case observation.AnsweredAt.After(previous.AnsweredAt) && observation.Status.Term >= c.term.Term && observation.Misses == 0:
		c.suspicionDecision = c.suspicion.RecordNotPrimary(now)
	case observation.Misses > previous.Misses && observation.Refused:
		c.suspicionDecision = c.suspicion.RecordRefusal(now)
	case observation.Misses > previous.Misses:
		c.suspicionDecision = c.suspicion.RecordMiss(now)
	}
}

// state returns the state of the group on which the decision is based. If the primary is suspected, it asks the
// failure detectors.
func (c *controller) state(ctx context.Context, all []observer.Observation) promotion.GroupState {
	state := promotion.GroupState{
		Group: c.group.Name, Term: c.term.Term, Primary: c.term.Primary, TermAge: time.Since(c.termSince),
		IsController: true, Members: len(c.group.Targets),
	}
	for _, observation := range all {
		if !observation.AskedAt.IsZero() && observation.Misses == 0 {
			state.Reached++
		}
	}
	state.CertainlyLost = c.suspicionDecision.Reason == promotion.SuspicionNotPrimary && c.suspicionDecision.Suspected
	if c.suspicionDecision.Suspected {
		state.Detectors = c.askDetectors(ctx)
	}
	state.Leaving = c.leaving(all)
	return state
}

// askDetectors asks the failure detectors of the group whether they reach the primary, and returns their joint
// verdict. It waits for their answers for at most daemonCallTimeout.
func (c *controller) askDetectors(ctx context.Context) promotion.DetectorVerdict {
	ctx, cancel := context.WithTimeout(ctx, daemonCallTimeout)
	defer cancel()
	daemons := c.detectors()
	reports := make([]promotion.DetectorReport, len(daemons))
	var asked sync.WaitGroup
	for i, daemon := range daemons {
		asked.Add(1)
		go func() {
			defer asked.Done()
			reports[i] = c.detectorReport(ctx, daemon)
		}()
	}
	asked.Wait()
	verdict := promotion.DecidePrimaryLost(reports, c.term.Term, promotion.DetectorQuorum(len(daemons)))
	logrus.WithFields(verdict.Fields()).WithFields(c.suspicionDecision.Fields()).WithFields(logrus.Fields{
		logfield.Group: c.group.Name, logfield.Term: c.term.Term, logfield.Primary: c.term.Primary,
	}).Info(logevent.PrimarySuspected)
	return verdict
}

// detectors returns the failure detectors of the group: this daemon, and the live daemons that hold targets of the
// group.
func (c *controller) detectors() []string {
	live := make(map[string]bool)
	for _, member := range c.options.Daemons.Members() {
		live[member.Name] = true
	}
	names := []string{c.options.Self}
	live[c.options.Self] = false
	for _, spec := range c.group.Targets {
		holder := c.options.Holder(spec.Name)
		if live[holder] {
			names = append(names, holder)
			live[holder] = false
		}
	}
	return names
}

// detectorReport returns what a failure detector reports about the primary. Answered is false when the call to the
// daemon fails, or the daemon has no observation of the primary.
func (c *controller) detectorReport(ctx context.Context, daemon string) promotion.DetectorReport {
	if daemon == c.options.Self {
		return promotion.DetectorReport{Daemon: daemon, Answered: true, Reached: isReached(c.lastObservation, c.term.Term), Term: c.term.Term}
	}
	req := &api.VantageRequest{Group: c.group.Name, Primary: c.term.Primary, Term: c.term.Term}
	reply, err := c.options.Daemons.Vantage(ctx, daemon, req)
	if err != nil {
		return promotion.DetectorReport{Daemon: daemon}
	}
	return promotion.DetectorReport{
		Daemon: daemon, Answered: reply.Known, Reached: reply.Reached,
		SinceAnswer: time.Duration(reply.SilenceMs) * time.Millisecond, Term: reply.Term,
	}
}

// leaving returns the state of the planned switchover from a leaving primary.
func (c *controller) leaving(all []observer.Observation) promotion.LeavingState {
	state := promotion.LeavingState{AdmissionStopped: !c.admissionStoppedAt.IsZero()}
	if state.AdmissionStopped {
		state.StoppedFor = time.Since(c.admissionStoppedAt)
	}
	if !c.admissionResumedAt.IsZero() {
		state.SinceAborted = time.Since(c.admissionResumedAt)
	}
	primary := c.lastObservation
	state.PrimaryLeaving = c.term.Primary != "" && (primary.Status.Leaving || c.options.IsLeaving(c.term.Primary))
	for _, observation := range all {
		isReplacement := observation.Target != c.term.Primary && observation.Misses == 0 && !observation.AskedAt.IsZero() && !c.isLeaving(observation)
		if !isReplacement {
			continue
		}
		state.Replacements++
		holdsAll := observation.AskedAt.After(c.admissionStoppedAt) && observation.Status.LogPosition().Compare(primary.Status.LogPosition()) >= 0
		if state.AdmissionStopped && primary.AskedAt.After(c.admissionStoppedAt) && holdsAll && c.workInProgress == 0 {
			state.CaughtUp = true
		}
	}
	return state
}

func (c *controller) isLeaving(observation observer.Observation) bool {
	return observation.Status.Leaving || c.options.IsLeaving(observation.Target)
}

// setAdmission stops or resumes the admission of new work at the gate of the primary, records the work in progress
// there, and requests the status of all targets. If the call fails or the daemon does not hold the primary, nothing
// changes.
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
	if groupObserver, ok := c.options.Observer(c.group.Name); ok {
		for _, spec := range c.group.Targets {
			groupObserver.PollNow(spec.Name)
		}
	}
}

// repair makes targets that missed the promotion or have returned follow the primary.
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

// targetStates returns the states of the targets that answered the newest status call.
func targetStates(all []observer.Observation, term api.GroupTerm) []promotion.TargetState {
	var states []promotion.TargetState
	for _, observation := range all {
		if observation.AskedAt.IsZero() || observation.Misses > 0 {
			continue
		}
		state := promotion.TargetState{Target: observation.Target, Term: observation.Status.Term, Role: observation.Role()}
		// A status does not name the primary that a replica follows, but a term has only one primary.
		if observation.Status.Role == target.RoleReplica && observation.Status.Term == term.Term {
			state.Follows = term.Primary
		}
		states = append(states, state)
	}
	return states
}

// follow makes a target follow the primary of the term.
func (c *controller) follow(ctx context.Context, order promotion.Follow) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if _, err := c.callTarget(ctx, order.Target, c.followCall(order)); err != nil {
		logrus.WithFields(order.Fields()).WithFields(logrus.Fields{logfield.Group: c.group.Name, logfield.Error: err}).Warn(logevent.TargetRepairFailed)
	}
}

// logDecision logs a decision whose reason differs from that of the last one.
func (c *controller) logDecision(decision promotion.TriggerDecision) {
	if decision.Reason == c.lastReason {
		return
	}
	c.lastReason = decision.Reason
	logrus.WithFields(decision.Fields()).WithField(logfield.Primary, c.term.Primary).Info(logevent.FailoverDecision)
}

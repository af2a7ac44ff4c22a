package promotion

import (
	"time"

	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/placement"
	"github.com/sirupsen/logrus"
)

// Default times of the trigger.
const (
	// DefaultHoldTime is the time after a promotion in which the group is not promoted again unless its primary is
	// certainly lost (GroupState.CertainlyLost).
	DefaultHoldTime = 10 * time.Second
	// DefaultOpenTermTimeout is the time after which the promotion of an open term is presumed to have been abandoned.
	DefaultOpenTermTimeout = 6 * time.Second
	// DefaultCatchUpTimeout is the time for which a planned switchover waits for a replica to have the whole log.
	DefaultCatchUpTimeout = 2 * time.Second
	// DefaultSwitchoverCooldown is the time between a planned switchover that was aborted and the next one. Without it
	// writes would be stopped most of the time while no replica catches up.
	DefaultSwitchoverCooldown = 10 * time.Second
)

// Controller is a daemon that may control the failover of a group.
type Controller struct {
	placement.Member
	// PlatformReached is true while the calls of the daemon to the platform succeed.
	PlatformReached bool
}

// ControllerOf returns the name of the failover controller of a group: the first daemon in rendezvous order that
// reaches the platform. It is false when no daemon reaches it.
func ControllerOf(group string, daemons []Controller) (string, bool) {
	members := make([]placement.Member, 0, len(daemons))
	for _, d := range daemons {
		if d.PlatformReached {
			members = append(members, d.Member)
		}
	}
	order := placement.Candidates(group, members, 1)
	if len(order) == 0 {
		return "", false
	}
	return order[0].Name, true
}

// Action is what a failover controller does next.
type Action string

// The actions of a controller.
const (
	// ActionNone changes nothing.
	ActionNone Action = "none"
	// ActionPromote starts a promotion.
	ActionPromote Action = "promote"
	// ActionStopAdmission makes the gate of the primary refuse new work in preparation for a switchover.
	ActionStopAdmission Action = "stop_admission"
	// ActionResumeAdmission aborts a switchover that cannot be completed and admits new work again.
	ActionResumeAdmission Action = "resume_admission"
)

// TriggerReason says why a controller takes an action or none.
type TriggerReason string

// The reasons of a TriggerDecision.
const (
	TriggerHealthy            TriggerReason = "primary_healthy"
	TriggerNotController      TriggerReason = "not_the_controller"
	TriggerPrimaryLost        TriggerReason = "primary_lost"
	TriggerHold               TriggerReason = "promoted_a_short_time_ago"
	TriggerNoRecord           TriggerReason = "group_without_primary"
	TriggerOpenTerm           TriggerReason = "promotion_of_another_daemon_runs"
	TriggerOpenTermAbandoned  TriggerReason = "promoter_left_term_open"
	TriggerLeaving            TriggerReason = "primary_leaving"
	TriggerCatchUp            TriggerReason = "replica_catching_up"
	TriggerCaughtUp           TriggerReason = "replica_caught_up"
	TriggerCatchUpTimeout     TriggerReason = "no_replica_caught_up_in_time"
	TriggerSwitchoverCooldown TriggerReason = "switchover_given_up_a_short_time_ago"
	TriggerNoReplacement      TriggerReason = "every_target_leaving"
	TriggerNoMajorityReached  TriggerReason = "no_majority_of_targets_reached"
)

// GroupState is what a controller knows about a group when it decides.
type GroupState struct {
	Group string
	Term  uint64
	// Primary is empty while the term is open.
	Primary string
	// TermAge is the time since the controller first observed this term and primary. It exceeds every limit for a term
	// that existed when the controller started.
	TermAge time.Duration
	// IsController is true when the deciding daemon is the controller.
	IsController bool
	// Detectors is the joint verdict of the failure detectors on the primary; zero while the primary is not suspected.
	Detectors DetectorVerdict
	// CertainlyLost is true when the platform no longer lists the primary's VM, or the target itself answers that it does
	// not lead the term.
	CertainlyLost bool
	// Members is the number of targets of the group, and Reached the number of those that answer.
	Members int
	Reached int
	Leaving LeavingState
}

// LeavingState describes the planned switchover of a leaving primary.
type LeavingState struct {
	// PrimaryLeaving is true when the platform lists the primary's VM as leaving.
	PrimaryLeaving bool
	// Replacements is the number of replicas that answer and are not leaving.
	Replacements int
	// AdmissionStopped is true while the gate of the primary refuses new work.
	AdmissionStopped bool
	// StoppedFor is the time since admission stopped.
	StoppedFor time.Duration
	// SinceAborted is the time since the last switchover was aborted; 0 when none was.
	SinceAborted time.Duration
	// CaughtUp is true when a replica that is not leaving has the whole log of the primary.
	CaughtUp bool
}

// TriggerDecision is the next action of a controller on a group, with the values that led to it.
type TriggerDecision struct {
	Action Action
	Reason TriggerReason
	Group  string
	Term   uint64
	// TermAge and HoldTime are compared to keep promotions apart: a lost primary is replaced once TermAge reaches
	// HoldTime, and earlier only if it is certainly lost.
	TermAge   time.Duration
	HoldTime  time.Duration
	Detectors DetectorVerdict
}

// Fields returns the fields that describe the decision in a log line.
func (d TriggerDecision) Fields() logrus.Fields {
	return logrus.Fields{
		logfield.Action:    string(d.Action),
		logfield.Reason:    string(d.Reason),
		logfield.Group:     d.Group,
		logfield.Term:      d.Term,
		logfield.TermAge:   d.TermAge,
		logfield.HoldTime:  d.HoldTime,
		logfield.Unreached: d.Detectors.Unreached,
		logfield.Answered:  d.Detectors.Answered,
	}
}

// Trigger decides when a group is promoted. A time that is 0 stands for its default.
type Trigger struct {
	HoldTime           time.Duration
	OpenTermTimeout    time.Duration
	CatchUpTimeout     time.Duration
	SwitchoverCooldown time.Duration
}

// Decide returns the next action of the deciding daemon on a group.
func (t Trigger) Decide(s GroupState) TriggerDecision {
	d := TriggerDecision{
		Group:     s.Group,
		Term:      s.Term,
		TermAge:   s.TermAge,
		HoldTime:  orDefault(t.HoldTime, DefaultHoldTime),
		Detectors: s.Detectors,
	}
	d.Action, d.Reason = t.decide(s)
	return d
}

// decide applies the conditions that hold for every promotion: only the controller acts, and only while it reaches a
// majority of the targets.
func (t Trigger) decide(s GroupState) (Action, TriggerReason) {
	if !s.IsController {
		return ActionNone, TriggerNotController
	}
	action, reason := t.wantedAction(s)
	if action == ActionPromote && !reachesMajority(s) {
		return ActionNone, TriggerNoMajorityReached
	}
	return action, reason
}

// reachesMajority reports whether a promotion can fence a majority. A promotion that cannot be finished would only
// prevent the commits of the old primary from being confirmed.
func reachesMajority(s GroupState) bool {
	return 2*s.Reached > s.Members
}

// wantedAction returns the action that the state of the group calls for.
func (t Trigger) wantedAction(s GroupState) (Action, TriggerReason) {
	switch {
	case s.Term == 0:
		return ActionPromote, TriggerNoRecord
	case s.Primary == "":
		return t.decideOpenTerm(s)
	case s.CertainlyLost:
		return ActionPromote, TriggerPrimaryLost
	case s.Detectors.Lost:
		return t.decideLost(s)
	case s.Leaving.PrimaryLeaving:
		return t.decideLeaving(s.Leaving)
	case s.Leaving.AdmissionStopped:
		return ActionResumeAdmission, TriggerHealthy
	default:
		return ActionNone, TriggerHealthy
	}
}

func (t Trigger) decideOpenTerm(s GroupState) (Action, TriggerReason) {
	if s.TermAge < orDefault(t.OpenTermTimeout, DefaultOpenTermTimeout) {
		return ActionNone, TriggerOpenTerm
	}
	return ActionPromote, TriggerOpenTermAbandoned
}

// decideLost delays the replacement of a lost primary until the hold time since the last promotion has passed, so that
// the group does not change its primary over and over while the network between daemons and targets is unstable.
func (t Trigger) decideLost(s GroupState) (Action, TriggerReason) {
	if s.TermAge < orDefault(t.HoldTime, DefaultHoldTime) {
		return ActionNone, TriggerHold
	}
	return ActionPromote, TriggerPrimaryLost
}

// decideLeaving plans a switchover: it stops the admission of new work on the primary first, so that a replica can catch
// up and no acknowledged or running write is truncated by the promotion.
func (t Trigger) decideLeaving(l LeavingState) (Action, TriggerReason) {
	switch {
	case l.Replacements == 0 && l.AdmissionStopped:
		return ActionResumeAdmission, TriggerNoReplacement
	case l.Replacements == 0:
		return ActionNone, TriggerNoReplacement
	case !l.AdmissionStopped && l.SinceAborted > 0 && l.SinceAborted < orDefault(t.SwitchoverCooldown, DefaultSwitchoverCooldown):
		return ActionNone, TriggerSwitchoverCooldown
	case !l.AdmissionStopped:
		return ActionStopAdmission, TriggerLeaving
	case l.CaughtUp:
		return ActionPromote, TriggerCaughtUp
	case l.StoppedFor >= orDefault(t.CatchUpTimeout, DefaultCatchUpTimeout):
		return ActionResumeAdmission, TriggerCatchUpTimeout
	default:
		return ActionNone, TriggerCatchUp
	}
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

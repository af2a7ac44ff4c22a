package promotion

import (
	"time"

	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/placement"
	"github.com/sirupsen/logrus"
)

// Default times of the trigger.
const (
	// DefaultHoldTime is the time after a promotion in which the group is not promoted again
	// unless its primary is surely gone.
	DefaultHoldTime = 10 * time.Second
	// DefaultOpenTermTimeout is the time after which an open term counts as left by its promoter.
	DefaultOpenTermTimeout = 6 * time.Second
	// DefaultCatchUpTimeout is the time for which a planned switchover waits for a replica.
	DefaultCatchUpTimeout = 2 * time.Second
	// DefaultSwitchoverPause is the time between a planned switchover that was given up and the
	// next one. Without it writes would be stopped most of the time while no replica catches up.
	DefaultSwitchoverPause = 10 * time.Second
)

// Controller is one daemon that may control the failover of a group.
type Controller struct {
	placement.Member
	// PlatformReached is true while the calls of the daemon to the platform succeed.
	PlatformReached bool
}

// ControllerOf returns the failover controller of a group: the first daemon in rendezvous order
// that reaches the platform. It is false when no daemon reaches it.
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
	// ActionNone leaves the group as it is.
	ActionNone Action = "none"
	// ActionPromote starts a promotion.
	ActionPromote Action = "promote"
	// ActionStopAdmission makes the gate of the primary refuse new writes before a switchover.
	ActionStopAdmission Action = "stop_admission"
	// ActionResumeAdmission ends a switchover that can not go on.
	ActionResumeAdmission Action = "resume_admission"
)

// TriggerReason says why a controller acts or not.
type TriggerReason string

// The reasons of a TriggerDecision.
const (
	TriggerHealthy         TriggerReason = "primary_healthy"
	TriggerNotController   TriggerReason = "not_the_controller"
	TriggerPrimaryLost     TriggerReason = "primary_lost"
	TriggerHold            TriggerReason = "promoted_a_short_time_ago"
	TriggerNoRecord        TriggerReason = "group_without_primary"
	TriggerOpenTerm        TriggerReason = "promotion_of_another_daemon_runs"
	TriggerOpenTermLeft    TriggerReason = "promoter_left_term_open"
	TriggerLeaving         TriggerReason = "primary_leaving"
	TriggerCatchUp         TriggerReason = "replica_catching_up"
	TriggerCaughtUp        TriggerReason = "replica_caught_up"
	TriggerCatchUpTimeout  TriggerReason = "no_replica_caught_up_in_time"
	TriggerSwitchoverPause TriggerReason = "switchover_given_up_a_short_time_ago"
	TriggerNoReplacement   TriggerReason = "every_target_leaving"
	TriggerNoMajorityAlive TriggerReason = "no_majority_of_targets_reached"
)

// GroupState is what a controller knows about a group.
type GroupState struct {
	Group string
	Term  uint64
	// Primary is empty while the term is open.
	Primary string
	// TermAge is the time since the controller first saw this state of the term record.
	TermAge time.Duration
	// IsController is true when the deciding daemon is the controller.
	IsController bool
	// Vantage is the joint view of the primary; the zero value before suspicion.
	Vantage VantageVerdict
	// SurelyGone is true when the platform no longer lists the primary's VM, or the target itself
	// answers that it does not lead the term.
	SurelyGone bool
	// Members and Reached count the targets of the group, and those of them that answer.
	Members int
	Reached int
	Leaving LeavingState
}

// LeavingState describes the planned switchover of a leaving primary.
type LeavingState struct {
	// PrimaryLeaving is true when the platform lists the primary's VM as leaving.
	PrimaryLeaving bool
	// Replacements counts the reached replicas that stay.
	Replacements int
	// AdmissionStopped is true once the gate of the primary refuses new writes.
	AdmissionStopped bool
	// StoppedFor is the time since admission stopped.
	StoppedFor time.Duration
	// SinceResumed is the time since a switchover was given up; 0 when none was.
	SinceResumed time.Duration
	// CaughtUp is true when a replica that stays holds the whole log of the primary.
	CaughtUp bool
}

// TriggerDecision is the next action of a controller on a group.
type TriggerDecision struct {
	Action Action
	Reason TriggerReason
	Group  string
	Term   uint64
	// TermAge and HoldTime are the figures of the hysteresis.
	TermAge  time.Duration
	HoldTime time.Duration
	Vantage  VantageVerdict
}

// Fields returns the fields of the log line of the decision.
func (d TriggerDecision) Fields() logrus.Fields {
	return logrus.Fields{
		logfield.Action:    string(d.Action),
		logfield.Reason:    string(d.Reason),
		logfield.Group:     d.Group,
		logfield.Term:      d.Term,
		logfield.TermAge:   d.TermAge,
		logfield.HoldTime:  d.HoldTime,
		logfield.Unreached: d.Vantage.Unreached,
		logfield.Answered:  d.Vantage.Answered,
	}
}

// Trigger decides when a group is promoted. The zero value uses the default times.
type Trigger struct {
	HoldTime        time.Duration
	OpenTermTimeout time.Duration
	CatchUpTimeout  time.Duration
	SwitchoverPause time.Duration
}

// Decide returns the next action of the deciding daemon on a group.
func (t Trigger) Decide(s GroupState) TriggerDecision {
	d := TriggerDecision{
		Group:    s.Group,
		Term:     s.Term,
		TermAge:  s.TermAge,
		HoldTime: orDefault(t.HoldTime, DefaultHoldTime),
		Vantage:  s.Vantage,
	}
	d.Action, d.Reason = t.decide(s)
	return d
}

func (t Trigger) decide(s GroupState) (Action, TriggerReason) {
	if !s.IsController {
		return ActionNone, TriggerNotController
	}
	action, reason := t.wanted(s)
	if action == ActionPromote && !reachesMajority(s) {
		return ActionNone, TriggerNoMajorityAlive
	}
	return action, reason
}

// reachesMajority reports whether the fences of a promotion can succeed. Opening a term that can
// not be finished would only stop the old primary from being confirmed.
func reachesMajority(s GroupState) bool {
	return 2*s.Reached > s.Members
}

func (t Trigger) wanted(s GroupState) (Action, TriggerReason) {
	switch {
	case s.Term == 0:
		return ActionPromote, TriggerNoRecord
	case s.Primary == "":
		return t.openTerm(s)
	case s.SurelyGone:
		return ActionPromote, TriggerPrimaryLost
	case s.Vantage.Lost:
		return t.lost(s)
	case s.Leaving.PrimaryLeaving:
		return t.leaving(s.Leaving)
	case s.Leaving.AdmissionStopped:
		return ActionResumeAdmission, TriggerHealthy
	default:
		return ActionNone, TriggerHealthy
	}
}

func (t Trigger) openTerm(s GroupState) (Action, TriggerReason) {
	if s.TermAge < orDefault(t.OpenTermTimeout, DefaultOpenTermTimeout) {
		return ActionNone, TriggerOpenTerm
	}
	return ActionPromote, TriggerOpenTermLeft
}

// lost applies the hysteresis that keeps a group from changing its primary again and again when
// the network between daemons and targets is unsteady.
func (t Trigger) lost(s GroupState) (Action, TriggerReason) {
	if s.TermAge < orDefault(t.HoldTime, DefaultHoldTime) {
		return ActionNone, TriggerHold
	}
	return ActionPromote, TriggerPrimaryLost
}

// leaving plans a switchover: writes stop first, so that a replica can catch up and no
// acknowledged or running write is cut.
func (t Trigger) leaving(l LeavingState) (Action, TriggerReason) {
	switch {
	case l.Replacements == 0 && l.AdmissionStopped:
		return ActionResumeAdmission, TriggerNoReplacement
	case l.Replacements == 0:
		return ActionNone, TriggerNoReplacement
	case !l.AdmissionStopped && l.SinceResumed > 0 && l.SinceResumed < orDefault(t.SwitchoverPause, DefaultSwitchoverPause):
		return ActionNone, TriggerSwitchoverPause
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

package readroute

import (
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/staleness"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/sirupsen/logrus"
)

// NoMaxAge is the allowed age of a read for which only the minimum position is required.
const NoMaxAge time.Duration = -1

// GateAction is what a gate does with a read.
type GateAction uint8

// The actions of a gate.
const (
	// Run starts the read at once.
	Run GateAction = iota
	// WaitThenRun waits for the replica to apply the minimum position, then decides again.
	WaitThenRun
	// Behind refuses the read as not run, because the minimum position is not applied.
	Behind
	// TooOld refuses the read as not run, because the data may be older than allowed.
	TooOld
	// NoMajority refuses the read as not run, because no majority of the group backs the primary.
	NoMajority
)

var gateActionNames = [...]string{Run: "run", WaitThenRun: "wait", Behind: "behind", TooOld: "too_old", NoMajority: "unbacked"}

// String returns the name of the action.
func (a GateAction) String() string {
	return gateActionNames[a]
}

// GateReason says why a gate runs a read or not.
type GateReason string

// The reasons of a GateDecision.
const (
	ReplicaFresh           GateReason = "floor_applied"
	ReplicaFreshInAge      GateReason = "floor_applied_within_age"
	ReplicaCatchingUp      GateReason = "floor_soon_applied"
	ReplicaNoWait          GateReason = "no_time_to_wait"
	ReplicaLagsTooFar      GateReason = "lag_beyond_wait"
	ReplicaAgeUnknown      GateReason = "age_unknown"
	ReplicaAgeTooHigh      GateReason = "age_beyond_allowed"
	PrimaryHasMajority     GateReason = "primary_backed_by_majority"
	PrimaryWithoutMajority GateReason = "primary_without_majority"
)

// GateDecision is the decision of a gate on a read.
type GateDecision struct {
	Action      GateAction
	Reason      GateReason
	MinPosition api.Position
	Applied     api.Position
	// MaxAge is the allowed age of data; negative when only the minimum position is required.
	MaxAge time.Duration
	// Age is the upper bound on the age of the data; negative when unknown.
	Age time.Duration
	// Wait is the longest time to wait; set when Action is WaitThenRun.
	Wait time.Duration
}

// Fields returns the fields of the log line of the decision.
func (d GateDecision) Fields() logrus.Fields {
	return logrus.Fields{
		logfield.Action:  d.Action.String(),
		logfield.Reason:  string(d.Reason),
		logfield.Floor:   d.MinPosition.String(),
		logfield.Applied: d.Applied.String(),
		logfield.MaxAge:  d.MaxAge,
		logfield.Age:     d.Age,
		logfield.Wait:    d.Wait,
	}
}

// Code returns the result code of a refusal, and result.OK for the other actions.
func (d GateDecision) Code() result.Code {
	switch d.Action {
	case Behind:
		return result.NotRunBehind
	case TooOld:
		return result.NotRunTooOld
	case NoMajority:
		return result.NotRunNoMajority
	default:
		return result.OK
	}
}

// DecideAtReplica decides on a read at the gate of a replica. The minimum position is always required,
// the allowed age maxAge only if it is not negative. waitBudget is the time that the read may wait.
func DecideAtReplica(minPosition api.Position, maxAge time.Duration, applied api.Position, age staleness.Bound, waitBudget time.Duration) GateDecision {
	d := GateDecision{MinPosition: minPosition, Applied: applied, MaxAge: maxAge, Age: -1}
	if age.Known {
		d.Age = age.Age
	}
	switch {
	case applied.Compare(minPosition) < 0:
		d.Action, d.Reason = belowMinPosition(age, waitBudget)
	case maxAge < 0:
		d.Action, d.Reason = Run, ReplicaFresh
	case !age.Known:
		d.Action, d.Reason = TooOld, ReplicaAgeUnknown
	case age.Age <= maxAge:
		d.Action, d.Reason = Run, ReplicaFreshInAge
	default:
		d.Action, d.Reason = TooOld, ReplicaAgeTooHigh
	}
	if d.Action == WaitThenRun {
		d.Wait = waitBudget
	}
	return d
}

// DecideAtPrimary decides on a read at the gate of a primary. A primary that a majority of the group
// backs runs it. A primary that is partitioned from the majority may have been replaced; like a
// replica it serves only reads with an allowed age, so that a partitioned availability zone can
// still read for that long.
func DecideAtPrimary(hasMajority bool, minPosition api.Position, maxAge time.Duration, position api.Position, age staleness.Bound) GateDecision {
	if hasMajority {
		return GateDecision{Action: Run, Reason: PrimaryHasMajority, MinPosition: minPosition, Applied: position, MaxAge: maxAge}
	}
	if maxAge <= 0 {
		return GateDecision{Action: NoMajority, Reason: PrimaryWithoutMajority, MinPosition: minPosition, Applied: position, MaxAge: maxAge, Age: -1}
	}
	return DecideAtReplica(minPosition, maxAge, position, age, 0)
}

// belowMinPosition decides on a read whose minimum position is not applied. It waits when the lag of the replica is at
// most waitBudget, or is unknown because there are no samples.
func belowMinPosition(age staleness.Bound, waitBudget time.Duration) (GateAction, GateReason) {
	switch {
	case waitBudget <= 0:
		return Behind, ReplicaNoWait
	case age.Reason == staleness.ReasonBehindAll, age.Known && age.Lag > waitBudget:
		return Behind, ReplicaLagsTooFar
	default:
		return WaitThenRun, ReplicaCatchingUp
	}
}

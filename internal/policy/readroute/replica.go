package readroute

import (
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/staleness"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/sirupsen/logrus"
)

// NoMaxAge is an allowed age for which the floor alone counts.
const NoMaxAge time.Duration = -1

// ReplicaAction is what the gate of a replica does with a read.
type ReplicaAction uint8

// The actions of a gate.
const (
	// Run starts the read at once.
	Run ReplicaAction = iota
	// WaitThenRun waits for the replica to apply the floor, then decides again.
	WaitThenRun
	// Behind refuses the read as not run, because the floor is not applied.
	Behind
	// TooOld refuses the read as not run, because the data may be older than allowed.
	TooOld
	// Unbacked refuses the read as not run at a primary without a majority.
	Unbacked
)

var replicaActionNames = [...]string{Run: "run", WaitThenRun: "wait", Behind: "behind", TooOld: "too_old", Unbacked: "unbacked"}

// String returns the name of the action.
func (a ReplicaAction) String() string {
	return replicaActionNames[a]
}

// ReplicaReason says why a gate runs a read or not.
type ReplicaReason string

// The reasons of a ReplicaDecision.
const (
	ReplicaFresh      ReplicaReason = "floor_applied"
	ReplicaFreshInAge ReplicaReason = "floor_applied_within_age"
	ReplicaCatchingUp ReplicaReason = "floor_soon_applied"
	ReplicaNoWait     ReplicaReason = "no_time_to_wait"
	ReplicaLagsTooFar ReplicaReason = "lag_beyond_wait"
	ReplicaAgeUnknown ReplicaReason = "age_unknown"
	ReplicaAgeTooHigh ReplicaReason = "age_beyond_allowed"
	PrimaryBacked     ReplicaReason = "primary_backed_by_majority"
	PrimaryUnbacked   ReplicaReason = "primary_without_majority"
)

// ReplicaDecision is the decision of a gate on a read.
type ReplicaDecision struct {
	Action  ReplicaAction
	Reason  ReplicaReason
	Floor   api.Position
	Applied api.Position
	// MaxAge is negative when the floor alone counts.
	MaxAge time.Duration
	// Age is the bound on the age of the data; negative when unknown.
	Age time.Duration
	// Wait is the longest time to wait; set with WaitThenRun.
	Wait time.Duration
}

// Fields returns the fields of the log line of the decision.
func (d ReplicaDecision) Fields() logrus.Fields {
	return logrus.Fields{
		logfield.Action:  d.Action.String(),
		logfield.Reason:  string(d.Reason),
		logfield.Floor:   d.Floor.String(),
		logfield.Applied: d.Applied.String(),
		logfield.MaxAge:  d.MaxAge,
		logfield.Age:     d.Age,
		logfield.Wait:    d.Wait,
	}
}

// Code returns the result code of a refusal, result.OK for the other actions.
func (d ReplicaDecision) Code() result.Code {
	switch d.Action {
	case Behind:
		return result.NotRunBehind
	case TooOld:
		return result.NotRunTooOld
	case Unbacked:
		return result.NotRunNoMajority
	default:
		return result.OK
	}
}

// AtReplica decides at the gate of a replica on a read. The floor holds always; the allowed age
// counts besides unless it is negative. waitBudget is the time that the read may wait.
func AtReplica(floor api.Position, maxAge time.Duration, applied api.Position, age staleness.Bound, waitBudget time.Duration) ReplicaDecision {
	d := ReplicaDecision{Floor: floor, Applied: applied, MaxAge: maxAge, Age: -1}
	if age.Known {
		d.Age = age.Age
	}
	switch {
	case applied.Compare(floor) < 0:
		d.Action, d.Reason = belowFloor(age, waitBudget)
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

// AtPrimary decides at the gate of a primary on a read. A primary that a majority backs runs it.
// One that is cut off may have been replaced; it serves only reads with an allowed age, as a
// replica does, so that a cut-off availability zone goes on reading for that long.
func AtPrimary(backed bool, floor api.Position, maxAge time.Duration, position api.Position, age staleness.Bound) ReplicaDecision {
	if backed {
		return ReplicaDecision{Action: Run, Reason: PrimaryBacked, Floor: floor, Applied: position, MaxAge: maxAge}
	}
	if maxAge <= 0 {
		return ReplicaDecision{Action: Unbacked, Reason: PrimaryUnbacked, Floor: floor, Applied: position, MaxAge: maxAge, Age: -1}
	}
	return AtReplica(floor, maxAge, position, age, 0)
}

// belowFloor waits when the lag of the replica is shorter than the time to wait, or not known for
// lack of samples.
func belowFloor(age staleness.Bound, waitBudget time.Duration) (ReplicaAction, ReplicaReason) {
	switch {
	case waitBudget <= 0:
		return Behind, ReplicaNoWait
	case age.Reason == staleness.ReasonBehindAll, age.Known && age.Lag > waitBudget:
		return Behind, ReplicaLagsTooFar
	default:
		return WaitThenRun, ReplicaCatchingUp
	}
}

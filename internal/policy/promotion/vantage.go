package promotion

import (
	"time"

	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/confirm"
	"github.com/sirupsen/logrus"
)

// View is what one daemon sees of a primary.
type View struct {
	Daemon string
	// Answered is false when the daemon could not be asked or does not watch the primary.
	Answered bool
	// Reached is true when the primary answered the daemon as primary within the detection time.
	Reached bool
	// Silence is the time since the primary last answered the daemon.
	Silence time.Duration
	// Term is the newest term of the group that the daemon knows.
	Term uint64
}

// VantageReason says why a primary counts as lost or not.
type VantageReason string

// The reasons of a VantageVerdict.
const (
	VantageMajorityLost VantageReason = "majority_does_not_reach_primary"
	VantageReached      VantageReason = "primary_reached"
	VantageTooFew       VantageReason = "too_few_vantage_points"
	VantageLaterTerm    VantageReason = "vantage_point_knows_later_term"
)

// VantageVerdict is the joint view of the vantage points of a group.
type VantageVerdict struct {
	Lost   bool
	Reason VantageReason
	// Asked, Answered and Unreached count vantage points.
	Asked     int
	Answered  int
	Unreached int
	Quorum    int
}

// Fields returns the fields of the log line of the decision.
func (v VantageVerdict) Fields() logrus.Fields {
	return logrus.Fields{
		logfield.Lost:      v.Lost,
		logfield.Reason:    string(v.Reason),
		logfield.Asked:     v.Asked,
		logfield.Answered:  v.Answered,
		logfield.Unreached: v.Unreached,
		logfield.Quorum:    v.Quorum,
	}
}

// VantageQuorum returns the number of vantage points that must answer: two where two live.
func VantageQuorum(living int) int {
	return max(1, min(2, living))
}

// VantageDecision decides whether a primary is lost: a majority of the vantage points that
// answer, and at least quorum of them, do not reach it. The view of the caller is one of views.
// term is the term of the suspected primary; a vantage point that knows a later one ends the matter.
func VantageDecision(views []View, term uint64, quorum int) VantageVerdict {
	v := VantageVerdict{Asked: len(views), Quorum: quorum}
	later := false
	for _, view := range views {
		if !view.Answered {
			continue
		}
		v.Answered++
		if !view.Reached {
			v.Unreached++
		}
		later = later || view.Term > term
	}
	v.Lost, v.Reason = v.verdict(later)
	return v
}

func (v VantageVerdict) verdict(later bool) (bool, VantageReason) {
	switch {
	case later:
		return false, VantageLaterTerm
	case v.Unreached < v.Quorum && v.Unreached == v.Answered:
		return false, VantageTooFew
	case v.Unreached < v.Quorum, v.Unreached < confirm.Majority(v.Answered):
		return false, VantageReached
	default:
		return true, VantageMajorityLost
	}
}

package promotion

import (
	"time"

	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/confirm"
	"github.com/sirupsen/logrus"
)

// DetectorReport is the report of one failure detector, a daemon that makes status calls to the primary.
type DetectorReport struct {
	Daemon string
	// Answered is false when the daemon could not be asked or makes no status calls to the primary.
	Answered bool
	// Reached is true when the primary answered the daemon as primary within the detection time.
	Reached bool
	// SinceAnswer is the time since the primary last answered the daemon.
	SinceAnswer time.Duration
	// Term is the newest term of the group that the daemon knows.
	Term uint64
}

// DetectorReason says why a primary is considered lost or not.
type DetectorReason string

// The reasons of a DetectorVerdict.
const (
	DetectorMajorityLost   DetectorReason = "majority_does_not_reach_primary"
	DetectorPrimaryReached DetectorReason = "primary_reached"
	DetectorTooFew         DetectorReason = "too_few_vantage_points"
	DetectorLaterTerm      DetectorReason = "vantage_point_knows_later_term"
)

// DetectorVerdict is the joint verdict of the failure detectors of a group on its primary.
type DetectorVerdict struct {
	Lost   bool
	Reason DetectorReason
	// Asked is the number of failure detectors that were asked, Answered the number of those that answered, and Unreached
	// the number of those that answered and don't reach the primary.
	Asked     int
	Answered  int
	Unreached int
	// Quorum is the least value of Unreached with which the primary is considered lost.
	Quorum int
}

// Fields returns the fields that describe the verdict in a log line.
func (v DetectorVerdict) Fields() logrus.Fields {
	return logrus.Fields{
		logfield.Lost:      v.Lost,
		logfield.Reason:    string(v.Reason),
		logfield.Asked:     v.Asked,
		logfield.Answered:  v.Answered,
		logfield.Unreached: v.Unreached,
		logfield.Quorum:    v.Quorum,
	}
}

// DetectorQuorum returns the least number of failure detectors that have to report a primary as not reached: two, or
// one if only one detector is live.
func DetectorQuorum(live int) int {
	return max(1, min(2, live))
}

// DecidePrimaryLost decides whether a primary is lost: that is so if a majority of the failure detectors that answer,
// and at least quorum of them, do not reach it. The report of the caller is one of reports. term is the term of the
// suspected primary; if any detector knows a later term, the primary is not considered lost, because a later promotion
// has begun.
func DecidePrimaryLost(reports []DetectorReport, term uint64, quorum int) DetectorVerdict {
	v := DetectorVerdict{Asked: len(reports), Quorum: quorum}
	later := false
	for _, report := range reports {
		if !report.Answered {
			continue
		}
		v.Answered++
		if !report.Reached {
			v.Unreached++
		}
		later = later || report.Term > term
	}
	v.Lost, v.Reason = v.verdict(later)
	return v
}

func (v DetectorVerdict) verdict(later bool) (bool, DetectorReason) {
	switch {
	case later:
		return false, DetectorLaterTerm
	case v.Unreached < v.Quorum && v.Unreached == v.Answered:
		return false, DetectorTooFew
	case v.Unreached < v.Quorum, v.Unreached < confirm.Majority(v.Answered):
		return false, DetectorPrimaryReached
	default:
		return true, DetectorMajorityLost
	}
}

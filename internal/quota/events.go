package quota

import (
	"expvar"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/policy/quota"
	"github.com/papayacove/papayacove/internal/telemetry"
)

// The reasons of refusals, which are labels of counters.
const (
	reasonOverLimit = "over_limit"
	reasonNoAnswer  = "no_answer"
)

var (
	// counters counts operations and requests.
	counters = expvar.NewMap("quota")
	// weight is the part of the limits that the daemon owns, ownWeight what it has not lent, and lentToSelf the sum of
	// what is lent to it, over the partitions.
	weight     = expvar.NewFloat("quota_weight")
	ownWeight  = expvar.NewFloat("quota_weight_not_lent")
	lentToSelf = expvar.NewFloat("quota_weight_lent_to_self")

	limiter = telemetry.NewLimiter()
)

func setGauges(owned, notLent float64) {
	weight.Set(owned)
	ownWeight.Set(notLent)
}

func logRefusal(workspace, reason string, limit callers.Limit, d quota.Decision) {
	if !limiter.Allow(logevent.QuotaRefused, time.Now()) {
		return
	}
	logrus.WithFields(logrus.Fields{
		logfield.Workspace: workspace, logfield.Reason: reason, logfield.Limit: limit.RatePerS, logfield.Burst: limit.Burst,
		logfield.Tokens: d.Tokens, logfield.Coordinator: d.Coordinator, logfield.Age: d.Age, logfield.RetryAfter: d.RetryAfter,
	}).Info(logevent.QuotaRefused)
}

func logNoAnswer(coordinator string, err error) {
	if limiter.Allow(logevent.QuotaNotAnswered, time.Now()) {
		logrus.WithFields(logrus.Fields{logfield.Coordinator: coordinator, logfield.Error: err}).Info(logevent.QuotaNotAnswered)
	}
}

func logWeight(before, after float64, daemons int) {
	logrus.WithFields(logrus.Fields{
		logfield.Previous: before, logfield.Weight: after, logfield.Daemons: daemons,
	}).Info(logevent.QuotaWeightChanged)
}

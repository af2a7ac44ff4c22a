package engine

import (
	"expvar"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/telemetry"
)

// proofKind is the way in which a leadership proof was obtained. It is written to logs.
type proofKind string

// Ways to obtain a leadership proof.
const (
	// proofOfStatus is by the statuses of targets.
	proofOfStatus proofKind = "status"
	// proofOfHolder is by the daemon that holds the primary.
	proofOfHolder proofKind = "holder"
	// proofOfPromotion is by the promotion that this daemon has finished.
	proofOfPromotion proofKind = "promotion"
	// proofOfRecord is by the record of the promotion lock.
	proofOfRecord proofKind = "lock"
)

// proofOrigin is what gave a leadership proof.
type proofOrigin struct {
	kind proofKind
	// target is the target whose answer gave the proof.
	target string
}

const (
	// proofLogInterval is the least time between two lines of one event about the proofs of one group.
	proofLogInterval = time.Second
	// newTargetAge is the time for which a proof by a target that the daemon has just learned of is logged.
	newTargetAge = 10 * time.Second
)

// proofLog is what was logged about the leadership proofs of one group.
type proofLog struct {
	// limiter bounds the lines of all groups.
	limiter *telemetry.Limiter
	// served is the origin of the proof within which the last logged read was served.
	served proofOrigin
	// nextAt is the time of the boot clock before which an event is not logged again.
	nextAt map[string]time.Duration
	// missing is true since a proof was asked for and not obtained after the last one had lapsed.
	missing bool
}

// leadershipProofs counts the leadership proofs by the way in which they were obtained.
var leadershipProofs = expvar.NewMap("engine_leadership_proofs")

// logProof logs a proof that follows a lapse of the last one, valid until lapsedAt, or that a new target gave. The
// caller holds the lock.
func (g *group) logProof(lapsedAt time.Duration) {
	now := clock.SinceBoot()
	leadershipProofs.Add(string(g.proofOrigin.kind), 1)
	g.endProofMissing()
	if lapsedAt != 0 && lapsedAt < now {
		g.logProofEvent(logevent.ProofReturned, now, logrus.Fields{logfield.Elapsed: now - lapsedAt})
	}
	if m, ok := g.members[g.proofOrigin.target]; ok && now-m.firstSeenAt < newTargetAge {
		g.logProofEvent(logevent.ProofOfNewTarget, now, nil)
	}
}

// logServedWithin logs that a read is served within the present proof, if the origin of the proof is another than at
// the last such read. The caller holds the lock.
func (g *group) logServedWithin() {
	previous := g.proofLog.served
	if g.proofOrigin == previous {
		return
	}
	fields := logrus.Fields{logfield.Previous: string(previous.kind), logfield.PriorTarget: previous.target}
	if g.logProofEvent(logevent.ProofSourceChanged, clock.SinceBoot(), fields) {
		g.proofLog.served = g.proofOrigin
	}
}

// logProofEvent logs an event about the present proof at a bounded rate, and reports whether it did. The caller holds
// the lock.
func (g *group) logProofEvent(event string, now time.Duration, fields logrus.Fields) bool {
	return g.logProofEventAt(logrus.InfoLevel, event, now, fields)
}

// logProofEventAt is logProofEvent with the level of the line.
func (g *group) logProofEventAt(level logrus.Level, event string, now time.Duration, fields logrus.Fields) bool {
	if now < g.proofLog.nextAt[event] || !g.proofLog.limiter.Allow(event, time.Now()) {
		return false
	}
	if g.proofLog.nextAt == nil {
		g.proofLog.nextAt = make(map[string]time.Duration)
	}
	g.proofLog.nextAt[event] = now + proofLogInterval
	entry := g.log().WithFields(logrus.Fields{
		logfield.Source: string(g.proofOrigin.kind), logfield.Target: g.proofOrigin.target,
		logfield.Age: now - (g.provenUntil - leadership.ProofValidity),
	})
	if m, ok := g.members[g.proofOrigin.target]; ok {
		entry = entry.WithField(logfield.KnownFor, now-m.firstSeenAt)
	}
	entry.WithFields(fields).Log(level, event)
	return true
}

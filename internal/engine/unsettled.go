package engine

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/leadership"
)

// unsettledTime is the time after an event for which each read of the group is logged, at a bounded rate. It covers a
// promotion with the reads that follow it.
const unsettledTime = 3 * time.Second

// unsettledReason is the event that each read of a group is logged after. It is written to logs.
type unsettledReason string

// The events after which reads are logged. A group that saw none lately is settled.
const (
	settled               unsettledReason = ""
	unsettledUnresponsive unsettledReason = "primary_unresponsive"
	unsettledTerm         unsettledReason = "term_changed"
	unsettledProof        unsettledReason = "proof_returned"
	unsettledJoined       unsettledReason = "member_joined"
	unsettledRestarted    unsettledReason = "member_restarted"
	unsettledRemoved      unsettledReason = "member_removed"
	unsettledPromotion    unsettledReason = "promotion"
)

// unsettled is an event after which reads are logged until a time of the boot clock.
type unsettled struct {
	reason unsettledReason
	until  time.Duration
}

// markUnsettled has the reads of the next unsettledTime logged. The caller holds the lock.
func (g *group) markUnsettled(reason unsettledReason) {
	g.unsettled = unsettled{reason, clock.SinceBoot() + unsettledTime}
}

// unsettledFor returns why reads are logged now. The caller holds the lock.
func (g *group) unsettledFor(now time.Duration) unsettledReason {
	if g.isPrimaryUnresponsive(now) {
		g.markUnsettled(unsettledUnresponsive)
	}
	switch {
	case g.promoting:
		return unsettledPromotion
	case now < g.unsettled.until:
		return g.unsettled.reason
	}
	return settled
}

// noteStatus notes that a promotion is under way if a member has been paused since its last status. The caller holds
// the lock.
func (g *group) noteStatus(name string, s leadership.Status) {
	if s.IsPaused() && g.statuses[name].PausedTerm != s.PausedTerm {
		g.markUnsettled(unsettledPromotion)
	}
}

// logProofMissing logs the start of a time in which statements ask for a leadership proof and none is obtained, after
// the last proof has lapsed. The caller holds the lock.
func (g *group) logProofMissing(asked, answered int) {
	now := clock.SinceBoot()
	if g.proofLog.missing || now < g.provenUntil || g.proofOrigin.kind == "" {
		return
	}
	g.proofLog.missing = true
	g.logProofEventAt(logrus.WarnLevel, logevent.ProofMissing, now, logrus.Fields{
		logfield.Asked: asked, logfield.Answered: answered, logfield.Members: len(g.members),
		logfield.Unresponsive: g.isPrimaryUnresponsive(now),
	})
}

// endProofMissing notes that a leadership proof was obtained. The caller holds the lock.
func (g *group) endProofMissing() {
	if g.proofLog.missing {
		g.proofLog.missing = false
		g.markUnsettled(unsettledProof)
	}
}

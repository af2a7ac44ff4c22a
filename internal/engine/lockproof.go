package engine

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/leadership"
)

const (
	// recordInterval is the least time between two reads of the record of the promotion lock. After recordAttempts
	// reads without a proof it is lateRecordInterval: the lock is held for seconds at most, and a term that is not
	// known stays unknown for long.
	recordInterval     = 200 * time.Millisecond
	recordAttempts     = 20
	lateRecordInterval = 2 * time.Second
	// recordTimeout bounds one read. A later answer would not prove anything.
	recordTimeout = leadership.ProofValidity
	// settleInterval is the least time between two attempts to have the record state the term.
	settleInterval = 2 * time.Second
	// settledInterval is the same once the record is known to have stated the term. A promotion with an unknown outcome
	// and a restored store take the term away.
	settledInterval = 30 * time.Second
)

// recordReads is what a daemon knows of its reads of the record of the promotion lock of one group.
type recordReads struct {
	// running is true during a read, failed the number of reads since the last one that gave a proof, and since the
	// term changed.
	running bool
	failed  int
	// endedAt is the time of the boot clock at which the last read ended.
	endedAt time.Duration
	// promoted is the last term that a promotion of this daemon led to; 0 for none.
	promoted uint64
	// settled is the last term that the record is known to have stated, settlingAt the time of the boot clock of the
	// last attempt to have it state one; 0 for none.
	settled    uint64
	settlingAt time.Duration
}

// mayRead reports whether the record may be read now.
func (r *recordReads) mayRead(now time.Duration) bool {
	interval := recordInterval
	if r.failed >= recordAttempts {
		interval = lateRecordInterval
	}
	return !r.running && (r.endedAt == 0 || now-r.endedAt >= interval)
}

// leavesRecordToHolder reports whether the daemon that holds the primary is expected to read the record and to pass its
// proof on. All others at once would be too many calls to the store. The caller holds the lock.
func (g *group) leavesRecordToHolder(now time.Duration) bool {
	unprovedSince := max(g.termSeenAt, g.provenUntil, g.recordReads.endedAt)
	return !g.fetchesProofs(g.members[g.primary]) && now-unprovedSince < lateRecordInterval
}

// requestRecord reads the record of the promotion lock in the background, at a bounded rate, because the targets give
// no proof. The caller holds the lock.
func (g *group) requestRecord() {
	now := clock.SinceBoot()
	if g.promotionLock == nil || g.isPrimaryUnresponsive(now) {
		return
	}
	if !g.recordReads.mayRead(now) || g.leavesRecordToHolder(now) {
		return
	}
	g.recordReads.running = true
	g.inBackground(g.proveByRecord)
}

// proveByRecord records the leadership proof that the record of the promotion lock gives.
func (g *group) proveByRecord() {
	askedAt := clock.SinceBoot()
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	settled, err := g.promotionLock.SettledTerm(ctx, g.name)
	cancel()
	g.mu.Lock()
	defer g.mu.Unlock()
	proof, ok := leadership.ProvenByRecord(g.statuses[g.primary], g.primary, g.term, settled, askedAt)
	g.recordReads.running, g.recordReads.endedAt = false, clock.SinceBoot()
	if err != nil || !ok {
		g.recordReads.failed++
		g.logProofEvent(logevent.ProofNotOfRecord, clock.SinceBoot(), logrus.Fields{logfield.Error: err})
		return
	}
	g.recordReads.failed, g.recordReads.settled = 0, settled
	g.recordProof(proofOrigin{proofOfRecord, proof.Witness}, proof.At)
	g.sampleStatus()
}

// beginSettling reports whether the record of the promotion lock is to be completed now, because this daemon is the
// first that judges the primary or holds it, or could not start another chain of proofs. Nothing else can state the
// term when no promotion of this era of the store has been finished.
func (g *group) beginSettling() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.SinceBoot()
	r, m := &g.recordReads, g.members[g.primary]
	interval := settleInterval
	if r.settled == g.term {
		interval = settledInterval
	}
	isDue := r.settlingAt == 0 || now-r.settlingAt >= interval
	isUsed := g.provenUntil > now && now-g.proofUsedAt < unusedAfter && g.keepsProofs(m)
	if !isDue || !isUsed {
		return false
	}
	if g.judgeRank != 0 && m.gate == nil && r.promoted != g.term && g.mayStartChain(now) {
		return false
	}
	r.settlingAt = now
	return true
}

// settle has the record of the promotion lock state the term in which the primary of a group is proved to lead. No
// promotion of this daemon runs meanwhile: both use its hold of the lock.
func (e *Engine) settle(g *group) {
	if e.options.LockSettler == nil || e.stopping.Load() {
		return
	}
	if _, began := g.beginPromotion(); !began {
		return
	}
	e.promotions.Add(1)
	defer e.promotions.Done()
	term := g.presumedTerm()
	err := e.options.LockSettler.Settle(e.ctx, g.name, g.proveAnew)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.promoting = false
	if err == nil {
		g.recordReads.settled = term
	}
	g.log().WithField(logfield.Error, err).Debug(logevent.DutySettled)
}

// proveAnew returns the term of the presumed primary if that can be proved now.
func (g *group) proveAnew() (uint64, bool) {
	term := g.presumedTerm()
	isProved := g.renewProof()
	return term, isProved && g.presumedTerm() == term
}

// keepsProofs reports whether this daemon keeps the chain of proofs of a primary: it fetches its proofs, or has
// promoted it and may be the only one that could start a chain. The caller holds the lock.
func (g *group) keepsProofs(m *member) bool {
	return g.fetchesProofs(m) || m != nil && g.recordReads.promoted == g.term
}

// recordPromoted records that a promotion which this daemon ordered under the promotion lock is complete. The status is
// that of the target: while the lock was held, nobody else can have begun a later promotion.
func (g *group) recordPromoted(target string, s leadership.Status, lockedUntil time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordStatuses(map[string]leadership.Status{target: s})
	g.updatePrimary()
	if g.primary == target && g.term == s.Term && s.AskedAt < lockedUntil {
		g.recordReads.promoted = s.Term
		g.recordProof(proofOrigin{proofOfPromotion, target}, s.AskedAt)
	}
}

package engine

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

const (
	// receiptHedgeDelay is the time without an answer from a replica after which the next one is asked as well.
	receiptHedgeDelay = 50 * time.Millisecond
	// minReceiptRetry and maxReceiptRetry bound the time after which a replica is asked again that had not received the
	// commits that wait, or did not answer. The time doubles with each such call.
	minReceiptRetry = 4 * time.Millisecond
	maxReceiptRetry = 64 * time.Millisecond
)

// commitWaits are the commits of a group that the primary has acknowledged and that are not confirmed.
type commitWaits struct {
	// count is the number of those that wait, and latest the last of their positions.
	count  int
	latest api.Position
}

// receiptCall is the state of a daemon's calls to a replica for the commits that it has received. Times are those of
// the boot clock.
type receiptCall struct {
	// askedAt is the time at which the call in progress began; 0 for none.
	askedAt time.Duration
	// retryAt is the time before which the replica is not asked again, and misses the number of consecutive calls that
	// showed nothing new.
	retryAt time.Duration
	misses  int
}

// begin records that a call begins.
func (c *receiptCall) begin(now time.Duration) { c.askedAt = now }

// end records that the call in progress has ended. advanced is true if the replica has received more than before.
func (c *receiptCall) end(now time.Duration, advanced bool) {
	if advanced {
		*c = receiptCall{}
		return
	}
	retry := min(minReceiptRetry<<min(c.misses, 10), maxReceiptRetry)
	*c = receiptCall{retryAt: now + retry, misses: c.misses + 1}
}

// awaitCommit waits until the commit of an outcome at m is confirmed: a replica that each promotion asks has it, and m
// is proved to lead the term. The acknowledgement alone is not enough, because the replica that received the commit may
// be one that no promoter knows. It returns false as awaitProof does. It is true at once if the holder of m has
// confirmed the commit, or if commits wait for no replica.
func (g *group) awaitCommit(m *member, term uint64, outcome attemptResult, deadline time.Time) bool {
	if outcome.confirmed || !g.waitsForReplica() {
		return true
	}
	position := outcome.reply.Position
	g.recordLed(m, position, outcome.askedAt)
	for {
		g.mu.Lock()
		now, changed := clock.SinceBoot(), g.changed
		leads, proved := g.members[g.primary] == m && g.term == term, g.provenUntil > now
		confirmed := leads && proved && g.isConfirmed(position, now)
		if leads && proved {
			g.useProof(m)
		}
		g.mu.Unlock()
		if !leads || confirmed {
			return confirmed
		}
		if !g.awaitReceipt(position, proved, changed, deadline) {
			g.logUnconfirmed(position)
			return false
		}
	}
}

// waitsForReplica reports whether the primary acknowledges no commit before a replica has received it.
func (g *group) waitsForReplica() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limits.SyncReplicas > 0
}

// recordLed records that m has acknowledged a commit that was sent at askedAt: no target does unless it leads.
func (g *group) recordLed(m *member, position api.Position, askedAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.name == g.primary && position.Term == g.term && askedAt > m.restartedAt {
		g.ledAt = max(g.ledAt, askedAt)
	}
}

// needsAllReceipts reports whether all replicas have to have a commit: the daemon has not followed their entries for so
// long that promoters elsewhere may have given one of them up. The caller holds the lock.
func (g *group) needsAllReceipts() bool { return g.directoryFailingFor() >= maxUnlistedChain }

// isConfirmed reports whether replicas that each promotion asks have the log up to a position. The caller holds the
// lock.
func (g *group) isConfirmed(position api.Position, now time.Duration) bool {
	return takeover.IsConfirmed(g.receivers(now), g.term, position, g.needsAllReceipts())
}

// receivers returns the replicas of the group. The caller holds the lock.
func (g *group) receivers(now time.Duration) map[string]takeover.Receiver {
	receivers := make(map[string]takeover.Receiver, len(g.members))
	for name, m := range g.members {
		if name != g.primary {
			receivers[name] = takeover.Receiver{
				Status: g.statuses[name], Leaving: m.target.Leaving, Silent: m.gaveNoStatus || now < m.recentFailureUntil,
			}
		}
	}
	return receivers
}

// awaitReceipt asks for what a commit lacks, a receipt and perhaps a proof, and waits until the group changes. It
// returns false at the deadline.
func (g *group) awaitReceipt(position api.Position, proved bool, changed <-chan struct{}, deadline time.Time) bool {
	g.mu.Lock()
	g.commits.count++
	g.commits.latest = g.commits.latest.Max(position)
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.commits.count--; g.commits.count == 0 {
			g.commits.latest = api.Position{}
		}
	}()
	signal(g.receiptRequests)
	if proved {
		return awaitChange(changed, deadline)
	}
	return g.awaitProofChange(changed, deadline)
}

// serveReceipts asks replicas for what they have received while commits wait for it, until ctx ends. One call serves
// all commits that were acknowledged before it was sent.
func (g *group) serveReceipts(ctx context.Context) {
	timer := time.NewTimer(maxReceiptRetry)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.receiptRequests:
		case <-timer.C:
		}
		if wait := g.askReceivers(); wait > 0 {
			timer.Reset(wait)
		}
	}
}

// askReceivers begins calls to the replicas that are to be asked now, and returns the time after which there may be
// others; 0 if nothing waits. The first replica is asked, and each next one while those before it do not answer soon or
// have not received the commits. All are asked at once if all have to have them.
func (g *group) askReceivers() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.SinceBoot()
	if g.commits.count == 0 || g.isConfirmed(g.commits.latest, now) {
		return 0
	}
	wait := maxReceiptRetry
	for _, m := range g.receiverOrder(now) {
		call := &m.receipt
		if call.askedAt == 0 && now < call.retryAt {
			wait = min(wait, call.retryAt-now)
			continue
		}
		if call.askedAt == 0 {
			call.begin(now)
			g.inBackground(func() { g.askReceipt(m) })
		}
		if hedgeIn := call.askedAt + receiptHedgeDelay - now; hedgeIn > 0 && !g.needsAllReceipts() {
			return min(wait, hedgeIn)
		}
	}
	return wait
}

// receiverOrder returns the replicas whose receipt confirms commits, in the order in which they are asked: those that
// failed recently last, and otherwise as witnesses of proofs. The caller holds the lock.
func (g *group) receiverOrder(now time.Duration) []*member {
	var order []*member
	for _, name := range takeover.Confirming(g.receivers(now)) {
		order = append(order, g.members[name])
	}
	slices.SortFunc(order, func(a, b *member) int {
		hasFailed := now < a.recentFailureUntil
		switch {
		case a == b:
			return 0
		case hasFailed == (now < b.recentFailureUntil) && g.isBetterWitness(a, b), !hasFailed && now < b.recentFailureUntil:
			return -1
		}
		return 1
	})
	return order
}

// askReceipt makes a status call to a replica and applies the answer.
func (g *group) askReceipt(m *member) {
	statuses := g.askAll(map[string]*member{m.name: m}, statusTimeout)
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.statuses[m.name].Received
	g.recordStatuses(statuses)
	g.updatePrimary()
	g.applyProof()
	m.receipt.end(clock.SinceBoot(), g.statuses[m.name].Received.Compare(before) > 0)
	g.broadcast()
	signal(g.receiptRequests)
}

// logUnconfirmed logs that the outcome of a commit which the primary has acknowledged is unknown, at a bounded rate.
func (g *group) logUnconfirmed(position api.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.SinceBoot()
	var received api.Position
	confirming := takeover.Confirming(g.receivers(now))
	for _, name := range confirming {
		if s := g.statuses[name]; s.Role == leadership.RoleReplica {
			received = received.Max(s.Received)
		}
	}
	g.logProofEventAt(logrus.WarnLevel, logevent.CommitNotReceived, now, logrus.Fields{
		logfield.Position: position, logfield.Received: received, logfield.Members: len(confirming),
		logfield.Waiting: g.commits.count,
	})
}

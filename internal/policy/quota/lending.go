package quota

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/papayacove/papayacove/api"
)

const (
	// minAvoidance and maxAvoidance bound the time for which a coordinator that did not answer is not asked. It doubles
	// with each failure.
	minAvoidance = 250 * time.Millisecond
	maxAvoidance = 2 * time.Second
	// startRetry is the time between two requests to a candidate that has not answered since the start.
	startRetry = 100 * time.Millisecond
	// moveWithin is the time within which the daemons move a share, one after the other, back to a coordinator that answers
	// again. A share that moves is lent to nobody for a while.
	moveWithin = 10 * time.Second
	// answerTimeMemory is the number of answers over which the time that they take is averaged.
	answerTimeMemory = 8
	// An answer is overdue after overdueFactor times the usual time, and minOverdue at least.
	overdueFactor = 4
	minOverdue    = 20 * time.Millisecond
	// unlimited is the end of a right that is not lent.
	unlimited = time.Duration(math.MaxInt64)
)

// lending decides to whom a daemon lends its rights. A right is lent to one start of one coordinator at a time, and is the
// daemon's own again LendFor after the daemon received the stamp that it echoed last.
type lending struct {
	name string
	// startedAt is the time at which the daemon started.
	startedAt time.Duration
	// answered holds the candidates that have answered since the start.
	answered map[string]firstAnswer
	weight   float64
	interval time.Duration
	// home is the lane of the daemon, fractions the part of its rights that it lends in each lane.
	home      int
	fractions [Lanes]float64
	shares    [Lanes]share
	// own holds the rights that are not lent.
	own    *rights
	stamps map[string]stamp
	avoids map[string]avoidance
	asked  map[string]time.Duration
	// movedAt is when the address of a daemon changed. The process at the old one may still run.
	movedAt map[string]time.Duration
	// limits is true if any workspace has a limit.
	limits bool
	// knowsBorrowers is true if an earlier start of the daemon can have lent its rights to none but the candidates and the
	// earlierCandidates.
	knowsBorrowers    bool
	earlierCandidates []string
}

// share is the state of the rights of one lane.
type share struct {
	order []string
	// startAt is the time before which the daemon has no rights, since an earlier start of it may have lent them.
	startAt time.Duration
	// unused is the time before the daemon first owned the rights for which they filled no bucket, until they are lent.
	unused time.Duration
	// freeAt is the time before which rights that moved here from another lane may still be lent there.
	freeAt time.Duration
	// to and incarnation tell whom the rights are lent to; until is when they are the daemon's own again.
	to          string
	incarnation uint64
	until       time.Duration
	// moveAt is the time from which the share is lent to a coordinator that is earlier in the order; 0 if there is none.
	moveAt time.Duration
	// owns is true while the rights fill the daemon's own buckets.
	owns bool
}

// stamp is the last stamp of a coordinator, and when it was received.
type stamp struct {
	incarnation uint64
	us          int64
	receivedAt  time.Duration
	// answerTime is the moving average of the time that the coordinator takes to answer.
	answerTime time.Duration
}

// avoidance says until when a coordinator is not asked, after how many failures.
type avoidance struct {
	until    time.Duration
	failures int
}

func newLending(name string, startAt time.Duration) *lending {
	l := &lending{
		name: name, startedAt: startAt - LendFor, interval: shortRenewal, answered: make(map[string]firstAnswer),
		own: newRights(), stamps: make(map[string]stamp), avoids: make(map[string]avoidance), asked: make(map[string]time.Duration), movedAt: make(map[string]time.Duration),
	}
	for i := range l.shares {
		l.shares[i].startAt = startAt
	}
	return l
}

func (l *lending) setBuckets(buckets map[string]Bucket, now time.Duration) {
	l.limits = len(buckets) > 0
	l.own.setBuckets(buckets, now)
}

func (l *lending) setFleet(weight float64, home int, orders [Lanes][]string, now time.Duration) {
	l.takeBack(now)
	l.weight, l.home = weight, home
	l.setFractions(fractionsOf(weight, home), now)
	daemons := make(map[string]bool)
	for i := range l.shares {
		l.shares[i].order = orders[i]
		for _, name := range orders[i] {
			daemons[name] = true
		}
	}
	for name := range l.stamps {
		if !daemons[name] {
			delete(l.stamps, name)
			delete(l.avoids, name)
			delete(l.asked, name)
			delete(l.movedAt, name)
		}
	}
	for i := range l.shares {
		if l.shares[i].owns {
			l.setOwn(i, l.weightOf(i), now)
		}
	}
	l.settle(now)
	l.takeBack(now)
}

func (l *lending) setOwn(i int, weight float64, now time.Duration) {
	l.own.set(i, l.name, right{weight: weight, until: unlimited}, now)
}

// takeBack makes rights whose loan has ended the daemon's own.
func (l *lending) takeBack(now time.Duration) {
	for i := range l.shares {
		s := &l.shares[i]
		if !s.owns && now >= max(s.startAt, s.freeAt, s.until) {
			s.owns, s.to = true, ""
			l.setOwn(i, l.weightOf(i), now)
		}
	}
}

// spendOwn spends a token of the rights that are not lent.
func (l *lending) spendOwn(workspace string, now time.Duration) bool {
	l.takeBack(now)
	s := l.own.stockOf(workspace, now)
	if s == nil || s.tokens < 1 {
		return false
	}
	s.tokens--
	// What the rights would have filled before counts no more, since a token and that together may be more than the depth.
	for i := range l.shares {
		l.shares[i].unused = 0
	}
	return true
}

// ownWeight returns the part of the limits that is not lent.
func (l *lending) ownWeight(now time.Duration) float64 {
	l.takeBack(now)
	return l.own.weight
}

// successor returns the coordinator that a share is to be lent to next; empty for none. It is the first one that is not
// avoided, but one that the share is lent to remains until moveAt.
func (l *lending) successor(i int, now time.Duration) string {
	if s := l.shares[i]; now < s.moveAt && l.isUsable(s, now) {
		return s.to
	}
	return l.first(i, now)
}

// first returns the first coordinator of a share that is not avoided; empty for none.
func (l *lending) first(i int, now time.Duration) string {
	for _, name := range l.shares[i].order {
		if !l.isAvoided(name, now) {
			return name
		}
	}
	return ""
}

// isUsable reports whether a share is lent to a coordinator that may keep it.
func (l *lending) isUsable(s share, now time.Duration) bool {
	return s.to != "" && now < s.until-TokensValidFor && !l.isAvoided(s.to, now) && slices.Contains(s.order, s.to)
}

// plan sets when shares move to a coordinator that is earlier in their order.
func (l *lending) plan(now time.Duration) {
	for i := range l.shares {
		s := &l.shares[i]
		switch {
		case l.first(i, now) == s.to || !l.isUsable(*s, now):
			s.moveAt = 0
		case s.moveAt == 0:
			s.moveAt = now + time.Duration(xxhash.Sum64String(fmt.Sprint(l.name, i))%uint64(moveWithin))
		}
	}
}

// coordinator returns the coordinator to ask for tokens of a share: the one that the rights are lent to while it counts
// them, and its successor otherwise; empty for none.
func (l *lending) coordinator(i int, now time.Duration) string {
	s := l.shares[i]
	if l.isUsable(s, now) {
		return s.to
	}
	return l.successor(i, now)
}

// isOverdue reports whether a request to a coordinator is under way for much longer than its answers usually take.
func (l *lending) isOverdue(name string, now time.Duration) bool {
	asked, ok := l.asked[name]
	hasFailed := l.avoids[name].until > asked
	return ok && !hasFailed && asked > l.stamps[name].receivedAt && now-asked >= l.overdueAfter(name)
}

// overdueAfter returns the time after which a coordinator that has not answered is overdue.
func (l *lending) overdueAfter(name string) time.Duration {
	return min(max(overdueFactor*l.stamps[name].answerTime, minOverdue), CallTimeout)
}

func (l *lending) isAvoided(name string, now time.Duration) bool { return now < l.avoids[name].until }

// avoid records that a coordinator did not answer.
func (l *lending) avoid(name string, now time.Duration) {
	a := l.avoids[name]
	a.until = now + min(minAvoidance<<min(a.failures, 8), maxAvoidance)
	a.failures++
	l.avoids[name] = a
}

// due returns the coordinators of shares that have not been asked for an interval.
func (l *lending) due(now time.Duration) []string {
	if !l.limits {
		return nil
	}
	l.takeBack(now)
	l.plan(now)
	var due []string
	for i, s := range l.shares {
		if l.fractions[i] == 0 && s.to == "" {
			continue
		}
		for _, name := range []string{l.successor(i, now), l.coordinator(i, now)} {
			if name != "" && !l.isAskedOfLate(name, s.startAt, now) && !slices.Contains(due, name) {
				due = append(due, name)
			}
		}
		if now >= s.startAt {
			continue
		}
		for _, name := range l.unanswered(s) {
			asked, ok := l.asked[name]
			if (!ok || now-asked >= startRetry) && !slices.Contains(due, name) {
				due = append(due, name)
			}
		}
	}
	return due
}

// isAskedOfLate reports whether a coordinator was sent a request within the interval. The first loan of a share, which
// starts at startAt, does not wait for it.
func (l *lending) isAskedOfLate(name string, startAt, now time.Duration) bool {
	asked, ok := l.asked[name]
	return ok && now-asked < l.interval && !(asked < startAt && now >= startAt)
}

// delegations returns what is lent with a request to a coordinator.
func (l *lending) delegations(coordinator string, now time.Duration) []api.QuotaDelegation {
	l.asked[coordinator] = now
	l.takeBack(now)
	last, known := l.stamps[coordinator]
	if !known || now >= last.receivedAt+LendFor-TokensValidFor {
		return nil
	}
	var list []api.QuotaDelegation
	for i := range l.shares {
		s := &l.shares[i]
		isLentElsewhere := !s.owns && (s.to != coordinator || s.incarnation != last.incarnation)
		if l.successor(i, now) != coordinator || isLentElsewhere || now < s.freeAt || l.weightOf(i) == 0 {
			continue
		}
		l.setOwn(i, 0, now)
		s.owns, s.to, s.incarnation, s.until = false, coordinator, last.incarnation, max(s.until, last.receivedAt+LendFor)
		list = append(list, api.QuotaDelegation{
			Partition: i, Weight: l.weightOf(i), UnusedUs: s.unused.Microseconds(), EchoIncarnation: last.incarnation, EchoStampUs: last.us,
		})
		s.unused = 0
	}
	return list
}

// recordReply takes in the stamp of a coordinator.
func (l *lending) recordReply(coordinator string, reply *api.QuotaReply, sentAt, now time.Duration) {
	if reply.Ended {
		l.takeBackFrom(coordinator, reply.Incarnation, now)
		return
	}
	delete(l.avoids, coordinator)
	l.endLoans(coordinator, reply.Incarnation, now)
	answerTime := now - sentAt
	if last, ok := l.stamps[coordinator]; ok {
		answerTime = last.answerTime + (answerTime-last.answerTime)/answerTimeMemory
	}
	l.stamps[coordinator] = stamp{incarnation: reply.Incarnation, us: reply.StampUs, receivedAt: now, answerTime: answerTime}
	if _, ok := l.answered[coordinator]; ok {
		return
	}
	up := min(max(0, time.Duration(reply.UpUs)*time.Microsecond), now)
	answer := firstAnswer{unusedSince: now - up}
	if reply.Released {
		answer = firstAnswer{spentUntil: now + TokensValidFor, unusedSince: now + TokensValidFor}
	}
	l.answered[coordinator] = answer
	l.settle(now)
}

// takeBackFrom ends what is lent to a start of a coordinator that stops as planned and counts it no more.
func (l *lending) takeBackFrom(coordinator string, incarnation uint64, now time.Duration) {
	l.avoids[coordinator] = avoidance{until: now + LendFor}
	l.shorten(coordinator, func(lentTo uint64) bool { return lentTo == incarnation }, now)
}

// endLoans ends what is lent to an earlier start of a coordinator, since the later one has its address. It does not where the
// address has changed.
func (l *lending) endLoans(coordinator string, incarnation uint64, now time.Duration) {
	if moved, ok := l.movedAt[coordinator]; ok && now < moved+LendFor {
		return
	}
	l.shorten(coordinator, func(lentTo uint64) bool { return lentTo != incarnation }, now)
}

// shorten ends the loans to those starts of a coordinator that no longer count them: what they granted expires within
// TokensValidFor.
func (l *lending) shorten(coordinator string, hasEnded func(incarnation uint64) bool, now time.Duration) {
	for i := range l.shares {
		s := &l.shares[i]
		if s.to == coordinator && hasEnded(s.incarnation) {
			s.until = min(s.until, now+TokensValidFor)
		}
	}
}

package quota

import (
	"math"
	"slices"
	"time"

	"github.com/papayacove/papayacove/api"
)

const (
	// minAvoidance and maxAvoidance bound the time for which a coordinator that did not answer is not asked. It doubles
	// with each failure.
	minAvoidance = time.Second
	maxAvoidance = 8 * time.Second
	// unlimited is the end of a right that is not lent.
	unlimited = time.Duration(math.MaxInt64)
)

// lending decides to whom a daemon lends its rights. A right is lent to one start of one coordinator at a time, and is the
// daemon's own again LendFor after the daemon received the stamp that it echoed last.
type lending struct {
	name string
	// startAt is the time before which the daemon has no rights.
	startAt  time.Duration
	weight   float64
	interval time.Duration
	shares   [Shares]share
	// own holds the rights that are not lent.
	own    [Partitions]*rights
	stamps map[string]stamp
	avoids map[string]avoidance
	asked  map[string]time.Duration
	// limits is true if any workspace has a limit.
	limits bool
}

// share is the state of the rights of one partition and lane.
type share struct {
	order []string
	// to and incarnation tell whom the rights are lent to; until is when they are the daemon's own again.
	to          string
	incarnation uint64
	until       time.Duration
	// owns is true while the rights fill the daemon's own buckets.
	owns bool
}

// stamp is the last stamp of a coordinator, and when it was received.
type stamp struct {
	incarnation uint64
	us          int64
	receivedAt  time.Duration
}

// avoidance says until when a coordinator is not asked, after how many failures.
type avoidance struct {
	until    time.Duration
	failures int
}

func newLending(name string, startAt time.Duration) *lending {
	l := &lending{
		name: name, startAt: startAt, interval: shortRenewal,
		stamps: make(map[string]stamp), avoids: make(map[string]avoidance), asked: make(map[string]time.Duration),
	}
	for i := range l.own {
		l.own[i] = newRights()
	}
	return l
}

func (l *lending) setBuckets(buckets map[string]Bucket, now time.Duration) {
	l.limits = len(buckets) > 0
	for i, part := range split(buckets) {
		l.own[i].setBuckets(part, now)
	}
}

func (l *lending) setFleet(weight float64, orders [Shares][]string, now time.Duration) {
	l.weight = weight
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
		}
	}
	for i := range l.shares {
		if l.shares[i].owns {
			l.setOwn(i, weight/Lanes, now)
		}
	}
	l.takeBack(now)
}

func (l *lending) setOwn(i int, weight float64, now time.Duration) {
	l.own[i/Lanes].set(i%Lanes, l.name, right{weight: weight, until: unlimited}, now)
}

// takeBack makes rights whose loan has ended the daemon's own.
func (l *lending) takeBack(now time.Duration) {
	if now < l.startAt {
		return
	}
	for i := range l.shares {
		s := &l.shares[i]
		if !s.owns && now >= s.until {
			s.owns, s.to = true, ""
			l.setOwn(i, l.weight/Lanes, now)
		}
	}
}

// spendOwn spends a token of the rights that are not lent.
func (l *lending) spendOwn(workspace string, now time.Duration) bool {
	l.takeBack(now)
	s := l.own[PartitionOf(workspace)].stockOf(workspace, now)
	if s == nil || s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// ownWeight returns the part of the limits that is not lent.
func (l *lending) ownWeight(now time.Duration) float64 {
	l.takeBack(now)
	var sum float64
	for _, own := range l.own {
		sum += own.weight
	}
	return sum / Partitions
}

// successor returns the first coordinator of a share that is not avoided; empty for none.
func (l *lending) successor(i int, now time.Duration) string {
	for _, name := range l.shares[i].order {
		if !l.isAvoided(name, now) {
			return name
		}
	}
	return ""
}

// coordinator returns the coordinator to ask for tokens of a share: the one that the rights are lent to while it counts
// them, and its successor otherwise; empty for none.
func (l *lending) coordinator(i int, now time.Duration) string {
	s := l.shares[i]
	if s.to != "" && now < s.until-TokensValidFor && !l.isAvoided(s.to, now) && slices.Contains(s.order, s.to) {
		return s.to
	}
	return l.successor(i, now)
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
	var due []string
	for i := range l.shares {
		for _, name := range []string{l.successor(i, now), l.coordinator(i, now)} {
			asked, ok := l.asked[name]
			if name != "" && (!ok || now-asked >= l.interval) && !slices.Contains(due, name) {
				due = append(due, name)
			}
		}
	}
	return due
}

// delegations returns what is lent with a request to a coordinator.
func (l *lending) delegations(coordinator string, now time.Duration) []api.QuotaDelegation {
	l.asked[coordinator] = now
	l.takeBack(now)
	last, known := l.stamps[coordinator]
	if !known || now < l.startAt || now >= last.receivedAt+LendFor-TokensValidFor {
		return nil
	}
	var list []api.QuotaDelegation
	for i := range l.shares {
		s := &l.shares[i]
		isLentElsewhere := !s.owns && (s.to != coordinator || s.incarnation != last.incarnation)
		if l.successor(i, now) != coordinator || isLentElsewhere {
			continue
		}
		l.setOwn(i, 0, now)
		s.owns, s.to, s.incarnation, s.until = false, coordinator, last.incarnation, max(s.until, last.receivedAt+LendFor)
		list = append(list, api.QuotaDelegation{Partition: i, Weight: l.weight / Lanes, EchoIncarnation: last.incarnation, EchoStampUs: last.us})
	}
	return list
}

// recordReply takes in the stamp of a coordinator.
func (l *lending) recordReply(coordinator string, incarnation uint64, us int64, now time.Duration) {
	delete(l.avoids, coordinator)
	l.stamps[coordinator] = stamp{incarnation: incarnation, us: us, receivedAt: now}
}

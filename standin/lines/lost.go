package lines

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/papayacove/papayacove/internal/result"
)

// LostBounds are the bounds of the rule that a daemon answers the requests that it has read around planned work.
type LostBounds struct {
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// Contact is the time without a disruption before a request.
	Contact time.Duration
	// Slack is the time within which a connection may end after a request that no target received.
	Slack time.Duration
	// ConfigApply is the time in which settings and configurations come into force.
	ConfigApply time.Duration
}

// LostBounds returns the bounds of a fleet.
func (f *Fleet) LostBounds() LostBounds {
	return LostBounds{
		Grace: f.gracePeriod(), Contact: 4 * time.Second, Slack: 200 * time.Millisecond, ConfigApply: FleetBounds.ConfigApply,
	}
}

const (
	// afterGrace is the time after the grace period, and after a configuration is in force, that belongs to the planned
	// work.
	afterGrace = time.Second
	// longRequestWithin is the time after SIGTERM up to which a request may be sent whose target still works at the end.
	longRequestWithin = 3 * time.Second
	// maxCutRatio is the ratio of the shares of requests that are cut beside configurations and at other times.
	maxCutRatio = 3
	// closingAfter is the time after SIGTERM, or half of the grace period if that is less, from which sessions are closed.
	closingAfter = 2200 * time.Millisecond
)

// lostCheck is the check of the requests of callers against planned work.
type lostCheck struct {
	records  Records
	work     PlannedWork
	bounds   LostBounds
	attempts map[string][]Attempt
}

func newLostCheck(r Records, work PlannedWork, bounds LostBounds) lostCheck {
	c := lostCheck{r, work, bounds, map[string][]Attempt{}}
	for _, a := range r.attempts {
		c.attempts[a.ID] = append(c.attempts[a.ID], a)
	}
	return c
}

// Unanswered returns each request whose connection ended without a whole answer around planned work: one that a target
// received, or whose connection ended later than the slack after its last byte was sent. Whether a daemon has read a
// request that no target received can't be seen from outside; one that finds its connection closed ends within the
// slack. others are those that ended so beside a disruption, or while no planned work was done at their daemon. A
// disruption of any part counts for all daemons.
func (r Records) Unanswered(work PlannedWork, bounds LostBounds) (breaches, others []string) {
	c := newLostCheck(r, work, bounds)
	frequent := c.cutsWithConfigurations()
	for _, id := range sortedNames(r.sent) {
		s := r.sent[id]
		if !c.isCut(id, s) {
			continue
		}
		if c.isDisrupted(s) {
			others = append(others, c.describe(id, s, "beside a disruption"))
			continue
		}
		switch reason := c.plannedWork(id, s, frequent[s.daemon]); reason {
		case "":
			others = append(others, c.describe(id, s, "no planned work"))
		case excused:
		default:
			breaches = append(breaches, c.describe(id, s, reason))
		}
	}
	return breaches, others
}

// isCut reports whether the connection of a request ended without a whole answer, although no target broke off and its
// time was not over.
func (c lostCheck) isCut(id string, s sent) bool {
	if s.endedAt.IsZero() || s.lastByteAt.IsZero() {
		return false
	}
	used, attempts := s.endedAt.Sub(s.lastByteAt), c.attempts[id]
	if len(attempts) == 0 && used <= c.bounds.Slack {
		return false
	}
	return !endsBrokenOff(attempts) && used < c.timeout(s.lastByteAt, s.endedAt)
}

// endsBrokenOff reports whether the target broke off in the last attempt of a request. An earlier one is no excuse.
func endsBrokenOff(attempts []Attempt) bool {
	if len(attempts) == 0 {
		return false
	}
	return slices.MaxFunc(attempts, func(a, b Attempt) int { return a.ArrivedAt.Compare(b.ArrivedAt) }).BrokeOff
}

// isDisrupted reports whether there was a disruption from the contact time before a request to its end.
func (c lostCheck) isDisrupted(s sent) bool {
	return overlaps(c.work.disruptions, s.lastByteAt.Add(-c.bounds.Contact), s.endedAt)
}

func overlaps(list []disruption, from, to time.Time) bool {
	return slices.ContainsFunc(list, func(d disruption) bool {
		return d.from.Before(to) && (d.to.IsZero() || d.to.After(from))
	})
}

// timeout returns the shortest time limit that may have been in force for a request.
func (c lostCheck) timeout(from, to time.Time) time.Duration {
	shortest := callTimeout
	for i, v := range c.work.configurations {
		replaced := i+1 < len(c.work.configurations) && c.inForce(c.work.configurations[i+1]).Before(from)
		if v.sentAt.Before(to) && !replaced && v.timeout > 0 {
			shortest = min(shortest, v.timeout)
		}
	}
	return shortest
}

// inForce returns the time from which only a version or later ones are in force.
func (c lostCheck) inForce(v configurationVersion) time.Time {
	if v.acknowledgedAt.IsZero() {
		return time.Now()
	}
	return v.acknowledgedAt.Add(c.bounds.ConfigApply)
}

// excused is the reason of a request that need not be answered.
const excused = "excused"

// plannedWork returns the planned work during which a request was cut, or excused; empty for none.
func (c lostCheck) plannedWork(id string, s sent, frequent bool) string {
	reason := ""
	for _, e := range c.signals(s.daemon) {
		since := s.endedAt.Sub(e.at)
		switch {
		case since < 0:
		case e.kind == eventTerminate && since <= c.bounds.Grace+afterGrace:
			if c.isStillAtWork(id, s, e.at) {
				reason = excused
				continue
			}
			return fmt.Sprintf("%v after SIGTERM", since.Round(time.Millisecond))
		case e.kind == eventHangup && !s.lastByteAt.After(e.at.Add(c.bounds.ConfigApply)):
			return fmt.Sprintf("%v after SIGHUP", since.Round(time.Millisecond))
		}
	}
	if v, ok := c.besideConfiguration(s); ok {
		used := s.endedAt.Sub(s.lastByteAt)
		if frequent && used < c.timeout(s.lastByteAt, s.endedAt)*7/10 {
			return fmt.Sprintf("%v after a configuration was sent", s.endedAt.Sub(v.sentAt).Round(time.Millisecond))
		}
		reason = excused
	}
	return reason
}

// signals returns the signals to a daemon, of several SIGTERM to one process only the first.
func (c lostCheck) signals(source string) []daemonEvent {
	var list []daemonEvent
	terminated := false
	for _, e := range c.work.events {
		switch {
		case e.source != source:
		case e.kind == eventStart:
			terminated = false
		case e.kind == eventTerminate && terminated, e.kind == eventEnd, e.kind == eventKill:
		default:
			terminated = terminated || e.kind == eventTerminate
			list = append(list, e)
		}
	}
	return list
}

// isStillAtWork reports whether a target was at work on a request in the last sixth of the grace period after SIGTERM,
// and the request was sent early enough for that to excuse the daemon.
func (c lostCheck) isStillAtWork(id string, s sent, signalAt time.Time) bool {
	end := signalAt.Add(c.bounds.Grace)
	last := end.Add(-c.bounds.Grace / 6)
	early := !s.lastByteAt.After(signalAt.Add(longRequestWithin))
	return early && slices.ContainsFunc(c.attempts[id], func(a Attempt) bool {
		return a.ArrivedAt.Before(end) && (a.EndedAt.IsZero() || a.EndedAt.After(last))
	})
}

// besideConfiguration returns the configuration beside which a request was cut.
func (c lostCheck) besideConfiguration(s sent) (configurationVersion, bool) {
	for _, v := range c.work.configurations {
		if !s.endedAt.Before(v.sentAt) && !s.endedAt.After(c.inForce(v).Add(afterGrace)) {
			return v, true
		}
	}
	return configurationVersion{}, false
}

// cutsWithConfigurations returns the daemons that cut a share of their requests beside configurations which is more
// than maxCutRatio times that at other times.
func (c lostCheck) cutsWithConfigurations() map[string]bool {
	type count struct{ cut, all int }
	beside, other := map[string]count{}, map[string]count{}
	for id, s := range c.records.sent {
		counts := other
		at := s
		if at.endedAt.IsZero() {
			at.endedAt = s.answeredAt
		}
		if _, ok := c.besideConfiguration(at); ok {
			counts = beside
		}
		n := counts[s.daemon]
		n.all++
		if c.isCut(id, s) && !c.isDisrupted(s) {
			n.cut++
		}
		counts[s.daemon] = n
	}
	frequent := map[string]bool{}
	for daemon, n := range beside {
		o := other[daemon]
		frequent[daemon] = n.cut*max(1, o.all) > maxCutRatio*o.cut*n.all
	}
	return frequent
}

// EndedEarly returns each transaction that a daemon ended in the first half of its grace period: a statement of it was
// refused or aborted for another reason than the load, or its connection ended. It counts only transactions that began
// before sessions are closed, without a disruption, a replacement or an error of a target, one that broke off, or a
// daemon in between that stops for longer.
func (r Records) EndedEarly(work PlannedWork, bounds LostBounds) []string {
	c := newLostCheck(r, work, bounds)
	sources, failed := c.transactions()
	var breaches []string
	for _, id := range sortedNames(r.sent) {
		s := r.sent[id]
		if s.transaction == 0 || s.end().IsZero() || !s.mayBeStopped() || failed[s.transaction] {
			continue
		}
		if since, ok := c.endedEarly(s, sources[s.transaction]); ok {
			reason := fmt.Sprintf("transaction ended %v after SIGTERM", since.Round(time.Millisecond))
			breaches = append(breaches, c.describe(id, s, reason))
		}
	}
	return breaches
}

// end returns the time of the whole answer, or of the end of the connection; zero for neither.
func (s sent) end() time.Time {
	if s.answeredAt.IsZero() {
		return s.endedAt
	}
	return s.answeredAt
}

// endedEarly returns how long after SIGTERM a statement ended its transaction; false if that was late enough or has
// another reason. sources are the daemons from which statements of the transaction arrived at targets.
func (c lostCheck) endedEarly(s sent, sources []string) (time.Duration, bool) {
	at, from := s.end(), s.transactionAt.Add(-c.bounds.Contact)
	if at.Sub(s.at) >= c.timeout(s.at, at) || overlaps(c.work.disruptions, from, at) || overlaps(c.work.replacements, from, at) {
		return 0, false
	}
	half := c.bounds.Grace / 2
	for _, e := range c.signals(s.daemon) {
		since := at.Sub(e.at)
		inHalf := e.kind == eventTerminate && since >= 0 && since < half
		if inHalf && s.transactionAt.Before(e.at.Add(min(closingAfter, half))) && !c.stopsLonger(sources, s.daemon, at) {
			return since, true
		}
	}
	return 0, false
}

// refusedByLoad are the codes of refusals that have their reason in the load and not in a stop.
var refusedByLoad = []result.Code{
	result.NotRunOverloaded, result.NotRunNoSlot, result.NotRunDeadline, result.NotRunConnectionLimit,
	result.NotRunOverQuota,
}

// mayBeStopped reports whether a statement was refused or aborted, or its connection ended, as a stop may cause it.
func (s sent) mayBeStopped() bool {
	if s.code != "BUSY" && s.code != "ABORTED" {
		return !s.endedAt.IsZero()
	}
	return !slices.ContainsFunc(refusedByLoad, func(code result.Code) bool {
		// A transaction that was rolled back after a refusal names the code of the refusal in its reason.
		return strings.HasPrefix(s.answer, fmt.Sprintf("papayacove %d ", int(code))) ||
			strings.Contains(s.answer, fmt.Sprintf(" rolled back: %s (%d): ", code, int(code)))
	})
}

// transactions returns the daemons from which statements of each transaction arrived at targets, and the transactions
// with an error of a target or a target that broke off.
func (c lostCheck) transactions() (sources map[uint64][]string, failed map[uint64]bool) {
	sources, failed = map[uint64][]string{}, map[uint64]bool{}
	for _, a := range c.records.attempts {
		s, ok := c.records.sent[a.ID]
		if !ok || s.transaction == 0 {
			continue
		}
		sources[s.transaction] = append(sources[s.transaction], a.Source)
		failed[s.transaction] = failed[s.transaction] || a.Code != "" || a.BrokeOff
	}
	return sources, failed
}

// stopsLonger reports whether a daemon that a transaction may have gone through, other than that of its caller, got
// SIGTERM half of the grace period before a time or earlier. Without a statement that arrived, it may have been any.
func (c lostCheck) stopsLonger(sources []string, daemon string, at time.Time) bool {
	return slices.ContainsFunc(c.work.events, func(e daemonEvent) bool {
		since := at.Sub(e.at)
		passed := len(sources) == 0 || slices.Contains(sources, e.source)
		stops := since >= c.bounds.Grace/2 && since <= c.bounds.Grace+afterGrace
		return e.kind == eventTerminate && e.source != daemon && passed && stops
	})
}

// maxDescribed is the longest text of a statement in a description.
const maxDescribed = 60

// describe describes a request with its reason and the targets that received it.
func (c lostCheck) describe(id string, s sent, reason string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: id %s %q, transaction %d, database %s, daemon %s, sent %s", reason, id,
		s.text[:min(len(s.text), maxDescribed)], s.transaction, s.database, s.daemon, s.lastByteAt.Format(recordTime))
	if s.endedAt.IsZero() {
		fmt.Fprintf(&b, ", answered %s %s %q", s.answeredAt.Format(recordTime), s.code, s.answer)
	} else {
		took := s.endedAt.Sub(s.lastByteAt).Round(100 * time.Microsecond)
		fmt.Fprintf(&b, ", connection ended %s (%v)", s.endedAt.Format(recordTime), took)
	}
	if len(c.attempts[id]) == 0 {
		b.WriteString(", at no target")
	}
	for _, a := range c.attempts[id] {
		end := "at work"
		if !a.EndedAt.IsZero() {
			end = a.EndedAt.Format(recordTime)
		}
		fmt.Fprintf(&b, ", at %s of %s from %s %s..%s code %q", a.Target, a.Group, a.Source,
			a.ArrivedAt.Format(recordTime), end, a.Code)
	}
	return b.String()
}

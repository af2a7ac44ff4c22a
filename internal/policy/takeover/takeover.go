// Package takeover decides when the primary of a group is replaced and by which target.
//
// A commit is acknowledged once one replica has received it; a replica whose receipt lets the primary acknowledge a
// commit is called an acknowledging replica. A target may therefore be promoted only if all acknowledging replicas
// are paused and it has the longest log among them, or if the old primary has stepped down and the target has all of
// the old primary's log.
package takeover

import (
	"slices"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/leadership"
)

const (
	// MissesBeforeTakeover and MissedTimeBeforeTakeover are the least number of consecutive status rounds, and the least
	// time from the start of the first to the end of the last, in which the primary did not answer or did not lead while
	// the replicas answered. Both must be reached before the primary is replaced.
	MissesBeforeTakeover     = 2
	MissedTimeBeforeTakeover = 500 * time.Millisecond
	// StallBeforeTakeover is the time after which the primary is replaced if none of the replicas has received a position
	// of its log.
	StallBeforeTakeover = 800 * time.Millisecond
	// PauseBeforeTakeover is the time after which the primary is replaced if all replicas stay paused: their promoter
	// ended or does not know whether its order takes effect. A promotion takes less.
	PauseBeforeTakeover = 2 * time.Second
	// ForgottenPause is the time after which a replica that is paused beside one that follows the primary is resumed,
	// unless it leaves: its promoter ended, or lost the promotion lock before it could resume it. Promotions end
	// earlier.
	ForgottenPause = 10 * time.Second
	// PromotionHoldTime is the time after a promotion in which no other promotion of the group begins.
	PromotionHoldTime = 2 * time.Second
)

// NothingOrdered stands for the term that a promotion led to if it ordered none, so that the term known before still
// holds.
const NothingOrdered uint64 = leadership.NoPromotion

const (
	// judgeInterval is the time by which the daemons that judge a primary, one in each availability zone, begin their
	// promotions apart, so that the first one is seen by the next.
	judgeInterval = 100 * time.Millisecond
	// judgeRoundInterval is the time after which the next daemons of all zones judge, because the first ones have not
	// replaced the primary: a promotion takes about as long.
	judgeRoundInterval = 1500 * time.Millisecond
)

// JudgeDelay returns the time for which a daemon waits before it replaces a primary that has failed. rank is the
// daemon's position among all, in the order of placement.SpreadOrder; zones is the number of availability zones.
func JudgeDelay(rank, zones int) time.Duration {
	zones = max(1, zones)
	return time.Duration(rank/zones)*judgeRoundInterval + time.Duration(rank%zones)*judgeInterval
}

// IsJudge reports whether a daemon is among the first that judge a primary.
func IsJudge(rank, zones int) bool { return rank < max(1, zones) }

// Reason is the cause for which a primary is replaced. It is written to logs.
type Reason string

// Reasons for which a primary is replaced.
const (
	ReasonNone         Reason = ""
	ReasonUnresponsive Reason = "primary_silent"
	ReasonNoPrimary    Reason = "no_target_leads"
	ReasonStalled      Reason = "replication_stalled"
	ReasonLeaving      Reason = "primary_leaving"
	// ReasonPaused replaces no primary: a replica stays paused beside one that follows, and is resumed under the
	// promotion lock.
	ReasonPaused Reason = "replica_stays_paused"
)

// PrimaryMonitor collects the signs of failure of the primary of one group over successive status rounds. Its zero
// value is ready to use. It is not safe for concurrent use.
type PrimaryMonitor struct {
	primary string
	// misses is the number of consecutive rounds in which the primary did not answer or did not lead.
	misses int
	// missedSince is the start of the first of these rounds.
	missedSince time.Duration
	// unreceived is the end of the primary's log that no replica had received at unreceivedSince; zero when a replica
	// had all of the log, or no replica answered.
	unreceived      api.Position
	unreceivedSince time.Duration
	// paused is true while all replicas are paused, and pausedSince the end of the first round that showed it.
	paused      bool
	pausedSince time.Duration
}

// StatusRound is the result of one status call to each target of the group.
type StatusRound struct {
	// Primary is the presumed primary; empty for none.
	Primary string
	// Statuses are the answers by target; a target that did not answer has no entry.
	Statuses map[string]leadership.Status
	// Members is the number of targets that were asked.
	Members int
	// Leaving is true when the primary has announced its shutdown.
	Leaving bool
	// StartedAt and EndedAt are the times at which the round started and ended.
	StartedAt time.Duration
	EndedAt   time.Duration
}

// IsUnresponsive reports whether the primary did not answer in the last conclusive round, or did not lead. A round in
// which the primary did not lead is inconclusive if fewer than Members-1 targets, or none, answered.
func (m *PrimaryMonitor) IsUnresponsive() bool { return m.misses > 0 }

// IsSuspected reports whether the last conclusive round showed a missing primary, a commit that no replica had
// received, or that all replicas were paused.
func (m *PrimaryMonitor) IsSuspected() bool {
	return m.misses > 0 || !m.unreceived.IsZero() || m.paused
}

// Evaluate adds a status round and returns why the primary has to be replaced, or ReasonNone. A change of the presumed
// primary discards what was collected about the previous one.
func (m *PrimaryMonitor) Evaluate(r StatusRound) Reason {
	if r.Primary != m.primary {
		*m = PrimaryMonitor{primary: r.Primary}
	}
	status, answered := r.Statuses[r.Primary]
	leads := answered && status.Role == leadership.RolePrimary
	if !leads {
		return m.evaluateMissing(r, answered)
	}
	m.misses = 0
	if r.Leaving {
		return ReasonLeaving
	}
	return m.evaluateReplication(r, status)
}

func (m *PrimaryMonitor) evaluateMissing(r StatusRound, answered bool) Reason {
	if len(r.Statuses) == 0 || len(r.Statuses) < r.Members-1 {
		// A target can't be chosen before all replicas have answered, and a daemon that reaches no target is itself
		// partitioned from the group.
		return ReasonNone
	}
	if m.misses == 0 {
		m.missedSince = r.StartedAt
	}
	m.misses++
	if m.misses < MissesBeforeTakeover || r.EndedAt-m.missedSince < MissedTimeBeforeTakeover {
		return ReasonNone
	}
	if answered || r.Primary == "" {
		return ReasonNoPrimary
	}
	return ReasonUnresponsive
}

func (m *PrimaryMonitor) evaluateReplication(r StatusRound, status leadership.Status) Reason {
	var received api.Position
	replicas, paused := 0, 0
	for name, s := range r.Statuses {
		if name == r.Primary || s.Role != leadership.RoleReplica {
			continue
		}
		if s.AskedAt < r.StartedAt {
			// A busy replica has not said what it holds now. It may receive everything.
			return ReasonNone
		}
		received = received.Max(s.Received)
		replicas++
		if s.IsPaused() {
			paused++
		}
	}
	if m.stayPaused(replicas > 0 && replicas == r.Members-1 && paused == replicas, r.EndedAt) {
		return ReasonStalled
	}
	if replicas == 0 || received.Compare(status.Received) >= 0 {
		m.unreceived = api.Position{}
		return ReasonNone
	}
	if m.unreceived.IsZero() || received.Compare(m.unreceived) >= 0 {
		m.unreceived, m.unreceivedSince = status.Received, r.EndedAt
		return ReasonNone
	}
	if r.EndedAt-m.unreceivedSince < StallBeforeTakeover {
		return ReasonNone
	}
	return ReasonStalled
}

// stayPaused records whether all replicas are paused, and reports whether they have been for PauseBeforeTakeover.
func (m *PrimaryMonitor) stayPaused(paused bool, at time.Duration) bool {
	if !paused || !m.paused {
		m.paused, m.pausedSince = paused, at
	}
	return paused && at-m.pausedSince >= PauseBeforeTakeover
}

// Choice is the result of Choose.
type Choice struct {
	// Target is the target to promote; empty for none. It is promoted at EarliestOrder, also when the old primary has
	// stepped down, because that one goes on serving reads.
	Target string
	// Reason says why the target was chosen, or why none was. It is written to logs.
	Reason string
}

// Choose returns the target to promote. replicas are the names of all acknowledging replicas of the old primary; paused
// are the answers of those that are paused in a term above the old primary's; demoted is the old primary's answer after
// it stepped down, nil if it has not. A leaving target is chosen only if no other has as long a log.
func Choose(replicas []string, paused map[string]leadership.Status, demoted *leadership.Status, leaving func(string) bool) Choice {
	best := longestLog(paused, leaving)
	if best == "" {
		return Choice{Reason: "no_replica_is_paused"}
	}
	if demoted != nil && paused[best].Received.Compare(demoted.Received) >= 0 {
		return Choice{Target: best, Reason: "has_log_of_old_primary"}
	}
	for _, name := range replicas {
		if _, ok := paused[name]; !ok {
			return Choice{Reason: "replica_not_paused:" + name}
		}
	}
	return Choice{Target: best, Reason: "longest_log_of_all_replicas"}
}

// ForgottenPauses returns the replicas that are paused for a term after that of the primary, in the order of their
// names, if another replica follows it: then no promotion that rests on the pauses is under way. The statuses have to
// be of now.
func ForgottenPauses(statuses map[string]leadership.Status, term uint64) []string {
	var paused []string
	followed := false
	for name, s := range statuses {
		switch {
		case s.Role != leadership.RoleReplica:
		case s.PausedTerm > term:
			paused = append(paused, name)
		case s.Term == term:
			followed = true
		}
	}
	if !followed {
		return nil
	}
	slices.Sort(paused)
	return paused
}

// Joined returns those of the targets with an entry that a promotion does not know, in the order of their names. Before the
// order to promote, each of them has to be paused too: its receipt may let the old primary acknowledge a commit.
func Joined(listed, known []string) []string {
	joined := slices.DeleteFunc(slices.Clone(listed), func(name string) bool { return slices.Contains(known, name) })
	slices.Sort(joined)
	return joined
}

// EarliestOrder returns the time at which every leadership proof of the old primary has expired, so that the promotion may
// be ordered: no proof is dated later than the last pause or, if the choice rests on it, the step-down of the old primary.
// steppedDownAt is 0 if it does not.
func EarliestOrder(pausedAt, steppedDownAt time.Duration) time.Duration {
	return max(pausedAt, steppedDownAt) + leadership.ProofValidity
}

// StillPaused reports whether all replicas that were paused still are and have the same end of their log. A replica
// that has restarted receives again and may have let the primary acknowledge a commit since.
func StillPaused(paused, now map[string]leadership.Status) bool {
	for name, before := range paused {
		s, ok := now[name]
		if !ok || s.Role != leadership.RoleReplica || !s.IsPaused() || s.Received != before.Received {
			return false
		}
	}
	return true
}

// StillSteppedDown reports whether an old primary that stepped down is still a replica with the same end of its log.
// One that has restarted leads its term again until another target is promoted; the zero status is that of one that
// did not answer.
func StillSteppedDown(demoted, now leadership.Status) bool {
	return now.Role == leadership.RoleReplica && now.Term == demoted.Term && now.Received == demoted.Received
}

// longestLog returns the replica with the longest log; empty if paused is. Among equals it prefers a replica that is
// not leaving, then the first by name.
func longestLog(paused map[string]leadership.Status, leaving func(string) bool) string {
	best := ""
	for name, s := range paused {
		if best == "" || isBetter(name, s, best, paused[best], leaving) {
			best = name
		}
	}
	return best
}

// isBetter reports whether longestLog prefers name, whose status is s, to other, whose status is o.
func isBetter(name string, s leadership.Status, other string, o leadership.Status, leaving func(string) bool) bool {
	if c := s.Received.Compare(o.Received); c != 0 {
		return c > 0
	}
	if leaving(name) != leaving(other) {
		return !leaving(name)
	}
	return name < other
}

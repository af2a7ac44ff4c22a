// Package takeover decides when the primary of a group is replaced and by which target.
//
// A commit is acknowledged once one replica has received it. A target may therefore be promoted
// only if all replicas that may have counted are paused and it has the longest log among them, or if
// the old primary has stepped down and the target has all of the old primary's log.
package takeover

import (
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/authority"
)

const (
	// MissesBeforeTakeover and SilenceBeforeTakeover are the number of rounds in a row, and the time over which they
	// are spread, in which the primary did not answer or does not lead while the replicas answered.
	MissesBeforeTakeover  = 2
	SilenceBeforeTakeover = 500 * time.Millisecond
	// StallBeforeTakeover is the time for which no replica received what the primary has.
	StallBeforeTakeover = 800 * time.Millisecond
	// Rest is the time after a promotion in which the group is not promoted again.
	Rest = 2 * time.Second
)

// Reason says why a primary is replaced.
type Reason string

// The reasons.
const (
	ReasonNone    Reason = ""
	ReasonSilent  Reason = "primary_silent"
	ReasonNoLead  Reason = "no_target_leads"
	ReasonStalled Reason = "replication_stalled"
	ReasonLeaving Reason = "primary_leaving"
)

// Watch is the evidence against the primary of one group. The zero value has none.
type Watch struct {
	primary string
	misses  int
	// missedSince is the time at which the first of the missed rounds was begun.
	missedSince time.Duration
	// behind is the end of the primary's log that no replica had received at behindSince.
	behind      api.Position
	behindSince time.Duration
}

// Round is what one round of status calls brought.
type Round struct {
	// Primary is the target believed to lead; empty for none.
	Primary string
	// Statuses are the answers; a target that did not answer is missing.
	Statuses map[string]authority.Status
	// Members is the number of targets that were asked.
	Members int
	// Leaving is true when the primary has announced that it stops.
	Leaving bool
	// Began and At are the times at which the round was begun and ended.
	Began time.Duration
	At    time.Duration
}

// IsSilent reports whether the primary did not answer the last round, or does not lead.
func (w *Watch) IsSilent() bool { return w.misses > 0 }

// IsSuspicious reports whether the last round spoke against the primary.
func (w *Watch) IsSuspicious() bool { return w.misses > 0 || !w.behind.IsZero() }

// Judge takes in a round and returns why the primary has to be replaced, or ReasonNone.
func (w *Watch) Judge(r Round) Reason {
	if r.Primary != w.primary {
		*w = Watch{primary: r.Primary}
	}
	own, answered := r.Statuses[r.Primary]
	leads := answered && own.Role == authority.RolePrimary
	if !leads {
		return w.judgeSilent(r, answered)
	}
	w.misses = 0
	if r.Leaving {
		return ReasonLeaving
	}
	return w.judgeStalled(r, own)
}

func (w *Watch) judgeSilent(r Round, answered bool) Reason {
	if len(r.Statuses) == 0 || len(r.Statuses) < r.Members-1 {
		// Without all replicas no choice is possible, and a daemon that reaches nobody is itself cut off.
		return ReasonNone
	}
	if w.misses == 0 {
		w.missedSince = r.Began
	}
	w.misses++
	if w.misses < MissesBeforeTakeover || r.At-w.missedSince < SilenceBeforeTakeover {
		return ReasonNone
	}
	if answered || r.Primary == "" {
		return ReasonNoLead
	}
	return ReasonSilent
}

func (w *Watch) judgeStalled(r Round, own authority.Status) Reason {
	var received api.Position
	replicas := 0
	for name, s := range r.Statuses {
		if name != r.Primary && s.Role == authority.RoleReplica {
			received = received.Max(s.Received)
			replicas++
		}
	}
	if replicas == 0 || received.Compare(own.Received) >= 0 {
		w.behind = api.Position{}
		return ReasonNone
	}
	if w.behind.IsZero() || received.Compare(w.behind) >= 0 {
		w.behind, w.behindSince = own.Received, r.At
		return ReasonNone
	}
	if r.At-w.behindSince < StallBeforeTakeover {
		return ReasonNone
	}
	return ReasonStalled
}

// Choice is the outcome of Choose.
type Choice struct {
	// Target is promoted; empty for none. Authority that was granted before the pauses has to be waited out first, also
	// when the old primary has stepped down: it goes on serving reads.
	Target string
	Reason string
}

// Choose returns the target to promote. Replicas are the names of all targets but the old primary
// that may have counted; paused are the answers of those that are paused beyond oldTerm; demoted is the
// old primary's answer after it stepped down, nil without one. Leaving targets are chosen only
// if no other has the whole log.
func Choose(replicas []string, paused map[string]authority.Status, demoted *authority.Status, leaving func(string) bool) Choice {
	best := longest(paused, leaving)
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

// StillPaused reports whether all replicas that were paused still are, with the log that they had. One that has started
// anew receives again, and may have counted for a commit since.
func StillPaused(paused, now map[string]authority.Status) bool {
	for name, before := range paused {
		s, ok := now[name]
		if !ok || s.Role != authority.RoleReplica || !s.IsPaused() || s.Received != before.Received {
			return false
		}
	}
	return true
}

// longest returns the target with the longest log, one that stays before one that leaves, and the
// first by name among equals.
func longest(paused map[string]authority.Status, leaving func(string) bool) string {
	best := ""
	for name, s := range paused {
		if best == "" || isBetter(name, s, best, paused[best], leaving) {
			best = name
		}
	}
	return best
}

func isBetter(name string, s authority.Status, other string, o authority.Status, leaving func(string) bool) bool {
	if c := s.Received.Compare(o.Received); c != 0 {
		return c > 0
	}
	if leaving(name) != leaving(other) {
		return !leaving(name)
	}
	return name < other
}

// Package readroute decides where a read runs: which gates to try in which order, when to stop,
// and, at a gate, whether the data of its target is fresh enough.
//
// The gate of a target runs in the daemon that holds the target, its holder, and admits the
// batches that run there. Replicas in the availability zone of the caller's daemon come first,
// then other replicas, then the primary. A refusal as behind or too old adds no load to the
// target, so the next gate is tried at once; other refusals use the retry budget.
package readroute

import (
	"cmp"
	"slices"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/confirm"
	"github.com/papayacove/papayacove/internal/result"
)

// Default times of routing.
const (
	// DefaultRefusalTTL is the time for which a refusal without a retry-after time affects routing.
	DefaultRefusalTTL = 50 * time.Millisecond
	// DefaultRetryAfter is the retry-after time of a read when no refusal states one.
	DefaultRetryAfter = 200 * time.Millisecond
)

// Refusal is the last refusal of a target's gate.
type Refusal struct {
	// Code is result.OK if there was no refusal.
	Code       result.Code
	At         time.Time
	RetryAfter time.Duration
	// MinPosition is the minimum position of the read that was refused as behind.
	MinPosition api.Position
	// MaxAge is the allowed age of data of the read that was refused as too old.
	MaxAge time.Duration
}

// Target is the state of one target of a group, as known to an entry daemon.
type Target struct {
	Name string
	Zone string
	// Role is the role in the newest known term. At most one target is primary.
	Role confirm.Role
	// Holder is the name of the daemon that holds the target; empty if there is none.
	Holder string
	// HolderReachable is false when the last calls to the holder failed.
	HolderReachable bool
	// Leaving is true when the platform lists the target's VM as leaving.
	Leaving bool
	Refusal Refusal
}

// Read describes one read.
type Read struct {
	// Zone is the availability zone of the entry daemon.
	Zone        string
	MinPosition api.Position
	// MaxAge is the allowed age of data. With NoMaxAge only the minimum position is required, with 0 only the
	// primary serves the read.
	MaxAge time.Duration
}

// Rank is the preference class of a candidate; lower values are tried first.
type Rank uint8

// The ranks of candidates.
const (
	RankZoneReplica Rank = iota
	RankOtherReplica
	RankPrimary
	// RankDoubtful holds targets whose recent refusal would apply to this read too, or whose holder did not
	// answer. They are tried last rather than excluded, so that no read is refused because of past failures alone.
	RankDoubtful
)

var rankNames = [...]string{
	RankZoneReplica:  "zone_replica",
	RankOtherReplica: "other_replica",
	RankPrimary:      "primary",
	RankDoubtful:     "doubtful",
}

// String returns the name of the rank.
func (r Rank) String() string {
	return rankNames[r]
}

// Candidate is a target that may serve a read.
type Candidate struct {
	Target string
	Holder string
	Rank   Rank
	Role   confirm.Role
	Zone   string
}

// Order returns the targets that may serve a read in the order in which to try them. Targets of
// equal rank keep their order in targets, so that the caller can distribute its load by rotating
// that slice.
func Order(r Read, targets []Target, now time.Time) []Candidate {
	candidates := make([]Candidate, 0, len(targets))
	for _, t := range targets {
		if !mayServe(r, t) {
			continue
		}
		candidates = append(candidates, Candidate{
			Target: t.Name,
			Holder: t.Holder,
			Rank:   rankOf(r, t, now),
			Role:   t.Role,
			Zone:   t.Zone,
		})
	}
	slices.SortStableFunc(candidates, func(a, b Candidate) int {
		return cmp.Compare(a.Rank, b.Rank)
	})
	return candidates
}

// mayServe reports whether a target is a candidate. It excludes replicas for reads that need the newest
// data, targets without a role or a holder, and leaving replicas, which receive no new work.
func mayServe(r Read, t Target) bool {
	switch t.Role {
	case confirm.RolePrimary:
		return t.Holder != ""
	case confirm.RoleReplica:
		return t.Holder != "" && !t.Leaving && r.MaxAge != 0
	default:
		return false
	}
}

func rankOf(r Read, t Target, now time.Time) Rank {
	switch {
	case !t.HolderReachable, wasRecentlyRefused(r, t.Refusal, now):
		return RankDoubtful
	case t.Role == confirm.RolePrimary:
		return RankPrimary
	case t.Zone == r.Zone:
		return RankZoneReplica
	default:
		return RankOtherReplica
	}
}

// wasRecentlyRefused reports whether the last refusal of a target is recent and would apply to this read too.
func wasRecentlyRefused(r Read, f Refusal, now time.Time) bool {
	if f.Code == result.OK {
		return false
	}
	ttl := f.RetryAfter
	if ttl <= 0 {
		ttl = DefaultRefusalTTL
	}
	if now.Sub(f.At) >= ttl {
		return false
	}
	switch f.Code {
	case result.NotRunBehind:
		return r.MinPosition.Compare(f.MinPosition) >= 0
	case result.NotRunTooOld:
		return r.MaxAge >= 0 && r.MaxAge <= f.MaxAge
	default:
		return true
	}
}

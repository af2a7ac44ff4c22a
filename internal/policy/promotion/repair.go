package promotion

import (
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/confirm"
)

// TargetState is the state of a target according to its answer to a status call.
type TargetState struct {
	Target string
	Term   uint64
	Role   confirm.Role
	// Follows names the primary that the target replicates from; empty when unknown or none.
	Follows string
}

// Repair returns the orders for the targets that don't follow the recorded primary although they should: replicas that
// missed the promotion and replaced primaries that have returned. For an open term it returns none.
func Repair(record api.TermRecord, states []TargetState) []Follow {
	if record.Primary == "" {
		return nil
	}
	var orders []Follow
	for _, s := range states {
		if needsFollow(record, s) {
			orders = append(orders, Follow{Target: s.Target, Term: record.Term, Primary: record.Primary})
		}
	}
	return orders
}

// needsFollow reports whether a target has to be ordered to follow the recorded primary. A target with a later term is
// left to the promotion to that term.
func needsFollow(record api.TermRecord, s TargetState) bool {
	switch {
	case s.Target == record.Primary, s.Term > record.Term:
		return false
	case s.Term < record.Term, s.Role != confirm.RoleReplica:
		return true
	default:
		return s.Follows != record.Primary
	}
}

package promotion

import (
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/confirm"
)

// TargetState is the state of a target as its status call shows it.
type TargetState struct {
	Target string
	Term   uint64
	Role   confirm.Role
	// Follows names the primary that the target replicates from; empty when unknown or none.
	Follows string
}

// Repair returns the orders that make targets follow a recorded primary which do not: replicas
// that missed the promotion and replaced primaries that have come back. An open term gives none.
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

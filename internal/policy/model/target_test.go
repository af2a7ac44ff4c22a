package model

import (
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/confirm"
	"github.com/papayacove/papayacove/internal/policy/promotion"
)

// record is one log record; ids are unique. The first record of a term marks the start of the term in the log.
type record struct {
	term uint64
	id   int
}

// target is one database. Its term, role and log survive a crash.
type target struct {
	name string
	down bool
	// partitioned is true while a network partition separates the target from the promoters.
	partitioned bool
	term        uint64
	role        confirm.Role
	follows     string
	log         []record
}

func (t *target) position() api.Position {
	if len(t.log) == 0 {
		return api.Position{}
	}
	return api.Position{Term: t.log[len(t.log)-1].term, Offset: uint64(len(t.log))}
}

func (t *target) holds(w write) bool {
	i := int(w.position.Offset) - 1
	return i < len(t.log) && t.log[i].id == w.id
}

func (t *target) leads(term uint64) bool {
	return t.role == confirm.RolePrimary && t.term == term
}

// receives reports whether a call reaches the target. Status calls come from gates, which partitions do not affect.
func (t *target) receives(call any) bool {
	_, fromGate := call.(statusCall)
	return !t.down && (fromGate || !t.partitioned)
}

func (t *target) fence(o promotion.Fence) promotion.FenceAnswered {
	if o.Term > t.term {
		t.term, t.role, t.follows = o.Term, confirm.RoleReplica, ""
	}
	return promotion.FenceAnswered{Target: t.name, Term: t.term, Received: t.position()}
}

// promote makes the target the primary if it is fenced at the term, and reports whether its role changed.
func (t *target) promote(o promotion.Promote, id int) (promotion.PromoteAnswered, bool) {
	isNew := o.Term == t.term && t.role == confirm.RoleReplica && t.follows == ""
	if isNew {
		t.role = confirm.RolePrimary
		t.log = append(t.log, record{term: o.Term, id: id})
	}
	answer := promotion.PromoteAnswered{Target: t.name, Term: t.term, IsPrimary: t.leads(o.Term)}
	if answer.IsPrimary {
		answer.Start = t.startOf(o.Term)
	}
	return answer, isNew
}

func (t *target) startOf(term uint64) api.Position {
	for i, r := range t.log {
		if r.term == term {
			return api.Position{Term: term, Offset: uint64(i + 1)}
		}
	}
	return api.Position{}
}

func (t *target) follow(o promotion.Follow) promotion.FollowAnswered {
	if o.Term > t.term || o.Term == t.term && t.role == confirm.RoleReplica {
		t.term, t.role, t.follows = o.Term, confirm.RoleReplica, o.Primary
	}
	return promotion.FollowAnswered{
		Target:      t.name,
		Term:        t.term,
		IsFollowing: t.term == o.Term && t.follows == o.Primary,
	}
}

// replicate copies one record from the primary. A replica with records that the primary does not have
// must be rewound first.
func (t *target) replicate(primary *target) {
	common := t.commonWith(primary)
	if t.isStreaming(primary) && common == len(t.log) && common < len(primary.log) {
		t.log = append(t.log, primary.log[common])
	}
}

// rewind truncates the records that the primary does not have. Until then the replica reports its old
// log together with its new term.
func (t *target) rewind(primary *target) {
	if !t.isStreaming(primary) {
		return
	}
	common := t.commonWith(primary)
	t.log = t.log[:common:common]
}

func (t *target) isStreaming(primary *target) bool {
	return !t.down && !primary.down && primary.leads(t.term) && t.follows == primary.name
}

// commonWith returns the length of the common prefix of both logs.
func (t *target) commonWith(other *target) int {
	common := 0
	for common < min(len(t.log), len(other.log)) && t.log[common] == other.log[common] {
		common++
	}
	return common
}

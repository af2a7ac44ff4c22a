package takeover

import (
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/leadership"
)

// Receiver is a listed replica of a group as a daemon knows it. Each promoter lists it, and pauses it before it chooses
// or counts it as lost.
type Receiver struct {
	// Status is the newest answer of the replica.
	Status leadership.Status
	// Leaving is true once the replica has announced its shutdown, and Silent if it did not answer lately.
	Leaving, Silent bool
}

// hasReceived reports whether a replica that follows a term has received the log up to a position of that term.
func (r Receiver) hasReceived(term uint64, position api.Position) bool {
	s := r.Status
	return s.Role == leadership.RoleReplica && s.Term == term && position.Term == term &&
		s.Received.Term == term && s.Received.Compare(position) >= 0
}

// Confirming returns the names of the replicas whose receipt confirms a commit. The log of a replica that leaves goes
// with it, so that one confirms only while no other answers.
func Confirming(replicas map[string]Receiver) []string {
	var staying, leaving []string
	answers := false
	for name, r := range replicas {
		if r.Leaving {
			leaving = append(leaving, name)
			continue
		}
		staying = append(staying, name)
		answers = answers || !r.Silent
	}
	if answers {
		return staying
	}
	return append(staying, leaving...)
}

// IsConfirmed reports whether a commit that ends at a position of the term is confirmed: one of the replicas has
// received it, or all that may confirm it if needsAll is true. A valid leadership proof of the term is needed beside
// it, so that no promotion has been ordered: a later one pauses the replica with the commit, or waits for it.
func IsConfirmed(replicas map[string]Receiver, term uint64, position api.Position, needsAll bool) bool {
	confirming := Confirming(replicas)
	received := 0
	for _, name := range confirming {
		if replicas[name].hasReceived(term, position) {
			received++
		}
	}
	return received > 0 && (!needsAll || received == len(confirming))
}

package failover

import "github.com/papayacove/papayacove/internal/policy/promotion"

// controlDecision is the decision whether this daemon controls a group, cached until one of its inputs changes. It is
// not safe for concurrent use.
type controlDecision struct {
	decided bool
	// changes and reached are the inputs of the decision: the value of Daemons.Changes, and whether this daemon
	// reached the platform.
	changes uint64
	reached bool
	held    bool
}

// isHeld reports whether this daemon controls the group.
func (c *controlDecision) isHeld(options Options, group string) bool {
	// The count of changes is read before the members, so that a change in between leads to a new decision.
	next := controlDecision{decided: true, changes: options.Daemons.Changes(), reached: options.PlatformReached(), held: c.held}
	if *c != next {
		next.held = isController(options, group, next.reached)
		*c = next
	}
	return c.held
}

// isController decides whether this daemon controls the group; reached is whether it reaches the platform.
func isController(options Options, group string, reached bool) bool {
	var daemons []promotion.Controller
	for _, member := range options.Daemons.Members() {
		reaches := reached
		if member.Name != options.Self {
			reaches = options.Daemons.ReachesPlatform(member.Name)
		}
		daemons = append(daemons, promotion.Controller{Member: member, PlatformReached: reaches})
	}
	first, ok := promotion.ControllerOf(group, daemons)
	return ok && first == options.Self
}

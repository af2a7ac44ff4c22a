package failover

import "github.com/papayacove/papayacove/internal/policy/promotion"

// controlDecision is the decision whether this daemon controls a group, kept until the membership changes.
type controlDecision struct {
	decided bool
	// changes and reached are what the decision was based on.
	changes uint64
	reached bool
	held    bool
}

// isHeld reports whether this daemon controls the group.
func (c *controlDecision) isHeld(options Options, group string) bool {
	// The count is read before the members, so that a change in between leads to a new decision.
	based := controlDecision{decided: true, changes: options.Daemons.Changes(), reached: options.PlatformReached(), held: c.held}
	if *c != based {
		based.held = isController(options, group, based.reached)
		*c = based
	}
	return c.held
}

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

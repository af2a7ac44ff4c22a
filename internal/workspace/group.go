package workspace

import (
	"net/netip"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/config"
)

const minTargets = 1

// maxSlots is the largest number of slots of a target. What is computed from larger numbers may overflow.
const maxSlots = 1 << 16

// CheckGroup returns the problems of a database group, without regard to other objects.
func CheckGroup(g api.GroupSpec) []Problem {
	object := "group " + g.Name
	var problems config.Problems
	if !config.IsName(g.Name) {
		problems.Add(object, "name", g.Name, nameBound)
	}
	if !config.IsName(g.Service) {
		problems.Add(object, "service", g.Service, nameBound)
	}
	if len(g.Targets) < minTargets {
		problems.Add(object, "targets", itoa(len(g.Targets)), "at least "+itoa(minTargets))
	}
	seen := map[string]bool{}
	for _, target := range g.Targets {
		if seen[target.Name] {
			problems.Add(object, "targets", target.Name, "a target name that is used once")
		}
		seen[target.Name] = true
		checkTarget(object, target, &problems)
	}
	return problems
}

func checkTarget(object string, t api.TargetSpec, problems *config.Problems) {
	key := "targets." + t.Name
	if !config.IsName(t.Name) {
		problems.Add(object, "targets.name", t.Name, nameBound)
	}
	if !config.IsName(t.Zone) {
		problems.Add(object, key+".zone", t.Zone, nameBound)
	}
	if address, err := netip.ParseAddrPort(t.Address); err != nil || address.Port() == 0 {
		problems.Add(object, key+".address", t.Address, "an IP address with a port of 1 to 65535")
	}
	if t.Slots < 1 || t.Slots > maxSlots {
		problems.Add(object, key+".slots", itoa(t.Slots), "1 to "+itoa(maxSlots))
	}
}

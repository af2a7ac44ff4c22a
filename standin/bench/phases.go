package bench

import (
	"strings"
	"time"

	"github.com/papayacove/papayacove/api"
)

// phases are the parts of failover gaps, from the decisions of the daemons.
type phases struct {
	names []string
	took  map[string]*latencies
}

// The parts of a failover gap in their order.
const (
	phaseDetect  = "detect"
	phaseAgree   = "agree"
	phaseOpen    = "open_term"
	phaseFence   = "fence"
	phasePromote = "promote"
	phaseRoute   = "route"
)

func newPhases() *phases {
	p := &phases{took: make(map[string]*latencies)}
	for _, name := range []string{phaseDetect, phaseAgree, phaseOpen, phaseFence, phasePromote, phaseRoute} {
		p.names = append(p.names, name)
		p.took[name] = newLatencies()
	}
	return p
}

// report prints the p50 of each part.
func (p *phases) report(e *environment, r *running, kind string) {
	for _, name := range p.names {
		if p.took[name].count() > 0 {
			e.AddDuration(r.figure(e.part, kind, name+"_p50"), p.took[name].at(50), Unbounded)
		}
	}
}

// collect reads the decisions of all daemons on a group since a failure, and records how long
// after the one before each mark came.
func (p *phases) collect(r *running, group string, began time.Time) {
	marks := make(map[string]time.Time)
	for _, daemon := range r.daemonNames() {
		for _, decision := range r.decisions(daemon, group, began) {
			name := phaseOf(decision)
			at := time.UnixMilli(decision.TimeMs)
			if known, ok := marks[name]; name != "" && (!ok || isLater(name, at, known)) {
				marks[name] = at
			}
		}
	}
	last := began
	for _, name := range p.names {
		at, ok := marks[name]
		if !ok {
			continue
		}
		p.took[name].record(max(at.Sub(last), 0))
		last = at
	}
}

// isLater keeps the first mark of each part, but for the last daemon that learns of the primary.
func isLater(name string, at, known time.Time) bool {
	if name == phaseRoute {
		return at.After(known)
	}
	return at.Before(known)
}

// phaseOf returns the part of the gap that a decision ends; empty for none.
func phaseOf(d api.Decision) string {
	fields := make(map[string]string, len(d.Fields))
	for _, field := range d.Fields {
		fields[field.Key] = field.Value
	}
	switch d.Event {
	case "primary_suspected":
		return phaseDetect
	case "failover_decision":
		if fields["action"] == "promote" {
			return phaseAgree
		}
	case "promotion_step":
		return phaseOfOrder(fields["order"])
	case "term_observed":
		if fields["primary"] != "" {
			return phaseRoute
		}
	}
	return ""
}

// phaseOfOrder returns the part that ends when an order is given.
func phaseOfOrder(order string) string {
	switch {
	case strings.HasPrefix(order, "fence"):
		return phaseOpen
	case strings.HasPrefix(order, "promote"):
		return phaseFence
	case strings.HasPrefix(order, "follow"):
		return phasePromote
	default:
		return ""
	}
}

// decisions returns the decisions of a daemon on a group since a time.
func (r *running) decisions(daemon, group string, since time.Time) []api.Decision {
	var list api.DecisionList
	if err := r.Get(r.Settings(daemon).AdminAddress, "/decisions?limit=400&group="+group, &list); err != nil {
		return nil
	}
	var recent []api.Decision
	for _, decision := range list.Decisions {
		if decision.TimeMs >= since.UnixMilli() {
			recent = append(recent, decision)
		}
	}
	return recent
}

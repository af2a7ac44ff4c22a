package bench

import (
	"strings"
	"time"

	"github.com/papayacove/papayacove/api"
)

// phases has the durations of the phases of failovers, taken from the decisions that the daemons record. names has the
// phases in their order.
type phases struct {
	names     []string
	durations map[string]*latencies
}

// The phases of a failover in their order: until a daemon suspects the primary, decides to promote a replica, has
// opened the new term, has fenced the targets, has promoted the new primary, and until the last daemon has learned of
// the new primary.
const (
	phaseDetect  = "detect"
	phaseAgree   = "agree"
	phaseOpen    = "open_term"
	phaseFence   = "fence"
	phasePromote = "promote"
	phaseRoute   = "route"
)

func newPhases() *phases {
	p := &phases{durations: make(map[string]*latencies)}
	for _, name := range []string{phaseDetect, phaseAgree, phaseOpen, phaseFence, phasePromote, phaseRoute} {
		p.names = append(p.names, name)
		p.durations[name] = newLatencies()
	}
	return p
}

// report adds the p50 of each phase that was recorded to the report.
func (p *phases) report(e *environment, r *runningFleet, kind string) {
	for _, name := range p.names {
		if p.durations[name].count() > 0 {
			e.AddDuration(r.figure(e.part, kind, name+"_p50"), p.durations[name].percentile(50), Unbounded)
		}
	}
}

// collect reads the decisions of all daemons on a group since a failure and records the duration of each phase: the
// time from the end of the previous phase that has a decision, or from the failure, to the end of this one.
func (p *phases) collect(r *runningFleet, group string, began time.Time) {
	ends := make(map[string]time.Time)
	for _, daemon := range r.daemonNames() {
		for _, decision := range r.decisions(daemon, group, began) {
			name := phaseOf(decision)
			at := time.UnixMilli(decision.TimeMs)
			if recorded, ok := ends[name]; name != "" && (!ok || replacesEnd(name, at, recorded)) {
				ends[name] = at
			}
		}
	}
	last := began
	for _, name := range p.names {
		at, ok := ends[name]
		if !ok {
			continue
		}
		p.durations[name].record(max(at.Sub(last), 0))
		last = at
	}
}

// replacesEnd reports whether a decision at a time replaces the recorded end of a phase. A phase ends with its first
// decision, except for phaseRoute, which ends when the last daemon learns of the primary.
func replacesEnd(name string, at, recorded time.Time) bool {
	if name == phaseRoute {
		return at.After(recorded)
	}
	return at.Before(recorded)
}

// phaseOf returns the phase that a decision ends, or an empty string if it ends none.
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

// phaseOfOrder returns the phase that ends when an order is given to a target, or an empty string if it ends none.
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

// decisions returns the decisions of a daemon on a group since a time, or none if the daemon does not answer.
func (r *runningFleet) decisions(daemon, group string, since time.Time) []api.Decision {
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

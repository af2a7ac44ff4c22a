package workspace

import (
	"math"
	"strings"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/config"
)

// resolver collects the values of one workspace and their problems.
type resolver struct {
	object   string
	template api.Template
	values   map[string]value
	problems config.Problems
}

// Resolve applies the values of the workspace to the template. It checks the result against the bounds of
// the template, for consistency, and against the existing groups and their slots. If it returns problems,
// the Effective must not be used.
func Resolve(template api.Template, workspace api.Workspace, groups []api.GroupSpec) (Effective, []Problem) {
	r := newResolver(template, workspace)
	e := r.resolveValues(workspace)
	r.checkGroups(e, groups)
	return e, r.problems
}

// ResolveValues does the same as Resolve except for the checks against the existing groups and their slots.
func ResolveValues(template api.Template, workspace api.Workspace) (Effective, []Problem) {
	r := newResolver(template, workspace)
	e := r.resolveValues(workspace)
	return e, r.problems
}

func newResolver(template api.Template, workspace api.Workspace) *resolver {
	return &resolver{object: "workspace " + workspace.Name, template: template, values: map[string]value{}}
}

func (r *resolver) resolveValues(workspace api.Workspace) Effective {
	r.checkNames(workspace)
	r.problems = append(r.problems, CheckTemplate(r.template)...)
	r.readValues(workspace.Values)
	e := r.effective(workspace.Name)
	e.Users = r.users(workspace.Users, e.MaxStaleness)
	r.checkTimes(e)
	return e
}

func (r *resolver) add(key, value, bound string) {
	r.problems.Add(r.object, key, value, bound)
}

func (r *resolver) checkNames(w api.Workspace) {
	if !config.IsName(w.Name) {
		r.add("name", w.Name, nameBound)
	}
	if w.Template != r.template.Name || r.template.Deleted {
		r.add("template", w.Template, "the name of a template")
	}
}

func (r *resolver) readValues(values api.WorkspaceValues) {
	known := map[string]bool{}
	for _, p := range r.template.Parameters {
		known[p.Name] = true
		text, given := values[p.Name]
		r.readValue(p, text, given)
	}
	for _, name := range sortedKeys(values) {
		if !known[name] {
			r.add("values."+name, values[name], "a parameter of template "+r.template.Name)
		}
	}
}

func (r *resolver) readValue(p api.Parameter, text string, given bool) {
	key := "values." + p.Name
	if !given && p.Required {
		r.add(key, "", "a value, which the template requires")
		return
	}
	if !given {
		text = p.Default
	}
	v, err := parseValue(p.Type, text)
	if err != nil {
		r.add(key, text, err.Error())
		return
	}
	if !isWithin(p, v) {
		r.add(key, text, boundText(p))
		return
	}
	r.values[p.Name] = v
}

func (r *resolver) effective(name string) Effective {
	o := r.template.Outcome
	e := Effective{
		Name:             name,
		Groups:           r.values[o.Groups].list,
		Zones:            r.values[o.Zones].list,
		MaxStaleness:     r.duration(o.MaxStaleness, NoStaleness),
		Connections:      r.integer(o.Connections, DefaultConnections),
		Slots:            r.integer(o.Slots, 0),
		ReplicationWait:  r.duration(o.ReplicationWait, DefaultReplicationWait),
		StatementTimeout: r.duration(o.StatementTimeout, DefaultStatementTimeout),
	}
	if e.MaxStaleness == 0 {
		e.MaxStaleness = NoStaleness
	}
	return e
}

func (r *resolver) duration(parameter string, builtIn time.Duration) time.Duration {
	if v, found := r.values[parameter]; found {
		return v.duration
	}
	return builtIn
}

func (r *resolver) integer(parameter string, builtIn int) int {
	if v, found := r.values[parameter]; found {
		return int(v.integer)
	}
	return builtIn
}

func (r *resolver) checkTimes(e Effective) {
	if e.ReplicationWait >= e.StatementTimeout {
		r.add(r.valueKey(r.template.Outcome.ReplicationWait, "replication_wait"),
			e.ReplicationWait.String(), "less than the statement timeout of "+e.StatementTimeout.String())
	}
	if e.Connections < 1 {
		r.add(r.valueKey(r.template.Outcome.Connections, "connections"), itoa(e.Connections), "at least 1")
	}
	if e.Slots < 0 {
		r.add(r.valueKey(r.template.Outcome.Slots, "slots"), itoa(e.Slots), "0 for all, or more")
	}
}

// valueKey returns the key of the value that determines a property, or the property if no parameter determines it.
func (r *resolver) valueKey(parameter, property string) string {
	if parameter == "" {
		return property
	}
	return "values." + parameter
}

func (r *resolver) checkGroups(e Effective, groups []api.GroupSpec) {
	key := r.valueKey(r.template.Outcome.Groups, "groups")
	if len(e.Groups) == 0 {
		r.add(key, "", "at least one group of service "+r.template.Service)
	}
	seen := map[string]bool{}
	zones := map[string]bool{}
	for _, name := range e.Groups {
		if seen[name] {
			r.add(key, name, "each group once")
		}
		seen[name] = true
		r.checkGroup(key, name, e, groups, zones)
	}
	for _, zone := range e.Zones {
		if !zones[zone] && len(r.problems) == 0 {
			r.add(r.valueKey(r.template.Outcome.Zones, "zones"), zone, "a zone that has a target of a chosen group")
		}
	}
}

func (r *resolver) checkGroup(key, name string, e Effective, groups []api.GroupSpec, zones map[string]bool) {
	group, found := findGroup(groups, name)
	if !found || group.Service != r.template.Service {
		r.add(key, name, "a group of service "+r.template.Service)
		return
	}
	inZones := false
	for _, target := range group.Targets {
		zones[target.Zone] = true
		inZones = inZones || contains(e.Zones, target.Zone)
	}
	if least := leastSlots(group); e.Slots > least {
		r.add(r.valueKey(r.template.Outcome.Slots, "slots"), itoa(e.Slots),
			"at most the "+itoa(least)+" slots of a target of group "+name)
	}
	if len(e.Zones) > 0 && !inZones {
		r.add(r.valueKey(r.template.Outcome.Zones, "zones"), strings.Join(e.Zones, listSeparator),
			"a zone that has a target of group "+name)
	}
}

func leastSlots(group api.GroupSpec) int {
	least := math.MaxInt
	for _, target := range group.Targets {
		least = min(least, target.Slots)
	}
	return least
}

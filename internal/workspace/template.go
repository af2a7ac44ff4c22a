package workspace

import (
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/config"
)

const nameBound = "1 to 63 of a-z, 0-9, - and _"

// outcomeRule states the type that a parameter must have if a template maps a property of a workspace to it.
type outcomeRule struct {
	key           string
	parameter     string
	parameterType api.ParameterType
}

func outcomeRules(o api.Outcome) []outcomeRule {
	return []outcomeRule{
		{"outcome.groups", o.Groups, api.ParameterTypeStringList},
		{"outcome.zones", o.Zones, api.ParameterTypeStringList},
		{"outcome.max_staleness", o.MaxStaleness, api.ParameterTypeDuration},
		{"outcome.connections", o.Connections, api.ParameterTypeInteger},
		{"outcome.slots", o.Slots, api.ParameterTypeInteger},
		{"outcome.replication_wait", o.ReplicationWait, api.ParameterTypeDuration},
		{"outcome.statement_timeout", o.StatementTimeout, api.ParameterTypeDuration},
	}
}

// CheckTemplate returns the problems of a template, without regard to other objects.
func CheckTemplate(t api.Template) []Problem {
	object := "template " + t.Name
	var problems config.Problems
	if !config.IsName(t.Name) {
		problems.Add(object, "name", t.Name, nameBound)
	}
	if !config.IsName(t.Service) {
		problems.Add(object, "service", t.Service, nameBound)
	}
	types := map[string]api.ParameterType{}
	for _, p := range t.Parameters {
		if _, found := types[p.Name]; found {
			problems.Add(object, "parameters", p.Name, "a name that is used once")
		}
		types[p.Name] = p.Type
		checkParameter(object, p, &problems)
	}
	checkOutcome(object, t.Outcome, types, &problems)
	return problems
}

func checkParameter(object string, p api.Parameter, problems *config.Problems) {
	key := "parameters." + p.Name
	if !config.IsName(p.Name) {
		problems.Add(object, "parameters.name", p.Name, nameBound)
	}
	if !isKnownType(p.Type) {
		problems.Add(object, key+".type", string(p.Type), "integer, duration, string_list, string or bool")
		return
	}
	checkLimit(object, key+".minimum", p.Type, p.Minimum, problems)
	checkLimit(object, key+".maximum", p.Type, p.Maximum, problems)
	checkDefault(object, key+".default", p, problems)
}

func isKnownType(kind api.ParameterType) bool {
	return isOrdered(kind) || kind == api.ParameterTypeString || kind == api.ParameterTypeBool
}

func checkLimit(object, key string, kind api.ParameterType, text string, problems *config.Problems) {
	if text == "" {
		return
	}
	if !isOrdered(kind) {
		problems.Add(object, key, text, "no limit for this type")
		return
	}
	if _, err := parseLimit(kind, text); err != nil {
		problems.Add(object, key, text, err.Error())
	}
}

func checkDefault(object, key string, p api.Parameter, problems *config.Problems) {
	if p.Required {
		if p.Default != "" {
			problems.Add(object, key, p.Default, "no default for a required parameter")
		}
		return
	}
	v, err := parseValue(p.Type, p.Default)
	if err != nil {
		problems.Add(object, key, p.Default, err.Error())
		return
	}
	if !isWithin(p, v) {
		problems.Add(object, key, p.Default, boundText(p))
	}
}

func checkOutcome(object string, o api.Outcome, types map[string]api.ParameterType, problems *config.Problems) {
	for _, rule := range outcomeRules(o) {
		if rule.parameter == "" {
			continue
		}
		if types[rule.parameter] != rule.parameterType {
			problems.Add(object, rule.key, rule.parameter, "a parameter of type "+string(rule.parameterType))
		}
	}
	if o.Groups == "" {
		problems.Add(object, "outcome.groups", o.Groups, "a parameter of type "+string(api.ParameterTypeStringList))
	}
}

package workspace

import (
	"sort"
	"strconv"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/config"
	"github.com/papayacove/papayacove/internal/credential"
)

// NoStalenessText is the setting of a user whose reads see every confirmed write.
const NoStalenessText = "none"

const (
	verifierBound        = "SCRAM-SHA-256$<iterations from 4096>:<salt>$<stored key>:<server key>"
	userStalenessBound   = "none, empty or a duration such as 5s"
	userStalenessMaximum = "at most the maximum of the template, "
)

func (r *resolver) users(users []api.WorkspaceUser, inherited time.Duration) map[string]User {
	resolved := make(map[string]User, len(users))
	for _, u := range users {
		key := "users." + u.Name
		if !config.IsName(u.Name) {
			r.add("users.name", u.Name, nameBound)
		}
		if _, found := resolved[u.Name]; found {
			r.add(key, u.Name, "a user name that is used once")
		}
		if _, err := credential.Parse(u.Verifier); err != nil {
			r.add(key+".verifier", config.Hidden, verifierBound)
		}
		resolved[u.Name] = User{Verifier: u.Verifier, MaxStaleness: r.userStaleness(key, u.MaxStaleness, inherited)}
	}
	return resolved
}

func (r *resolver) userStaleness(key, text string, inherited time.Duration) time.Duration {
	switch text {
	case "":
		return inherited
	case NoStalenessText:
		return NoStaleness
	}
	v, err := parseDuration(text)
	if err != nil {
		r.add(key+".max_staleness", text, userStalenessBound)
		return NoStaleness
	}
	if p, found := r.stalenessParameter(); found && !isWithin(maximumOnly(p), v) {
		r.add(key+".max_staleness", text, userStalenessMaximum+p.Maximum)
	}
	if v.duration == 0 {
		return NoStaleness
	}
	return v.duration
}

func (r *resolver) stalenessParameter() (api.Parameter, bool) {
	for _, p := range r.template.Parameters {
		if p.Name == r.template.Outcome.MaxStaleness {
			return p, true
		}
	}
	return api.Parameter{}, false
}

func maximumOnly(p api.Parameter) api.Parameter {
	p.Minimum = ""
	return p
}

func sortedKeys(values api.WorkspaceValues) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func findGroup(groups []api.GroupSpec, name string) (api.GroupSpec, bool) {
	for _, group := range groups {
		if group.Name == name {
			return group, true
		}
	}
	return api.GroupSpec{}, false
}

func contains(list []string, entry string) bool {
	for _, e := range list {
		if e == entry {
			return true
		}
	}
	return false
}

func itoa(number int) string {
	return strconv.Itoa(number)
}

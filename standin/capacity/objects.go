package capacity

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/objectstore"
)

const (
	// workspaces is the number of workspaces of a measured configuration.
	workspaces = 2000
	// targetsPerGroup is the number of targets of a group.
	targetsPerGroup = 3
	// verifier is the password verifier of all users. It is as long as a real one.
	verifier = "SCRAM-SHA-256$4096:c2FsdHNhbHRzYWx0c2FsdA==$" +
		"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="
)

// groupSpec returns group i with targetsPerGroup targets at the given addresses. Targets for which there is no address
// get one on a low port of the loopback address.
func groupSpec(i int, addresses ...string) api.GroupSpec {
	group := api.GroupSpec{Name: fmt.Sprintf("rounds-db-%d", i), Service: "rounds-db"}
	for t := range targetsPerGroup {
		address := fmt.Sprintf("127.0.0.1:%d", 1+t)
		if t < len(addresses) {
			address = addresses[t]
		}
		group.Targets = append(group.Targets, api.TargetSpec{
			Name: fmt.Sprintf("%s-%d", group.Name, t), Zone: zoneName(i + t), Address: address, Slots: 5,
		})
	}
	return group
}

func groupSpecs(count int) []api.GroupSpec {
	groups := make([]api.GroupSpec, count)
	for i := range groups {
		groups[i] = groupSpec(i)
	}
	return groups
}

func cityTemplate() api.Template {
	return api.Template{
		Name: "city", Service: "rounds-db",
		Parameters: []api.Parameter{
			{Name: "groups", Type: api.ParameterTypeStringList, Required: true, Minimum: "1"},
			{Name: "staleness", Type: api.ParameterTypeDuration, Default: "0s", Maximum: "10s"},
			{Name: "connections", Type: api.ParameterTypeInteger, Default: "35", Minimum: "1", Maximum: "100"},
		},
		Outcome: api.Outcome{Groups: "groups", MaxStaleness: "staleness", Connections: "connections"},
	}
}

func workspaceSpec(i, groups int) api.Workspace {
	first := groupSpec(i % groups).Name
	return api.Workspace{
		Name: fmt.Sprintf("workspace-%d", i), Template: "city",
		Values: api.WorkspaceValues{"groups": strings.Join([]string{first, groupSpec((i + 1) % groups).Name}, ",")},
		Users: []api.WorkspaceUser{
			{Name: "crew", Verifier: verifier, MaxStaleness: "none"},
			{Name: "map", Verifier: verifier, MaxStaleness: "5s"},
			{Name: "council", Verifier: verifier},
		},
	}
}

func termRecord(i int) api.TermRecord {
	term := groupTerm(i)
	return api.TermRecord{Group: term.Group, Term: term.Term, Primary: term.Primary, Start: term.Start}
}

// encodeObject returns an object of the platform with an encoded document.
func encodeObject(kind, name string, version uint64, document any) (api.Object, error) {
	data, err := json.Marshal(document)
	if err != nil {
		return api.Object{}, fmt.Errorf("encode %s %s: %w", kind, name, err)
	}
	return api.Object{Kind: kind, Name: name, Version: version, Data: data}, nil
}

// configuration returns the objects of a configuration with the given number of groups, in ascending versions.
func configuration(groups int) ([]api.Object, error) {
	var objects []api.Object
	var failure error
	add := func(kind, name string, document any) {
		added, err := encodeObject(kind, name, uint64(len(objects)+1), document)
		if err != nil {
			failure = err
		}
		objects = append(objects, added)
	}
	add(objectstore.KindTemplate, "city", cityTemplate())
	for i := range groups {
		spec := groupSpec(i)
		add(objectstore.KindGroup, spec.Name, spec)
		add(objectstore.KindTerm, spec.Name, termRecord(i))
	}
	for i := range workspaces {
		spec := workspaceSpec(i, groups)
		add(objectstore.KindWorkspace, spec.Name, spec)
	}
	return objects, failure
}

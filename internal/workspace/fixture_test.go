package workspace

import (
	"encoding/json"
	"fmt"

	"github.com/papayacove/papayacove/api"
)

const testVerifier = "SCRAM-SHA-256$4096:c2FsdHNhbHRzYWx0c2FsdA==$" +
	"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

func testGroups(slots int) []api.GroupSpec {
	var groups []api.GroupSpec
	for g := 1; g <= 2; g++ {
		group := api.GroupSpec{Name: fmt.Sprintf("rounds-%d", g), Service: "rounds"}
		for t, zone := range []string{"colombo", "gampaha", "kalutara"} {
			group.Targets = append(group.Targets, api.TargetSpec{
				Name: fmt.Sprintf("%s-%s", group.Name, zone), Zone: zone,
				Address: fmt.Sprintf("127.0.0.1:%d", 10*g+t), Slots: slots,
			})
		}
		groups = append(groups, group)
	}
	return groups
}

func testTemplate() api.Template {
	return api.Template{
		Name: "city", Service: "rounds",
		Parameters: []api.Parameter{
			{Name: "groups", Type: api.ParameterTypeStringList, Required: true, Minimum: "1"},
			{Name: "zones", Type: api.ParameterTypeStringList},
			{Name: "staleness", Type: api.ParameterTypeDuration, Default: "0s", Maximum: "10s"},
			{Name: "connections", Type: api.ParameterTypeInteger, Default: "35", Minimum: "1", Maximum: "100"},
			{Name: "slots", Type: api.ParameterTypeInteger, Default: "0", Minimum: "0"},
			{Name: "wait", Type: api.ParameterTypeDuration, Default: "2s"},
			{Name: "timeout", Type: api.ParameterTypeDuration, Default: "20s"},
		},
		Outcome: api.Outcome{
			Groups: "groups", Zones: "zones", MaxStaleness: "staleness", Connections: "connections",
			Slots: "slots", ReplicationWait: "wait", StatementTimeout: "timeout",
		},
	}
}

func testWorkspace() api.Workspace {
	return api.Workspace{
		Name: "kelani", Template: "city",
		Values: api.WorkspaceValues{"groups": "rounds-1,rounds-2"},
		Users: []api.WorkspaceUser{
			{Name: "crew", Verifier: testVerifier, MaxStaleness: "none"},
			{Name: "map", Verifier: testVerifier, MaxStaleness: "5s"},
			{Name: "council", Verifier: testVerifier},
		},
	}
}

func object(kind, name string, version uint64, document any) api.Object {
	data, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	return api.Object{Kind: kind, Name: name, Version: version, Data: data}
}

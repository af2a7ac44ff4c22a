package workspace

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
)

func TestResolveFillsInDefaults(t *testing.T) {
	w := testWorkspace()
	w.Values["staleness"] = "3s"
	e, problems := Resolve(testTemplate(), w, testGroups(5))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	if e.Connections != 35 || e.ReplicationWait != 2*time.Second || e.StatementTimeout != 20*time.Second {
		t.Errorf("got %+v, want the defaults of the template", e)
	}
	want := map[string]time.Duration{"crew": NoStaleness, "map": 5 * time.Second, "council": 3 * time.Second}
	for user, staleness := range want {
		if e.Users[user].MaxStaleness != staleness {
			t.Errorf("user %s: got staleness %v, want %v", user, e.Users[user].MaxStaleness, staleness)
		}
	}
}

func TestResolveNamesKeyValueAndBound(t *testing.T) {
	type change func(*api.Template, *api.Workspace)
	value := func(key, text string) change {
		return func(_ *api.Template, w *api.Workspace) { w.Values[key] = text }
	}
	cases := map[string]change{
		`values.connections = "101": want integer of 1 to 100`:               value("connections", "101"),
		`values.connections = "many": want an integer`:                       value("connections", "many"),
		`values.staleness = "11s": want duration of at most 10s`:             value("staleness", "11s"),
		`values.staleness = "-1s": want a duration`:                          value("staleness", "-1s"),
		`values.groups = "": want number of entries of at least 1`:           value("groups", ""),
		`values.groups = "rounds-9": want a group of service rounds`:         value("groups", "rounds-9"),
		`values.groups = "rounds-1": want each group once`:                   value("groups", "rounds-1,rounds-1"),
		`values.zones = "galle": want a zone that has a target`:              value("zones", "galle,colombo"),
		`values.slots = "6": want at most the 5 slots`:                       value("slots", "6"),
		`values.wait = "20s": want less than the statement timeout of 20s`:   value("wait", "20s"),
		`values.speed = "1": want a parameter of template city`:              value("speed", "1"),
		`values.groups = "": want a value, which the template requires`:      func(_ *api.Template, w *api.Workspace) { delete(w.Values, "groups") },
		`workspace kelani: template = "town": want the name of a template`:   func(_ *api.Template, w *api.Workspace) { w.Template = "town" },
		`users.crew.max_staleness = "11s": want at most the maximum`:         func(_ *api.Template, w *api.Workspace) { w.Users[0].MaxStaleness = "11s" },
		`users.crew.verifier = "(hidden)": want SCRAM-SHA-256`:               func(_ *api.Template, w *api.Workspace) { w.Users[0].Verifier = "plain-secret" },
		`users.crew = "crew": want a user name that is used once`:            func(_ *api.Template, w *api.Workspace) { w.Users[1].Name = "crew" },
		`template city: outcome.zones = "wait": want a parameter of type`:    func(p *api.Template, _ *api.Workspace) { p.Outcome.Zones = "wait" },
		`template city: parameters.wait.default = "": want a duration`:       func(p *api.Template, _ *api.Workspace) { p.Parameters[5].Default = "" },
		`parameters.connections.default = "0": want integer of 1 to 100`:     func(p *api.Template, _ *api.Workspace) { p.Parameters[3].Default = "0" },
		`parameters.connections.minimum = "x": want an integer`:              func(p *api.Template, _ *api.Workspace) { p.Parameters[3].Minimum = "x" },
		`parameters.groups.default = "a": want no default`:                   func(p *api.Template, _ *api.Workspace) { p.Parameters[0].Default = "a" },
		`parameters.wait.type = "tomorrow": want integer, duration`:          func(p *api.Template, _ *api.Workspace) { p.Parameters[5].Type = "tomorrow" },
		`template city: service = "Rounds!": want 1 to 63 of a-z`:            func(p *api.Template, _ *api.Workspace) { p.Service = "Rounds!" },
		`template city: parameters = "zones": want a name that is used once`: func(p *api.Template, _ *api.Workspace) { p.Parameters[2].Name = "zones" },
	}
	for want, change := range cases {
		template, workspace := testTemplate(), testWorkspace()
		change(&template, &workspace)
		_, problems := Resolve(template, workspace, testGroups(5))
		text := fmt.Sprint(problems)
		if !strings.Contains(text, want) {
			t.Errorf("got problems %s, want one that contains %s", text, want)
		}
		if strings.Contains(text, "plain-secret") {
			t.Errorf("got problems %s, want none that contains a secret", text)
		}
	}
}

func TestCheckGroup(t *testing.T) {
	group := testGroups(5)[0]
	group.Targets[0].Address = "localhost:1"
	group.Targets[1].Slots = 0
	group.Targets[2].Name = group.Targets[0].Name
	if problems := CheckGroup(group); len(problems) != 3 {
		t.Errorf("got problems %v, want 3", problems)
	}
}

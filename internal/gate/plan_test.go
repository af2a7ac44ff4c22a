package gate

import (
	"maps"
	"slices"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayacove/papayacove/api"
)

func planOf(b *batch, leads bool) plan {
	if b.slot == nil {
		b.slot = newSlot(nil, "")
	}
	return b.newPlan(leads)
}

// kindsOf returns the message types of encoded messages.
func kindsOf(messages []byte) string {
	var kinds []byte
	for {
		kind, _, rest, ok := nextMessage(messages)
		if !ok {
			return string(kinds)
		}
		kinds = append(kinds, kind)
		messages = rest
	}
}

func TestPlanInjectsWhatTheConnectionLacks(t *testing.T) {
	bind := encodeAll(&pgproto3.Bind{PreparedStatement: "p"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	parse := encodeAll(&pgproto3.Parse{Name: "p"}, &pgproto3.Sync{})
	needed := []api.PreparedStatement{{Name: "p", Query: "SELECT 1"}}
	tests := []struct {
		name          string
		has           []string
		prepared      []api.PreparedStatement
		messages      []byte
		sent          string
		suppressCount int
		parsing       []string
	}{
		{"unknown statement", nil, needed, bind, "PBES", 1, []string{"p"}},
		{"known statement", []string{"p"}, needed, bind, "BES", 0, nil},
		{"new name", nil, nil, parse, "PS", 0, []string{"p"}},
		{"name in use", []string{"p"}, nil, parse, "CPS", 1, []string{"p"}},
		{"needed and parsed", nil, needed, parse, "PS", 0, []string{"p"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := &batch{slot: newSlot(nil, ""), req: &api.ExecuteRequest{Messages: test.messages, Prepared: test.prepared}}
			for _, name := range test.has {
				b.slot.prepared[name] = struct{}{}
			}
			p := planOf(b, false)
			if sent := kindsOf(p.encode(test.messages)); sent != test.sent || p.suppressCount != test.suppressCount || !slices.Equal(p.parsing, test.parsing) {
				t.Fatalf("got messages %s, suppressCount %d, parsing %v; want those of the case", sent, p.suppressCount, p.parsing)
			}
		})
	}
}

func TestPlanClosesStatementsAtTheLimit(t *testing.T) {
	b := &batch{slot: newSlot(nil, ""), req: &api.ExecuteRequest{
		Messages: encodeAll(&pgproto3.Sync{}), Prepared: []api.PreparedStatement{{Name: "new"}},
	}}
	for i := range preparedLimit {
		b.slot.prepared[string(rune('A'+i))] = struct{}{}
	}
	p := planOf(b, false)
	if p.suppressCount != preparedLimit+1 || len(b.slot.prepared) != 0 {
		t.Fatalf("got suppressCount %d and %d recorded statements, want preparedLimit+1 and 0", p.suppressCount, len(b.slot.prepared))
	}
}

func TestPlanSuppressesAnswersToInjectedMessages(t *testing.T) {
	p := plan{suppressCount: 2}
	steps := []struct {
		kind byte
		want bool
	}{
		{messageParameterStatus, false}, {messageCloseComplete, true}, {messageParseComplete, true}, {messageParseComplete, false},
	}
	for i, step := range steps {
		if got := p.suppresses(step.kind); got != step.want {
			t.Fatalf("step %d: suppresses: got %v, want the opposite", i, got)
		}
	}
	failing := plan{suppressCount: 2}
	if failing.suppresses(messageErrorResponse) || failing.suppresses(messageParseComplete) {
		t.Fatal("the error of an injected Parse, or an answer after it, was suppressed; want both relayed")
	}
}

func TestPlanQueriesStatusIfBatchMayCommit(t *testing.T) {
	query := func(text string) []byte { return encodeAll(&pgproto3.Query{String: text}) }
	extended := func(text string, end pgproto3.FrontendMessage) []byte {
		return encodeAll(&pgproto3.Parse{Query: text}, &pgproto3.Bind{}, &pgproto3.Execute{}, end)
	}
	tests := []struct {
		name       string
		leads      bool
		pinned     bool
		inPipeline bool
		messages   []byte
		want       bool
	}{
		{"autocommit", true, false, false, query("INSERT"), true},
		{"replica", false, false, false, query("SELECT 1"), false},
		{"statement in a block", true, true, false, query("INSERT INTO a VALUES (1)"), false},
		{"extended in a block", true, true, false, extended("SELECT 1", &pgproto3.Sync{}), false},
		{"commit", true, true, false, query("COMMIT"), true},
		{"end", true, true, false, query("end transaction"), true},
		{"prepared commit", true, true, false, encodeAll(&pgproto3.Bind{PreparedStatement: "p"}, &pgproto3.Execute{}, &pgproto3.Sync{}), true},
		{"end of a pipeline", true, true, true, encodeAll(&pgproto3.Sync{}), true},
		{"flush", true, false, false, extended("INSERT", &pgproto3.Flush{}), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			req := &api.ExecuteRequest{Messages: test.messages}
			if test.name == "prepared commit" {
				req.Prepared = []api.PreparedStatement{{Name: "p", Query: "commit"}}
			}
			b := &batch{req: req, pinned: test.pinned, inPipeline: test.inPipeline}
			if got := planOf(b, test.leads).statusAfter; got != test.want {
				t.Fatalf("statusAfter: got %v, want the opposite", got)
			}
		})
	}
}

func TestCommitPattern(t *testing.T) {
	tests := map[string]bool{
		"COMMIT": true, "commit and chain": true, "SELECT 1; End": true, "INSERT INTO commits VALUES (1)": false,
		"ROLLBACK": false, "SELECT weekend FROM a": false, "SELECT 'the end'": true,
	}
	for text, want := range tests {
		if got := commitPattern.MatchString(text); got != want {
			t.Errorf("match of %q: got %v, want the opposite", text, got)
		}
	}
}

func TestPlanSendsSettingsOnlyIfTheyDiffer(t *testing.T) {
	path := api.SessionSetting{Name: "search_path", Value: "a"}
	tests := []struct {
		name            string
		appliedSettings map[string]string
		wanted          []api.SessionSetting
		access          api.ExecuteRequestAccess
		leads           bool
		want            map[string]string // nil when nothing is sent
	}{
		{"none", nil, nil, "write", true, nil},
		{"already applied", map[string]string{"search_path": "a"}, []api.SessionSetting{path}, "write", true, nil},
		{"new", nil, []api.SessionSetting{path}, "write", true, map[string]string{"search_path": "a"}},
		{"left by another session", map[string]string{"search_path": "b"}, nil, "write", true, map[string]string{}},
		{"read on the primary", nil, nil, "read", true, map[string]string{readOnlySetting: "on"}},
		{"read on a replica", nil, nil, "read", false, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := &batch{slot: newSlot(nil, ""), req: &api.ExecuteRequest{Settings: test.wanted, Access: test.access}}
			b.slot.appliedSettings = test.appliedSettings
			p := planOf(b, test.leads)
			if !maps.Equal(p.settings, test.want) || (p.settings == nil) != (test.want == nil) {
				t.Fatalf("settings: got %v, want those of the case", p.settings)
			}
		})
	}
}

func TestSettingsQueryQuotes(t *testing.T) {
	got := settingsQuery(map[string]string{"a.b": "it's", `odd"name`: "1"})
	if want := `RESET ALL; SELECT set_config('a.b', 'it''s', false); SELECT set_config('odd"name', '1', false)`; got != want {
		t.Fatalf("got %s, want RESET ALL and one quoted set_config per setting in the order of names", got)
	}
}

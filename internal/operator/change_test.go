package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/objectstore"
	standin "github.com/papayacove/papayacove/standin/platform"
)

func newEditor(t *testing.T, server *standin.Server, author string) *Editor {
	t.Helper()
	client := objectstore.NewClient(objectstore.Options{URL: server.URL(), Zone: "colombo", Timeout: 200 * time.Millisecond})
	t.Cleanup(client.Close)
	now := func() time.Time { return time.UnixMilli(1) }
	return &Editor{Client: client, Author: author, Timeout: 2 * time.Second, Now: now}
}

func TestSecondApplyReportsUnchanged(t *testing.T) {
	server := startPlatform(t)
	path := editedFile(t, server, "connections = 105", "connections = 90")
	wantText(t, mustRun(t, server, "workspace", "diff", path), "differs", "values.connections: 105 -> 90")
	wantText(t, mustRun(t, server, "--dry-run", "workspace", "apply", path), "dry run")
	wantText(t, mustRun(t, server, "workspace", "apply", path), "workspace kelani: done", "105 -> 90")
	again := editedFile(t, server, "kelani", "kelani")
	wantText(t, mustRun(t, server, "workspace", "apply", again), "unchanged")
	wantText(t, mustRun(t, server, "workspace", "history", "kelani"), "ana", "values.connections: 105 -> 90")
	wantText(t, mustRun(t, server, "workspace", "list"), "kelani", "template rounds", "ana")
}

func TestGetHidesVerifiersAndApplyKeepsThem(t *testing.T) {
	server := startPlatform(t)
	if text := mustRun(t, server, "workspace", "get", "kelani"); strings.Contains(text, "SCRAM") {
		t.Errorf("get printed a verifier, want none:\n%s", text)
	}
	mustRun(t, server, "workspace", "apply", editedFile(t, server, "connections = 105", "connections = 90"))
	text := mustRun(t, server, "workspace", "get", "--show-verifiers", "kelani")
	if strings.Count(text, "SCRAM") != 3 {
		t.Errorf("get --show-verifiers after apply, want 3 verifiers:\n%s", text)
	}
}

func TestConflictShowsBothSidesAndChangesNothing(t *testing.T) {
	server := startPlatform(t)
	yours := editedFile(t, server, "connections = 105", "connections = 90")
	mustRun(t, server, "workspace", "set", "kelani", "connections=80", "users.map.max_staleness=9s")
	before := mustRun(t, server, "workspace", "get", "kelani")
	_, err := run(server, "workspace", "apply", yours)
	if ExitCode(err) != ExitConflict {
		t.Fatalf("apply = %v, want exit code %d", err, ExitConflict)
	}
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Partial {
		t.Fatalf("apply = %#v, want a *ConflictError that is not partial", err)
	}
	wantText(t, err.Error(),
		"their changes:\n  users.map.max_staleness: 5s -> 9s\n  values.connections: 105 -> 80\n",
		"your changes:\n  values.connections: 105 -> 90")
	if after := mustRun(t, server, "workspace", "get", "kelani"); after != before {
		t.Errorf("get after the conflicting edit, want the object unchanged, got:\n%s", after)
	}
}

func TestConcurrentEditsConflict(t *testing.T) {
	server := startPlatform(t)
	ctx := context.Background()
	ana, ben := newEditor(t, server, "ana"), newEditor(t, server, "ben")
	before, err := loadExisting(ctx, ana.Client, objectstore.KindWorkspace, "kelani")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ben.Set(ctx, "kelani", []string{"slots=2"}); err != nil {
		t.Fatal(err)
	}
	after := before.Document.clone().(*workspaceDocument)
	after.Values["slots"] = "3"
	_, err = ana.Submit(ctx, newEdit(before, after))
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("Submit = %v, want a *ConflictError", err)
	}
	want := []api.KeyChange{{Key: "values.slots", After: "2"}}
	if len(conflict.Theirs) != 1 || conflict.Theirs[0] != want[0] || conflict.Yours[0].After != "3" {
		t.Errorf("Submit: theirs %v, yours %v, want slots 2 in theirs and 3 in yours", conflict.Theirs, conflict.Yours)
	}
}

func TestInvalidEditChangesNothing(t *testing.T) {
	server := startPlatform(t)
	cases := map[string][]string{
		`values.connections = "501": want integer of 1 to 500`: {"workspace", "set", "kelani", "connections=501"},
		`values.groups = "nowhere": want a group of service`:   {"workspace", "set", "kelani", "groups=nowhere"},
		`template rounds: workspace kelani uses it`:            {"template", "delete", "rounds"},
		`want key=value`: {"workspace", "set", "kelani", "connections"},
		`users.nobody.max_staleness: want a user`:       {"workspace", "set", "kelani", "users.nobody.max_staleness=1s"},
		`kind = "template": want workspace`:             {"workspace", "apply", kelani + "template.toml"},
		`so there was no such change`:                   {"change", "workspace.kelani.999.00"},
		`want kind.name.version.random`:                 {"change", "workspace.kelani"},
		`--output xml: want table or json`:              {"--output", "xml", "workspace", "list"},
		`--platform is missing`:                         {"--platform", "", "workspace", "list"},
		`values.connections = "105": want integer of 1`: {"template", "apply", writeFile(t, templateWithMaximum(t, "100"))},
	}
	for want, arguments := range cases {
		_, err := run(server, arguments...)
		if ExitCode(err) != ExitInvalid {
			t.Errorf("%v: %v, want exit code %d", arguments, err, ExitInvalid)
			continue
		}
		wantText(t, err.Error(), want)
	}
	if _, err := run(server, "workspace", "get", "nobody"); ExitCode(err) != ExitFailed {
		t.Errorf("get of a missing workspace = %v, want exit code 1", err)
	}
}

// templateWithMaximum returns the TOML form of the example's template with another maximum and default of connections.
func templateWithMaximum(t *testing.T, maximum string) string {
	t.Helper()
	file, err := ReadFile(kelani + "template.toml")
	if err != nil {
		t.Fatal(err)
	}
	template := file.Document.(*templateDocument)
	for i := range template.Parameters {
		if template.Parameters[i].Name == "connections" {
			template.Parameters[i].Maximum = maximum
			template.Parameters[i].Default = maximum
		}
	}
	text, err := FormatFile(template, 0, false)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestRemovedWorkspaceStaysAsATombstone(t *testing.T) {
	server := startPlatform(t)
	removed := mustRun(t, server, "workspace", "delete", "kelani")
	wantText(t, removed, "done", "deleted: (unset) -> true")
	if _, err := run(server, "workspace", "get", "kelani"); ExitCode(err) != ExitFailed {
		t.Errorf("get of a removed workspace = %v, want exit code 1", err)
	}
	wantText(t, mustRun(t, server, "workspace", "apply", kelani+"workspace.toml"), "done", "deleted: true -> (unset)")
	history := mustRun(t, server, "workspace", "history", "kelani")
	if strings.Count(history, "ana") != 2 {
		t.Errorf("history, want the removal and the creation after it, got:\n%s", history)
	}
}

func TestLostResponseIsResolved(t *testing.T) {
	server := startPlatform(t)
	editor := newEditor(t, server, "ana")
	server.SetFaults(standin.Faults{LoseNextResponses: 1})
	report, err := editor.Set(context.Background(), "kelani", []string{"slots=2"})
	if err != nil || report.Outcome != "done" {
		t.Fatalf("Set = %+v, %v, want the outcome done", report, err)
	}
	server.SetFaults(standin.Faults{})
	out := mustRun(t, server, "change", report.ChangeID)
	wantText(t, out, "workspace kelani: done")
}

// submittedObject returns the object that an edit with the given id would store.
func submittedObject(t *testing.T, server *standin.Server, id ChangeID) api.Object {
	t.Helper()
	editor := newEditor(t, server, "ana")
	stored, err := load(context.Background(), editor.Client, id.Kind, id.Name)
	if err != nil {
		t.Fatal(err)
	}
	document := &workspaceDocument{api.Workspace{Name: id.Name}}
	if stored.Document != nil {
		document = stored.Document.clone().(*workspaceDocument)
	}
	document.Values = api.WorkspaceValues{"slots": "4"}
	document.RecentChanges = append(document.RecentChanges, id.String())
	object, err := encodeDocument(document, id.Base)
	if err != nil {
		t.Fatal(err)
	}
	return object
}

func TestResolveKeepsDelayedRequestFromTakingEffect(t *testing.T) {
	for _, name := range []string{"kelani", "new-workspace"} {
		t.Run(name, func(t *testing.T) {
			server := startPlatform(t)
			editor := newEditor(t, server, "ana")
			ctx := context.Background()
			stored, err := load(ctx, editor.Client, objectstore.KindWorkspace, name)
			if err != nil {
				t.Fatal(err)
			}
			id := newChangeID(objectstore.KindWorkspace, name, stored.Version)
			delayed := submittedObject(t, server, id)
			report, err := editor.Resolve(ctx, id)
			if err != nil || report.Outcome != "not_done" {
				t.Fatalf("Resolve = %+v, %v, want the outcome not_done", report, err)
			}
			if err := storeObject(ctx, editor.Client, delayed); err == nil {
				t.Error("delayed request after Resolve: got no error, want one")
			}
			if again, err := editor.Resolve(ctx, id); err != nil || again.Outcome != "not_done" {
				t.Errorf("second Resolve = %+v, %v, want the outcome not_done", again, err)
			}
		})
	}
}

// storeObject creates an object, or updates it if it has a version.
func storeObject(ctx context.Context, client *objectstore.Client, object api.Object) error {
	if object.Version == 0 {
		_, err := client.Create(ctx, object)
		return err
	}
	_, err := client.Update(ctx, object)
	return err
}

func TestRequestAppliedBeforeResolveIsDone(t *testing.T) {
	server := startPlatform(t)
	editor := newEditor(t, server, "ana")
	ctx := context.Background()
	stored, err := loadExisting(ctx, editor.Client, objectstore.KindWorkspace, "kelani")
	if err != nil {
		t.Fatal(err)
	}
	id := newChangeID(objectstore.KindWorkspace, "kelani", stored.Version)
	if err := storeObject(ctx, editor.Client, submittedObject(t, server, id)); err != nil {
		t.Fatal(err)
	}
	if _, err := newEditor(t, server, "ben").Set(ctx, "kelani", []string{"groups=rounds-db-1"}); err != nil {
		t.Fatal(err)
	}
	if report, err := editor.Resolve(ctx, id); err != nil || report.Outcome != "done" {
		t.Errorf("Resolve = %+v, %v, want the outcome done", report, err)
	}
}

func TestUnreachablePlatformExitsUnavailable(t *testing.T) {
	server := startPlatform(t)
	path := editedFile(t, server, "connections = 105", "connections = 90")
	server.SetFaults(standin.Faults{PartitionedZones: []string{"operator"}})
	for _, arguments := range [][]string{
		{"workspace", "apply", path},
		{"change", "workspace.kelani.1.00"},
		{"status"},
	} {
		arguments = append([]string{"--timeout", "300ms"}, arguments...)
		if _, err := run(server, arguments...); ExitCode(err) != ExitUnavailable {
			t.Errorf("%v = %v, want exit code %d", arguments, err, ExitUnavailable)
		}
	}
}

func TestHistoryIsBoundedAndOlderChangesAreUnknown(t *testing.T) {
	server := startPlatform(t)
	editor := newEditor(t, server, "ana")
	ctx := context.Background()
	stale := editedFile(t, server, "connections = 105", "connections = 90")
	first, err := editor.Set(ctx, "kelani", []string{"slots=1"})
	if err != nil {
		t.Fatal(err)
	}
	for i := range maxChangeRecords + 2 {
		if _, err := editor.Set(ctx, "kelani", []string{fmt.Sprintf("connections=%d", 10+i)}); err != nil {
			t.Fatal(err)
		}
	}
	var history []api.ChangeRecord
	out := mustRun(t, server, "--output", "json", "workspace", "history", "kelani")
	if err := json.Unmarshal([]byte(out), &history); err != nil || len(history) != maxChangeRecords {
		t.Errorf("history has %d records, %v, want maxChangeRecords", len(history), err)
	}
	id, err := ParseChangeID(first.ChangeID)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := editor.Resolve(ctx, id); ExitCode(err) != ExitUnavailable {
		t.Errorf("Resolve of an old change = %v, want exit code %d", err, ExitUnavailable)
	}
	_, err = run(server, "workspace", "apply", stale)
	var conflict *ConflictError
	if !errors.As(err, &conflict) || !conflict.Partial {
		t.Errorf("apply of an old edit = %v, want a partial *ConflictError", err)
	}
}

package operator

import (
	"path/filepath"
	"reflect"
	"testing"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/config"
	"github.com/papayacove/papayacove/internal/credential"
	"github.com/papayacove/papayacove/internal/objectstore"
)

var deployments = []string{"../../examples/kelani", "../../examples/lichtbild"}

func TestExamplesAreValid(t *testing.T) {
	for _, directory := range deployments {
		paths, err := filepath.Glob(directory + "/*.*")
		if err != nil {
			t.Fatal(err)
		}
		// Five daemons, a template and a workspace, and in the JSON file three groups and
		// the same template and workspace.
		if checked, err := Validate(paths); err != nil || checked != 12 {
			t.Errorf("Validate(%s) = %d, %v, want 12", directory, checked, err)
		}
	}
}

func TestExampleContentMatchesTheFiles(t *testing.T) {
	for _, directory := range deployments {
		content, err := ReadContent(directory + "/platform.json")
		if err != nil {
			t.Fatal(err)
		}
		for _, object := range content.Objects {
			if object.Kind != objectstore.KindTemplate && object.Kind != objectstore.KindWorkspace {
				continue
			}
			stored, err := decodeDocument(object)
			if err != nil {
				t.Fatal(err)
			}
			file, err := ReadFile(filepath.Join(directory, object.Kind+".toml"))
			if err != nil {
				t.Fatal(err)
			}
			if differences := Differences(stored.FlatValues(), file.Document.FlatValues()); len(differences) > 0 {
				t.Errorf("%s: %s in platform.json, want the content of its TOML file, got differences:\n%s", directory, object.Kind, formatDifferences(differences))
			}
		}
		checkVMs(t, directory, content.VMs)
	}
}

// checkVMs compares the VM list with the settings of the daemons.
func checkVMs(t *testing.T, directory string, vms []api.VM) {
	t.Helper()
	for _, vm := range vms {
		if vm.Role != api.VMRoleEntry {
			continue
		}
		s, err := config.Load(filepath.Join(directory, vm.Name+".toml"))
		if err != nil {
			t.Fatal(err)
		}
		want := api.VM{
			Name: s.Name, Zone: s.Zone, Role: api.VMRoleEntry, State: api.VMStateLive,
			CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress, AdminAddress: s.AdminAddress,
		}
		if vm != want {
			t.Errorf("%s: got VM %+v, want %+v as in its settings", directory, vm, want)
		}
	}
}

func TestExamplePasswordIsTheUserName(t *testing.T) {
	for _, directory := range deployments {
		file, err := ReadFile(directory + "/workspace.toml")
		if err != nil {
			t.Fatal(err)
		}
		for _, u := range file.Document.(*workspaceDocument).Users {
			stored, err := credential.Parse(u.Verifier)
			if err != nil {
				t.Fatal(err)
			}
			if made, _ := credential.Make(u.Name, stored.Iters, []byte(stored.Salt)); made != u.Verifier {
				t.Errorf("%s: verifier of user %s, want one of a password that equals the user name", directory, u.Name)
			}
		}
	}
}

func TestFileRoundTrip(t *testing.T) {
	for _, path := range []string{kelani + "template.toml", kelani + "workspace.toml"} {
		file, err := ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		text, err := FormatFile(file.Document, 7, true)
		if err != nil {
			t.Fatal(err)
		}
		again, err := ParseFile("again.toml", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		if again.Version != 7 || !reflect.DeepEqual(again.Document, file.Document) {
			t.Errorf("%s: document after formatting and parsing, want version 7 and the same content, got:\n%s", path, text)
		}
	}
}

func TestReadFileRejectsInvalidFiles(t *testing.T) {
	cases := map[string]string{
		"kind = \"workspace\"\nnme = \"a\"\n":                   "edit.toml:2: unknown key nme",
		"name = \"a\"\n":                                        "kind: want template or workspace",
		"kind = \"workspace\"\n[values]\nlimit = 1.5\n":         `values.limit = "1.5": want an integer`,
		"kind = \"workspace\"\n[values]\ngroups = [\"a,b\"]\n":  `values.groups = "a,b"`,
		"kind = \"workspace\"\n[[users]]\nverifier = hunter2\n": "edit.toml:3: key",
	}
	for content, want := range cases {
		_, err := ReadFile(writeFile(t, content))
		if ExitCode(err) != ExitInvalid {
			t.Errorf("ReadFile = %v, want exit code %d", err, ExitInvalid)
			continue
		}
		wantText(t, err.Error(), want)
	}
}

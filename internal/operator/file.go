package operator

import (
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/config"
	"github.com/papayacove/papayacove/internal/objectstore"
	"github.com/papayacove/papayacove/internal/result"
)

// templateFile is a template in TOML.
type templateFile struct {
	Kind       string          `toml:"kind"`
	Version    uint64          `toml:"version,omitempty"`
	Name       string          `toml:"name"`
	Service    string          `toml:"service"`
	Outcome    api.Outcome     `toml:"outcome"`
	Parameters []parameterFile `toml:"parameters"`
}

// parameterFile is a parameter in TOML; its values keep their TOML types.
type parameterFile struct {
	Name        string `toml:"name"`
	Type        string `toml:"type"`
	Description string `toml:"description"`
	Required    bool   `toml:"required"`
	Default     any    `toml:"default,omitempty"`
	Minimum     any    `toml:"minimum,omitempty"`
	Maximum     any    `toml:"maximum,omitempty"`
}

// workspaceFile is a workspace in TOML; its values keep their TOML types.
type workspaceFile struct {
	Kind     string         `toml:"kind"`
	Version  uint64         `toml:"version,omitempty"`
	Name     string         `toml:"name"`
	Template string         `toml:"template"`
	Values   map[string]any `toml:"values"`
	Users    []userFile     `toml:"users"`
}

type userFile struct {
	Name         string `toml:"name"`
	Verifier     string `toml:"verifier,omitempty"`
	MaxStaleness string `toml:"max_staleness,omitempty"`
}

// File is a document read from TOML.
type File struct {
	Path string
	// Version is the version that the edit started from; 0 when the file states none.
	Version  uint64
	Document Document
}

// ReadFile reads a template or workspace from a TOML file. The error names the file and, where there is one, the
// key and the line at fault.
func ReadFile(path string) (File, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("read file: %w", result.Errorf(result.ObjectInvalid, "%s", err))
	}
	return ParseFile(path, content)
}

// ParseFile reads the content of a TOML file.
func ParseFile(path string, content []byte) (File, error) {
	switch kindOf(content) {
	case objectstore.KindTemplate:
		return parseTemplate(path, content)
	case objectstore.KindWorkspace:
		return parseWorkspace(path, content)
	default:
		return File{}, result.Errorf(result.ObjectInvalid, "%s: kind: want template or workspace", path)
	}
}

// kindOf returns the kind that a file states, or "" if it states none, without checking the rest of the file.
func kindOf(content []byte) string {
	var header struct {
		Kind string `toml:"kind"`
	}
	// A malformed file still yields the keys before the fault; the strict decoding that follows reports the fault.
	_ = toml.Unmarshal(content, &header)
	return header.Kind
}

func parseTemplate(path string, content []byte) (File, error) {
	var file templateFile
	if err := config.Decode(path, content, &file); err != nil {
		return File{}, err
	}
	template := api.Template{Name: file.Name, Service: file.Service, Outcome: file.Outcome}
	var problems config.Problems
	for _, p := range file.Parameters {
		template.Parameters = append(template.Parameters, p.parameter(path, &problems))
	}
	if err := problems.Err(result.ObjectInvalid); err != nil {
		return File{}, err
	}
	return File{Path: path, Version: file.Version, Document: &templateDocument{template}}, nil
}

func (p parameterFile) parameter(path string, problems *config.Problems) api.Parameter {
	key := "parameters." + p.Name
	return api.Parameter{
		Name:        p.Name,
		Type:        api.ParameterType(p.Type),
		Description: p.Description,
		Required:    p.Required,
		Default:     valueText(path, key+".default", p.Default, problems),
		Minimum:     valueText(path, key+".minimum", p.Minimum, problems),
		Maximum:     valueText(path, key+".maximum", p.Maximum, problems),
	}
}

func parseWorkspace(path string, content []byte) (File, error) {
	var file workspaceFile
	if err := config.Decode(path, content, &file); err != nil {
		return File{}, err
	}
	w := api.Workspace{Name: file.Name, Template: file.Template, Values: api.WorkspaceValues{}}
	var problems config.Problems
	for name, v := range file.Values {
		w.Values[name] = valueText(path, "values."+name, v, &problems)
	}
	for _, u := range file.Users {
		w.Users = append(w.Users, api.WorkspaceUser{Name: u.Name, Verifier: u.Verifier, MaxStaleness: u.MaxStaleness})
	}
	sortUsers(w.Users)
	if err := problems.Err(result.ObjectInvalid); err != nil {
		return File{}, err
	}
	return File{Path: path, Version: file.Version, Document: &workspaceDocument{w}}, nil
}

func sortUsers(users []api.WorkspaceUser) {
	sort.SliceStable(users, func(i, j int) bool { return users[i].Name < users[j].Name })
}

func (d *templateDocument) file(version uint64, _ bool) any {
	file := templateFile{
		Kind:    objectstore.KindTemplate,
		Version: version,
		Name:    d.Name,
		Service: d.Service,
		Outcome: d.Outcome,
	}
	for _, p := range d.Parameters {
		file.Parameters = append(file.Parameters, parameterFile{
			Name:        p.Name,
			Type:        string(p.Type),
			Description: p.Description,
			Required:    p.Required,
			Default:     tomlValue(p.Default),
			Minimum:     tomlValue(p.Minimum),
			Maximum:     tomlValue(p.Maximum),
		})
	}
	return file
}

func (d *workspaceDocument) file(version uint64, showSecrets bool) any {
	file := workspaceFile{
		Kind:     objectstore.KindWorkspace,
		Version:  version,
		Name:     d.Name,
		Template: d.Template,
		Values:   map[string]any{},
	}
	for name, text := range d.Values {
		file.Values[name] = text
		if native := tomlValue(text); native != nil {
			file.Values[name] = native
		}
	}
	for _, u := range d.Users {
		verifier := u.Verifier
		if !showSecrets {
			verifier = ""
		}
		file.Users = append(file.Users, userFile{Name: u.Name, Verifier: verifier, MaxStaleness: u.MaxStaleness})
	}
	return file
}

// FormatFile returns the TOML form of a document, which apply accepts. Without showSecrets it
// omits the verifiers, and apply keeps the stored ones.
func FormatFile(document Document, version uint64, showSecrets bool) (string, error) {
	var text strings.Builder
	encoder := toml.NewEncoder(&text)
	if err := encoder.Encode(document.file(version, showSecrets)); err != nil {
		return "", fmt.Errorf("encode %s %s: %w", document.Kind(), document.ObjectName(), err)
	}
	return text.String(), nil
}

package operator

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/config"
	"github.com/papayacove/papayacove/internal/objectstore"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/internal/workspace"
)

// Content is a JSON file of platform objects and VMs.
type Content struct {
	Objects []api.Object `json:"objects"`
	VMs     []api.VM     `json:"vms"`
}

// ReadContent reads a JSON file of platform objects and VMs.
func ReadContent(path string) (Content, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Content{}, fmt.Errorf("read file: %w", result.Errorf(result.ObjectInvalid, "%s", err))
	}
	var content Content
	if err := json.Unmarshal(text, &content); err != nil {
		return Content{}, result.Errorf(result.ObjectInvalid, "%s: not a JSON file of objects and vms", path)
	}
	return content, nil
}

// Validate checks files without the platform: templates, workspaces and daemon settings in TOML,
// and platform objects in JSON. Workspaces are checked against the templates and groups among the
// files; without any group, the checks against groups are skipped. It returns the number of
// objects and settings that were checked.
func Validate(paths []string) (int, error) {
	v := &validation{declared: newDeclaredObjects()}
	for _, path := range paths {
		if err := v.read(path); err != nil {
			return 0, err
		}
	}
	v.declared.withoutGroups = len(v.declared.groups) == 0
	for _, group := range v.declared.groups {
		v.problems = append(v.problems, workspace.CheckGroup(group)...)
	}
	for _, document := range v.documents {
		v.problems = append(v.problems, v.declared.check(document)...)
	}
	checked := v.settings + len(v.declared.groups) + len(v.documents)
	return checked, v.problems.Err(result.ObjectInvalid)
}

// validation collects the objects that the files declare, and the problems of these objects.
type validation struct {
	declared  *declaredObjects
	documents []Document
	// settings is the number of settings files of daemons.
	settings int
	problems config.Problems
}

func (v *validation) read(path string) error {
	if filepath.Ext(path) == ".json" {
		return v.readContent(path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read file: %w", result.Errorf(result.ObjectInvalid, "%s", err))
	}
	if kindOf(text) == "" {
		v.settings++
		_, err := config.Load(path)
		return err
	}
	file, err := ParseFile(path, text)
	if err != nil {
		return err
	}
	v.add(file.Document)
	return nil
}

func (v *validation) readContent(path string) error {
	content, err := ReadContent(path)
	if err != nil {
		return err
	}
	v.declared.groups = append(v.declared.groups, decodeGroups(content.Objects)...)
	for _, object := range content.Objects {
		if object.Kind != objectstore.KindTemplate && object.Kind != objectstore.KindWorkspace {
			continue
		}
		document, err := decodeDocument(object)
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		v.add(document)
	}
	return nil
}

func (v *validation) add(document Document) {
	v.documents = append(v.documents, document)
	v.declared.overlay(document)
}

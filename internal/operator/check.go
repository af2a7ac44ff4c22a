package operator

import (
	"context"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/config"
	"github.com/papayacove/papayacove/internal/objectstore"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/internal/workspace"
)

// declared are the objects that an edit is checked against: what the platform holds, overlaid
// with the documents of the same command.
type declared struct {
	templates  map[string]api.Template
	workspaces map[string]api.Workspace
	groups     []api.GroupSpec
	// withoutGroups leaves the checks against groups out.
	withoutGroups bool
}

func newDeclared() *declared {
	return &declared{templates: map[string]api.Template{}, workspaces: map[string]api.Workspace{}}
}

// loadDeclared reads templates, workspaces and groups from the platform.
func loadDeclared(ctx context.Context, client *objectstore.Client) (*declared, error) {
	d := newDeclared()
	for _, kind := range []string{objectstore.KindTemplate, objectstore.KindWorkspace} {
		all, err := loadAll(ctx, client, kind)
		if err != nil {
			return nil, err
		}
		for _, stored := range all {
			d.overlay(stored.Document)
		}
	}
	groups, err := loadGroups(ctx, client)
	d.groups = groups
	return d, err
}

// overlay puts a document in the place of the one of its name.
func (d *declared) overlay(document Document) {
	switch doc := document.(type) {
	case *templateDocument:
		d.templates[doc.Name] = doc.Template
	case *workspaceDocument:
		d.workspaces[doc.Name] = doc.Workspace
	}
}

// check returns what is wrong with a document and with the workspaces that depend on it.
func (d *declared) check(document Document) config.Problems {
	switch doc := document.(type) {
	case *templateDocument:
		return d.checkTemplate(doc.Template)
	case *workspaceDocument:
		return d.checkWorkspace(doc.Workspace)
	default:
		return nil
	}
}

func (d *declared) checkTemplate(template api.Template) config.Problems {
	if problems := workspace.CheckTemplate(template); len(problems) > 0 {
		return problems
	}
	var problems config.Problems
	for _, w := range d.users(template.Name) {
		problems = append(problems, d.checkWorkspace(w)...)
	}
	return problems
}

func (d *declared) checkWorkspace(w api.Workspace) config.Problems {
	if w.Deleted {
		return nil
	}
	template := d.templates[w.Template]
	if template.Name == "" {
		var problems config.Problems
		problems.Add("workspace "+w.Name, "template", w.Template, "the name of a template")
		return problems
	}
	if d.withoutGroups {
		_, problems := workspace.ResolveValues(template, w)
		return problems
	}
	_, problems := workspace.Resolve(template, w, d.groups)
	return problems
}

// users returns the workspaces of a template.
func (d *declared) users(template string) []api.Workspace {
	var list []api.Workspace
	for _, w := range d.workspaces {
		if w.Template == template && !w.Deleted {
			list = append(list, w)
		}
	}
	return list
}

// checkRemoval refuses to remove a template that workspaces use.
func (d *declared) checkRemoval(document Document) error {
	template, isTemplate := document.(*templateDocument)
	if !isTemplate {
		return nil
	}
	for _, w := range d.users(template.Name) {
		return result.Errorf(result.ObjectInvalid, "template %s: workspace %s uses it", template.Name, w.Name)
	}
	return nil
}

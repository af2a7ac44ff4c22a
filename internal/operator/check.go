package operator

import (
	"context"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/config"
	"github.com/papayacove/papayacove/internal/objectstore"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/papayacove/papayacove/internal/workspace"
)

// declaredObjects holds the objects that an edit is checked against: those on the platform, overlaid
// with the documents of the same command.
type declaredObjects struct {
	templates  map[string]api.Template
	workspaces map[string]api.Workspace
	groups     []api.GroupSpec
	// withoutGroups skips the checks of workspaces against groups.
	withoutGroups bool
}

func newDeclaredObjects() *declaredObjects {
	return &declaredObjects{templates: map[string]api.Template{}, workspaces: map[string]api.Workspace{}}
}

// loadDeclaredObjects reads templates, workspaces and groups from the platform.
func loadDeclaredObjects(ctx context.Context, client *objectstore.Client) (*declaredObjects, error) {
	d := newDeclaredObjects()
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

// overlay adds a document, or replaces the one of the same kind and name.
func (d *declaredObjects) overlay(document Document) {
	switch doc := document.(type) {
	case *templateDocument:
		d.templates[doc.Name] = doc.Template
	case *workspaceDocument:
		d.workspaces[doc.Name] = doc.Workspace
	}
}

// check returns the problems of a document. For a template without problems of its own, these are the problems of the
// workspaces that use it.
func (d *declaredObjects) check(document Document) config.Problems {
	switch doc := document.(type) {
	case *templateDocument:
		return d.checkTemplate(doc.Template)
	case *workspaceDocument:
		return d.checkWorkspace(doc.Workspace)
	default:
		return nil
	}
}

func (d *declaredObjects) checkTemplate(template api.Template) config.Problems {
	if problems := workspace.CheckTemplate(template); len(problems) > 0 {
		return problems
	}
	var problems config.Problems
	for _, w := range d.workspacesUsing(template.Name) {
		problems = append(problems, d.checkWorkspace(w)...)
	}
	return problems
}

func (d *declaredObjects) checkWorkspace(w api.Workspace) config.Problems {
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

// workspacesUsing returns the workspaces of a template, without those marked as removed.
func (d *declaredObjects) workspacesUsing(template string) []api.Workspace {
	var list []api.Workspace
	for _, w := range d.workspaces {
		if w.Template == template && !w.Deleted {
			list = append(list, w)
		}
	}
	return list
}

// checkRemoval fails with ObjectInvalid if document is a template that workspaces use.
func (d *declaredObjects) checkRemoval(document Document) error {
	template, isTemplate := document.(*templateDocument)
	if !isTemplate {
		return nil
	}
	for _, w := range d.workspacesUsing(template.Name) {
		return result.Errorf(result.ObjectInvalid, "template %s: workspace %s uses it", template.Name, w.Name)
	}
	return nil
}

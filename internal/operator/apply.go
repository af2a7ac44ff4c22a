package operator

import (
	"context"
	"fmt"
	"sort"
	"strings"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/objectstore"
	"github.com/papayacove/papayacove/internal/result"
)

// ApplyFiles stores the documents of files, templates first. It checks all of them before it
// changes any, and stops at the first failure; the reports tell what was done.
func (e *Editor) ApplyFiles(ctx context.Context, files []File) ([]Report, error) {
	edits, err := e.prepare(ctx, files)
	if err != nil {
		return nil, err
	}
	var reports []Report
	for _, edit := range edits {
		report, err := e.Submit(ctx, edit)
		reports = append(reports, report)
		if err != nil {
			return reports, err
		}
	}
	return reports, nil
}

func (e *Editor) prepare(ctx context.Context, files []File) ([]Edit, error) {
	sort.SliceStable(files, func(i, j int) bool {
		return files[i].Document.Kind() < files[j].Document.Kind()
	})
	known, err := loadDeclared(ctx, e.Client)
	if err != nil {
		return nil, err
	}
	var edits []Edit
	for _, file := range files {
		edit, err := e.editOf(ctx, file)
		if err != nil {
			return nil, err
		}
		known.overlay(edit.After)
		edits = append(edits, edit)
	}
	for i, edit := range edits {
		if err := known.check(edit.After).Err(result.ObjectInvalid); err != nil {
			return nil, fmt.Errorf("%s: %w", files[i].Path, err)
		}
	}
	return edits, nil
}

// editOf starts the edit of a file. A file that states a version refuses any newer one.
func (e *Editor) editOf(ctx context.Context, file File) (Edit, error) {
	before, err := load(ctx, e.Client, file.Document.Kind(), file.Document.Title())
	if err != nil {
		return Edit{}, err
	}
	keepVerifiers(before.Document, file.Document)
	edit := newEdit(before, file.Document)
	if file.Version == 0 || file.Version == before.Version {
		return edit, nil
	}
	stale := Edit{Base: file.Version, After: file.Document}
	conflict := newConflict(stale, before)
	if conflict.Partial || len(conflict.Theirs) > 0 {
		return Edit{}, conflict
	}
	// The version rose without a change of content, which resolving a lost answer does.
	return edit, nil
}

// keepVerifiers fills in the stored verifiers of users whose file states none.
func keepVerifiers(before, after Document) {
	old, isWorkspace := before.(*workspaceDocument)
	edited, _ := after.(*workspaceDocument)
	if !isWorkspace || edited == nil {
		return
	}
	stored := map[string]string{}
	for _, u := range old.Users {
		stored[u.Name] = u.Verifier
	}
	for i, u := range edited.Users {
		if u.Verifier == "" {
			edited.Users[i].Verifier = stored[u.Name]
		}
	}
}

// Remove marks a document as removed. It stays on the platform, so that its version only rises.
func (e *Editor) Remove(ctx context.Context, kind, name string) (Report, error) {
	before, err := loadExisting(ctx, e.Client, kind, name)
	if err != nil {
		return Report{}, err
	}
	known, err := loadDeclared(ctx, e.Client)
	if err != nil {
		return Report{}, err
	}
	if err := known.checkRemoval(before.Document); err != nil {
		return Report{}, err
	}
	edit := newEdit(before, before.Document.clone())
	edit.Deleted = true
	return e.Submit(ctx, edit)
}

// Set changes single values of a workspace: PARAMETER=VALUE, or users.NAME.max_staleness=VALUE
// and users.NAME.verifier=VALUE. An empty value brings the default back.
func (e *Editor) Set(ctx context.Context, name string, assignments []string) (Report, error) {
	before, err := loadExisting(ctx, e.Client, objectstore.KindWorkspace, name)
	if err != nil {
		return Report{}, err
	}
	after := before.Document.clone().(*workspaceDocument)
	for _, assignment := range assignments {
		if err := assign(after, assignment); err != nil {
			return Report{}, err
		}
	}
	known, err := loadDeclared(ctx, e.Client)
	if err != nil {
		return Report{}, err
	}
	if err := known.check(after).Err(result.ObjectInvalid); err != nil {
		return Report{}, err
	}
	return e.Submit(ctx, newEdit(before, after))
}

func assign(w *workspaceDocument, assignment string) error {
	key, text, found := strings.Cut(assignment, "=")
	if !found {
		return result.Errorf(result.ObjectInvalid, "%q: want key=value", assignment)
	}
	if user, isUser := strings.CutPrefix(key, "users."); isUser {
		return assignUser(w.Users, user, text)
	}
	if text == "" {
		delete(w.Values, key)
		return nil
	}
	w.Values[key] = text
	return nil
}

func assignUser(users []api.WorkspaceUser, path, text string) error {
	name, property, _ := strings.Cut(path, ".")
	for i := range users {
		if users[i].Name != name {
			continue
		}
		switch property {
		case "max_staleness":
			users[i].MaxStaleness = text
			return nil
		case "verifier":
			users[i].Verifier = text
			return nil
		}
	}
	return result.Errorf(result.ObjectInvalid, "users.%s: want a user of the workspace and max_staleness or verifier", path)
}

// Compare returns the differences between what the platform holds and a file.
func (e *Editor) Compare(ctx context.Context, file File) (Report, error) {
	before, err := load(ctx, e.Client, file.Document.Kind(), file.Document.Title())
	if err != nil {
		return Report{}, err
	}
	keepVerifiers(before.Document, file.Document)
	differences := Differences(before.keys(), file.Document.Keys())
	outcome := "differs"
	if len(differences) == 0 {
		outcome = outcomeUnchanged
	}
	return Report{
		Kind:        file.Document.Kind(),
		Name:        file.Document.Title(),
		Outcome:     outcome,
		Version:     before.Version,
		Differences: differences,
	}, nil
}

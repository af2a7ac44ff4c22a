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

// ApplyFiles stores the documents of files, templates before workspaces. It checks all of them
// before it changes any, and stops at the first failure; the reports cover the documents that were
// submitted until then, including the one that failed.
func (e *Editor) ApplyFiles(ctx context.Context, files []File) ([]Report, error) {
	edits, err := e.prepareEdits(ctx, files)
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

// prepareEdits sorts files by kind in place and returns an edit for each, after all of them passed the checks.
func (e *Editor) prepareEdits(ctx context.Context, files []File) ([]Edit, error) {
	sort.SliceStable(files, func(i, j int) bool {
		return files[i].Document.Kind() < files[j].Document.Kind()
	})
	declared, err := loadDeclaredObjects(ctx, e.Client)
	if err != nil {
		return nil, err
	}
	var edits []Edit
	for _, file := range files {
		edit, err := e.editForFile(ctx, file)
		if err != nil {
			return nil, err
		}
		declared.overlay(edit.After)
		edits = append(edits, edit)
	}
	for i, edit := range edits {
		if err := declared.check(edit.After).Err(result.ObjectInvalid); err != nil {
			return nil, fmt.Errorf("%s: %w", files[i].Path, err)
		}
	}
	return edits, nil
}

// editForFile returns the edit that stores a file. If the file states a version and the content on the platform has
// changed since that version, or the history does not reach back to it, the error is a *ConflictError.
func (e *Editor) editForFile(ctx context.Context, file File) (Edit, error) {
	before, err := load(ctx, e.Client, file.Document.Kind(), file.Document.ObjectName())
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
	// The version rose but the content is the same: Resolve rewrites an object unchanged to determine the outcome of a
	// change whose answer was lost.
	return edit, nil
}

// keepVerifiers copies the stored verifier of each user for whom the file states none.
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

// Remove marks a document as removed. The object stays on the platform, so that its version never falls.
func (e *Editor) Remove(ctx context.Context, kind, name string) (Report, error) {
	before, err := loadExisting(ctx, e.Client, kind, name)
	if err != nil {
		return Report{}, err
	}
	declared, err := loadDeclaredObjects(ctx, e.Client)
	if err != nil {
		return Report{}, err
	}
	if err := declared.checkRemoval(before.Document); err != nil {
		return Report{}, err
	}
	edit := newEdit(before, before.Document.clone())
	edit.Deleted = true
	return e.Submit(ctx, edit)
}

// Set changes single values of a workspace: PARAMETER=VALUE, or users.NAME.max_staleness=VALUE
// and users.NAME.verifier=VALUE. An empty value restores the default.
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
	declared, err := loadDeclaredObjects(ctx, e.Client)
	if err != nil {
		return Report{}, err
	}
	if err := declared.check(after).Err(result.ObjectInvalid); err != nil {
		return Report{}, err
	}
	return e.Submit(ctx, newEdit(before, after))
}

// assign applies one KEY=VALUE to a workspace.
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
	before, err := load(ctx, e.Client, file.Document.Kind(), file.Document.ObjectName())
	if err != nil {
		return Report{}, err
	}
	keepVerifiers(before.Document, file.Document)
	differences := Differences(before.flatValues(), file.Document.FlatValues())
	outcome := "differs"
	if len(differences) == 0 {
		outcome = outcomeUnchanged
	}
	return Report{
		Kind:        file.Document.Kind(),
		Name:        file.Document.ObjectName(),
		Outcome:     outcome,
		Version:     before.Version,
		Differences: differences,
	}, nil
}

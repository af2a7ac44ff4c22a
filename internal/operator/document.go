package operator

import (
	"encoding/json"
	"fmt"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/objectstore"
	"github.com/papayacove/papayacove/internal/result"
)

// Document is a template or a workspace as operators declare it.
type Document interface {
	// Kind returns the object kind on the platform.
	Kind() string
	// ObjectName returns the name of the object.
	ObjectName() string
	// IsDeleted reports whether the object is marked as removed.
	IsDeleted() bool
	// FlatValues returns the declared values by path; secrets are replaced by fingerprints.
	FlatValues() FlatValues
	// Changes returns the history, newest first.
	Changes() []api.ChangeRecord
	// setMetadata sets the fields that are stored beside the declared values.
	setMetadata(deleted bool, history []api.ChangeRecord)
	// clone returns a copy that can be edited without changing the original.
	clone() Document
	// file returns the form that is encoded as TOML.
	file(version uint64, showSecrets bool) any
}

// templateDocument implements Document for a template.
type templateDocument struct {
	api.Template
}

func (d *templateDocument) Kind() string                { return objectstore.KindTemplate }
func (d *templateDocument) ObjectName() string          { return d.Name }
func (d *templateDocument) IsDeleted() bool             { return d.Deleted }
func (d *templateDocument) Changes() []api.ChangeRecord { return d.History }

func (d *templateDocument) setMetadata(deleted bool, history []api.ChangeRecord) {
	d.Deleted = deleted
	d.History = history
}

func (d *templateDocument) clone() Document {
	copied := *d
	copied.Parameters = append([]api.Parameter(nil), d.Parameters...)
	return &copied
}

// workspaceDocument implements Document for a workspace.
type workspaceDocument struct {
	api.Workspace
}

func (d *workspaceDocument) Kind() string                { return objectstore.KindWorkspace }
func (d *workspaceDocument) ObjectName() string          { return d.Name }
func (d *workspaceDocument) IsDeleted() bool             { return d.Deleted }
func (d *workspaceDocument) Changes() []api.ChangeRecord { return d.History }

func (d *workspaceDocument) setMetadata(deleted bool, history []api.ChangeRecord) {
	d.Deleted = deleted
	d.History = history
}

func (d *workspaceDocument) clone() Document {
	copied := *d
	copied.Values = api.WorkspaceValues{}
	for key, text := range d.Values {
		copied.Values[key] = text
	}
	copied.Users = append([]api.WorkspaceUser(nil), d.Users...)
	return &copied
}

// decodeDocument decodes a stored object. The error omits the message of the JSON decoder,
// because that may quote a secret.
func decodeDocument(object api.Object) (Document, error) {
	document, err := newDocument(object.Kind)
	if err != nil {
		return nil, err
	}
	if json.Unmarshal(object.Data, document) != nil || document.ObjectName() != object.Name {
		return nil, result.Errorf(result.ObjectInvalid, "%s %s: the stored document is malformed", object.Kind, object.Name)
	}
	return document, nil
}

// newDocument returns an empty document of a kind.
func newDocument(kind string) (Document, error) {
	switch kind {
	case objectstore.KindTemplate:
		return &templateDocument{}, nil
	case objectstore.KindWorkspace:
		return &workspaceDocument{}, nil
	default:
		return nil, result.Errorf(result.ObjectInvalid, "kind %q: want template or workspace", kind)
	}
}

// encodeDocument returns the object that replaces the given version by the document; version 0 creates the object.
func encodeDocument(document Document, version uint64) (api.Object, error) {
	data, err := json.Marshal(document)
	if err != nil {
		return api.Object{}, fmt.Errorf("encode %s %s: %w", document.Kind(), document.ObjectName(), err)
	}
	return api.Object{Kind: document.Kind(), Name: document.ObjectName(), Version: version, Data: data}, nil
}

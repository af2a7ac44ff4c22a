package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/objectstore"
	"github.com/papayacove/papayacove/internal/result"
)

// Stored is a document with its version on the platform.
type Stored struct {
	Document Document
	// Version is 0 when there is no such object.
	Version uint64
}

// Exists reports whether the object exists and is not marked as removed.
func (s Stored) Exists() bool {
	return s.Version != 0 && !s.Document.IsDeleted()
}

// flatValues returns the declared values by path; a missing object has none.
func (s Stored) flatValues() FlatValues {
	if s.Document == nil {
		return FlatValues{}
	}
	return s.Document.FlatValues()
}

// load reads a document; a missing one has version 0.
func load(ctx context.Context, client *objectstore.Client, kind, name string) (Stored, error) {
	object, err := client.Get(ctx, kind, name)
	if errors.Is(err, objectstore.ErrNotFound) {
		return Stored{}, nil
	}
	if err != nil {
		return Stored{}, platformError(err)
	}
	document, err := decodeDocument(object)
	if err != nil {
		return Stored{}, err
	}
	return Stored{Document: document, Version: object.Version}, nil
}

// loadExisting reads a document and fails with ObjectNotFound when it is missing or removed.
func loadExisting(ctx context.Context, client *objectstore.Client, kind, name string) (Stored, error) {
	stored, err := load(ctx, client, kind, name)
	if err != nil {
		return Stored{}, err
	}
	if !stored.Exists() {
		return Stored{}, result.Errorf(result.ObjectNotFound, "no %s %q", kind, name)
	}
	return stored, nil
}

// loadAll reads the documents of a kind; malformed ones are left out.
func loadAll(ctx context.Context, client *objectstore.Client, kind string) ([]Stored, error) {
	list, err := client.List(ctx, kind)
	if err != nil {
		return nil, platformError(err)
	}
	var all []Stored
	for _, object := range list.Objects {
		document, err := decodeDocument(object)
		if err != nil {
			continue
		}
		all = append(all, Stored{Document: document, Version: object.Version})
	}
	return all, nil
}

// loadGroups reads the database groups; malformed ones are left out.
func loadGroups(ctx context.Context, client *objectstore.Client) ([]api.GroupSpec, error) {
	list, err := client.List(ctx, objectstore.KindGroup)
	if err != nil {
		return nil, platformError(err)
	}
	return decodeGroups(list.Objects), nil
}

func decodeGroups(objects []api.Object) []api.GroupSpec {
	var groups []api.GroupSpec
	for _, object := range objects {
		var group api.GroupSpec
		if object.Kind == objectstore.KindGroup && json.Unmarshal(object.Data, &group) == nil {
			groups = append(groups, group)
		}
	}
	return groups
}

// platformError adds the result code of a failed platform call to its error.
func platformError(err error) error {
	return fmt.Errorf("%w: %w", result.Errorf(platformCode(err), "platform call failed"), err)
}

func platformCode(err error) result.Code {
	switch {
	case errors.Is(err, objectstore.ErrOutcomeUnknown):
		return result.OutcomeUnknown
	case errors.Is(err, objectstore.ErrUnavailable):
		return result.PlatformUnavailable
	case errors.Is(err, objectstore.ErrConflict), errors.Is(err, objectstore.ErrExists):
		return result.ObjectConflict
	case errors.Is(err, objectstore.ErrNotFound):
		return result.ObjectNotFound
	case errors.Is(err, objectstore.ErrInvalid), errors.Is(err, objectstore.ErrTooLarge):
		return result.ObjectInvalid
	default:
		return result.Internal
	}
}

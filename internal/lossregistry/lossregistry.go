// Package lossregistry keeps the lost replicas of all groups in the object store: those that are gone and may alone
// hold an acknowledged commit. A daemon that starts after such a loss sees only the replicas that are left, and would
// promote one of them without the commit.
package lossregistry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/objectstore"
)

// Kind is the kind of the records in the object store.
const Kind = "papayacove-lost"

// Store is the part of the object store that a Registry uses.
type Store interface {
	List(ctx context.Context, kind string) (api.ObjectList, error)
	Create(ctx context.Context, o api.Object) (api.Object, error)
	Delete(ctx context.Context, kind, name string) error
}

// Registry implements engine.LossRegistry. Its methods may be called concurrently.
type Registry struct {
	store      Store
	unreadable objectstore.UnreadableLog
}

// New returns the registry in a store.
func New(store Store) *Registry { return &Registry{store: store} }

// Record stores a loss. A record of the same replica stays as it is.
func (r *Registry) Record(ctx context.Context, loss api.LostReplica) error {
	data, err := json.Marshal(loss)
	if err != nil {
		return fmt.Errorf("encode loss: %w", err)
	}
	_, err = r.store.Create(ctx, api.Object{Kind: Kind, Name: nameOf(loss.Group, loss.Replica), Data: data})
	if err != nil && !errors.Is(err, objectstore.ErrExists) {
		return fmt.Errorf("record the loss of %s: %w", loss.Replica, err)
	}
	return nil
}

// Forget removes a loss.
func (r *Registry) Forget(ctx context.Context, group, replica string) error {
	err := r.store.Delete(ctx, Kind, nameOf(group, replica))
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return fmt.Errorf("forget the loss of %s: %w", replica, err)
	}
	return nil
}

// List returns the losses. A record that cannot be read, or that has the name of another, is left out.
func (r *Registry) List(ctx context.Context) ([]api.LostReplica, error) {
	list, err := r.store.List(ctx, Kind)
	if err != nil {
		return nil, fmt.Errorf("list the lost replicas: %w", err)
	}
	var losses []api.LostReplica
	for _, o := range list.Objects {
		var loss api.LostReplica
		err := json.Unmarshal(o.Data, &loss)
		if err == nil && o.Name != nameOf(loss.Group, loss.Replica) {
			err = errForeignName
		}
		if err != nil {
			r.unreadable.Report(logevent.ObjectUnreadable, Kind, o.Name, err)
			continue
		}
		losses = append(losses, loss)
	}
	return losses, nil
}

// errForeignName means that a record does not have the name that its content asks for.
var errForeignName = errors.New("the record has the name of another")

// nameOf returns the name of the record of a replica. The name of a replica may hold any characters.
func nameOf(group, replica string) string {
	sum := sha256.Sum256([]byte(group + "\x00" + replica))
	return hex.EncodeToString(sum[:16])
}

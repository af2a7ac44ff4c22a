package daemonregistry

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
)

// recordingStore keeps the last entry that was written, and the name that was deleted last.
type recordingStore struct {
	Store
	written api.DaemonEntry
	deleted string
}

func (s *recordingStore) Create(_ context.Context, o api.Object) (api.Object, error) {
	return o, json.Unmarshal(o.Data, &s.written)
}

func (s *recordingStore) Update(ctx context.Context, o api.Object) (api.Object, error) {
	return s.Create(ctx, o)
}

func (s *recordingStore) Delete(_ context.Context, _, name string) error {
	s.deleted = name
	return nil
}

func object(t *testing.T, entry api.DaemonEntry) api.Object {
	t.Helper()
	data, err := json.Marshal(entry)
	if err != nil {
		t.Fatal(err)
	}
	return api.Object{Kind: Kind, Name: entry.Name, Version: 1, Data: data}
}

// TestDaemonThatStoppedAsPlannedIsKnownAtItsNextStart guards against planned restarts one after the other that leave the
// limits of workspaces without owners: a daemon whose entry is gone must first wait until all others have read the new one.
func TestDaemonThatStoppedAsPlannedIsKnownAtItsNextStart(t *testing.T) {
	store := &recordingStore{}
	before := New(store, api.DaemonEntry{Name: "self", Zone: "z"}, nil)
	before.Leave(t.Context())
	if !store.written.Left || store.deleted != "" {
		t.Fatalf("got %+v written, %q deleted, want the entry marked as left", store.written, store.deleted)
	}
	if err := before.write(t.Context()); err != nil || !store.written.Left {
		t.Errorf("got %+v written after the daemon left, %v, want it marked still", store.written, err)
	}
	after := New(store, api.DaemonEntry{Name: "self", Zone: "z"}, nil)
	after.present(api.ObjectList{Objects: []api.Object{object(t, store.written)}}, 0)
	if !after.Registration().FoundAtStart {
		t.Error("the daemon does not know that others count it")
	}
	if err := after.write(t.Context()); err != nil || store.written.Left {
		t.Errorf("got %+v written after the next start, %v, want it present", store.written, err)
	}
}

// TestEntriesOfDaemonsThatLeftAreMarkedAndForgotten lists a daemon that has left: it is told apart, and after forgetAfter
// the first of the daemons that are present deletes its entry.
func TestEntriesOfDaemonsThatLeftAreMarkedAndForgotten(t *testing.T) {
	list := api.ObjectList{Objects: []api.Object{object(t, api.DaemonEntry{Name: "b"}), object(t, api.DaemonEntry{Name: "c", Left: true})}}
	for self, deletes := range map[string]bool{"a": true, "d": false} {
		store := &recordingStore{}
		r := New(store, api.DaemonEntry{Name: self}, nil)
		for _, entry := range r.present(list, 0) {
			if entry.Left != (entry.Name == "c") {
				t.Errorf("%s: got left %t of %s", self, entry.Left, entry.Name)
			}
		}
		r.forgetOne(t.Context(), forgetAfter-time.Second)
		if store.deleted != "" {
			t.Errorf("%s: got %q deleted early", self, store.deleted)
		}
		list.Objects[0].Version++
		r.present(list, forgetAfter)
		r.forgetOne(t.Context(), forgetAfter)
		if (store.deleted == "c") != deletes {
			t.Errorf("%s: got %q deleted, want that of c: %t", self, store.deleted, deletes)
		}
	}
}

package lossregistry

import (
	"context"
	"errors"
	"io"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/objectstore"
)

func TestMain(m *testing.M) {
	logrus.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// fakeStore keeps objects by name, and fails each call with err if it is set.
type fakeStore struct {
	objects map[string]api.Object
	err     error
}

func (s *fakeStore) List(context.Context, string) (api.ObjectList, error) {
	list := api.ObjectList{}
	for _, o := range s.objects {
		list.Objects = append(list.Objects, o)
	}
	return list, s.err
}

func (s *fakeStore) Create(_ context.Context, o api.Object) (api.Object, error) {
	if _, ok := s.objects[o.Name]; ok {
		return api.Object{}, objectstore.ErrExists
	}
	if s.err == nil {
		s.objects[o.Name] = o
	}
	return o, s.err
}

func (s *fakeStore) Delete(_ context.Context, _, name string) error {
	if _, ok := s.objects[name]; !ok {
		return objectstore.ErrNotFound
	}
	delete(s.objects, name)
	return s.err
}

// TestLossesAreKept records, lists and forgets losses, each twice, as several daemons do.
func TestLossesAreKept(t *testing.T) {
	store := &fakeStore{objects: map[string]api.Object{}}
	r := New(store)
	losses := []api.LostReplica{
		{Group: "g", Replica: "a"}, {Group: "g", Replica: "b up to 3.17", WasPaused: true, Position: api.Position{Term: 3, Offset: 17}}, {Group: "h", Replica: "a"},
	}
	for _, loss := range slices.Concat(losses, losses) {
		if err := r.Record(t.Context(), loss); err != nil {
			t.Fatalf("record %+v: %v", loss, err)
		}
	}
	got, err := r.List(t.Context())
	if err != nil || len(got) != len(losses) {
		t.Fatalf("got %+v, error %v, want %+v", got, err, losses)
	}
	for _, loss := range losses {
		if !slices.Contains(got, loss) {
			t.Errorf("got %+v, want %+v among them", got, loss)
		}
	}
	for range 2 {
		if err := r.Forget(t.Context(), "g", "a"); err != nil {
			t.Errorf("forget: %v", err)
		}
	}
	if got, _ := r.List(t.Context()); len(got) != 2 {
		t.Errorf("got %+v after one was forgotten, want two", got)
	}
	store.err = objectstore.ErrUnavailable
	if _, err := r.List(t.Context()); !errors.Is(err, objectstore.ErrUnavailable) {
		t.Errorf("got error %v while the store is unavailable, want it reported: no list is not an empty one", err)
	}
}

// TestRecordThatCannotBeReadIsLeftOutAlone lists records that another writer has stored beside a good one.
func TestRecordThatCannotBeReadIsLeftOutAlone(t *testing.T) {
	store := &fakeStore{objects: map[string]api.Object{}}
	r := New(store)
	if err := r.Record(t.Context(), api.LostReplica{Group: "g", Replica: "a"}); err != nil {
		t.Fatal(err)
	}
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for name, data := range map[string]string{
		"deep": deep, "deep-field": `{"group":` + deep + `}`, "empty": ``, "number": `7`, "of-another": `{"group":"g","replica":"b"}`,
		"position": `{"group":"g","replica":"b","position":{"term":1e999}}`,
	} {
		store.objects[name] = api.Object{Kind: Kind, Name: name, Data: []byte(data)}
	}
	if got, err := r.List(t.Context()); err != nil || len(got) != 1 || got[0].Replica != "a" {
		t.Errorf("got %+v, error %v, want the good record alone", got, err)
	}
}

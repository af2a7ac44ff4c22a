package objectstore

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
)

// restorableSource is a store of one kind that can come back from a copy. A watch from a revision that the store does
// not have fails with ErrCompacted.
type restorableSource struct {
	era      uint64
	revision uint64
	objects  map[string]api.Object
	events   []api.Object
}

func newRestorableSource() *restorableSource {
	return &restorableSource{era: 1, revision: 1, objects: map[string]api.Object{}}
}

func (s *restorableSource) put(name, data string) {
	s.revision++
	o := api.Object{Kind: KindWorkspace, Name: name, Version: s.revision, Era: s.era, Data: []byte(data)}
	s.objects[name] = o
	s.events = append(s.events, o)
}

// restore makes the state of a copy that of the next era.
func (s *restorableSource) restore(c restorableSource) {
	s.revision, s.era, s.objects, s.events = c.revision, s.era+1, map[string]api.Object{}, nil
	for name, o := range c.objects {
		o.Era = s.era
		s.objects[name] = o
	}
}

func (s *restorableSource) copy() restorableSource {
	c := *s
	c.objects = map[string]api.Object{}
	for name, o := range s.objects {
		c.objects[name] = o
	}
	return c
}

func (s *restorableSource) List(context.Context, string) (api.ObjectList, error) {
	list := api.ObjectList{Revision: s.revision, Era: s.era}
	for _, o := range s.objects {
		list.Objects = append(list.Objects, o)
	}
	return list, nil
}

func (s *restorableSource) Watch(_ context.Context, after uint64, _ time.Duration, _ ...string) (api.ObjectList, error) {
	if after > s.revision {
		return api.ObjectList{}, ErrCompacted
	}
	list := api.ObjectList{Revision: s.revision, Era: s.era}
	for _, o := range s.events {
		if o.Version > after {
			list.Objects = append(list.Objects, o)
		}
	}
	return list, nil
}

// followed is what a follower of a restorableSource has delivered.
type followed struct {
	follower *objectFollower
	data     map[string]string
	restores int
	deleted  []string
}

func newFollowed(source Source) *followed {
	f := &followed{data: map[string]string{}}
	options := FollowOptions{Kinds: []string{KindWorkspace}, OnRestore: func() { f.restores++ }}.withDefaults()
	f.follower = &objectFollower{source: source, options: options, tracker: newTracker(), apply: func(list api.ObjectList) {
		for _, o := range list.Objects {
			f.data[o.Name] = string(o.Data)
			if o.Deleted {
				delete(f.data, o.Name)
				f.deleted = append(f.deleted, o.Name)
			}
		}
	}}
	return f
}

// steps runs steps until one succeeds, at most three: the first after a restore may only find that the store has to be
// listed again.
func (f *followed) steps(t *testing.T) {
	t.Helper()
	for range 3 {
		if err := f.follower.step(context.Background()); err == nil {
			return
		} else if !errors.Is(err, ErrRestored) && !errors.Is(err, ErrCompacted) {
			t.Fatalf("got %v, want a step that succeeds or asks for a list", err)
		}
	}
	t.Fatal("three steps have failed")
}

// TestRestoredStoreIsListedAgain brings a store back from a copy, with and without new changes that take the lost
// revisions. Without the era, configuration stood still until the revisions had passed the old ones, and a change under
// a revision given out again was dropped for good.
func TestRestoredStoreIsListedAgain(t *testing.T) {
	for name, change := range map[string]func(*restorableSource){
		"nothing written since": func(*restorableSource) {},
		"fewer changes written than were lost": func(s *restorableSource) {
			s.put("b", "new")
		},
		"as many changes written as were lost": func(s *restorableSource) {
			s.put("x", "new")
			s.put("b", "new")
			s.put("c", "new")
		},
		"more changes written than were lost": func(s *restorableSource) {
			for range 6 {
				s.put("b", "new")
			}
		},
	} {
		source := newRestorableSource()
		source.put("a", "old")
		source.put("b", "old")
		copied := source.copy()
		f := newFollowed(source)
		f.steps(t)
		source.put("b", "lost")
		source.put("c", "lost")
		source.put("d", "lost")
		f.steps(t)
		source.restore(copied)
		change(source)
		f.steps(t)
		if f.restores != 1 {
			t.Errorf("%s: got %d restores reported, want 1", name, f.restores)
		}
		for object, stored := range source.objects {
			if f.data[object] != string(stored.Data) {
				t.Errorf("%s: %s: got %q, want %q", name, object, f.data[object], stored.Data)
			}
		}
		if !slices.Contains(f.deleted, "d") || len(f.data) != len(source.objects) {
			t.Errorf("%s: got objects %v, deletions %v, want what the store has", name, f.data, f.deleted)
		}
		source.put("a", "later")
		f.steps(t)
		if f.data["a"] != "later" {
			t.Errorf("%s: change after the restore: got %q, want it delivered", name, f.data["a"])
		}
	}
}

// TestErasOfAnswers covers answers with eras that rise, fall, are late, stale or cannot be read.
func TestErasOfAnswers(t *testing.T) {
	cases := []struct {
		name   string
		header string
		sentIn uint64
		stale  bool
		want   uint64
		drop   bool
	}{
		{"first", "3", 0, false, 3, false},
		{"the same", "3", 3, false, 3, false},
		{"none", "", 3, false, 3, false},
		{"unreadable", "x", 3, false, 3, false},
		{"falls although asked for after", "2", 3, false, 3, false},
		{"stale read of an earlier era", "2", 3, true, 0, true},
		{"rises", "4", 3, false, 4, false},
		{"late answer", "3", 3, false, 0, true},
		{"next answer", "4", 4, false, 4, false},
	}
	var eras Eras
	for _, c := range cases {
		got, err := eras.Accept(c.header, c.sentIn, c.stale)
		if got != c.want || (err != nil) != c.drop {
			t.Errorf("%s: got era %d, %v, want era %d, dropped %t", c.name, got, err, c.want, c.drop)
		}
	}
	if era, since := eras.Known(); era != 4 || since == 0 {
		t.Errorf("got era %d since %s, want 4 since the first answer", era, since)
	}
}

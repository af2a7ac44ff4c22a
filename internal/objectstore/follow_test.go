package objectstore

import (
	"context"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayacove/papayacove/api"
	standin "github.com/papayacove/papayacove/standin/platform"
)

// consumer records the objects that Follow delivers and checks that revisions and versions increase.
type consumer struct {
	t        *rapid.T
	revision uint64
	highest  map[string]uint64
	versions map[string]uint64
}

func newConsumer(t *rapid.T) *consumer {
	return &consumer{t: t, highest: map[string]uint64{}, versions: map[string]uint64{}}
}

func (c *consumer) apply(list api.ObjectList) {
	if list.Revision < c.revision {
		c.t.Fatalf("got revision %d after %d, want no decrease", list.Revision, c.revision)
	}
	c.revision = list.Revision
	for _, o := range list.Objects {
		key := o.Kind + "/" + o.Name
		if o.Version <= c.highest[key] {
			c.t.Fatalf("%s: got version %d after %d, want an increase", key, o.Version, c.highest[key])
		}
		c.highest[key] = o.Version
		c.versions[key] = o.Version
		if o.Deleted {
			delete(c.versions, key)
		}
	}
}

// TestFollowConverges checks on random runs with outages and dropped history that the delivered
// state converges to that of the platform, with increasing versions.
func TestFollowConverges(t *testing.T) {
	kinds := []string{KindWorkspace, KindTerm}
	rapid.Check(t, func(t *rapid.T) {
		server := standin.New(standin.Options{})
		if err := server.Start(); err != nil {
			t.Fatal(err)
		}
		defer server.Close()
		client := NewClient(Options{URL: server.URL()})
		defer client.Close()
		received := newConsumer(t)
		follower := &objectFollower{
			source:  client,
			options: FollowOptions{Kinds: kinds, Wait: time.Nanosecond},
			tracker: newTracker(),
			apply:   received.apply,
		}
		step := func() error { return follower.step(context.Background()) }
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				server.PutObject(api.Object{
					Kind:    rapid.SampledFrom(append(kinds, KindGroup)).Draw(t, "kind"),
					Name:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"),
					Deleted: rapid.Bool().Draw(t, "deleted"),
					Data:    []byte("{}"),
				})
			},
			"compact": func(*rapid.T) { server.Compact() },
			"down":    func(*rapid.T) { server.SetFaults(standin.Faults{Down: true}) },
			"up":      func(*rapid.T) { server.SetFaults(standin.Faults{}) },
			"step":    func(*rapid.T) { _ = step() },
		})
		server.SetFaults(standin.Faults{})
		// The first step may fail because the history was dropped; the second one then lists.
		_ = step()
		if err := step(); err != nil {
			t.Fatal(err)
		}
		if got := storedVersions(server, kinds); !maps.Equal(got, received.versions) {
			t.Fatalf("delivered versions %v, want the stored versions %v", received.versions, got)
		}
	})
}

// storedVersions returns the versions of the platform's objects of kinds, of which there must be two.
func storedVersions(server *standin.Server, kinds []string) map[string]uint64 {
	versions := map[string]uint64{}
	for _, o := range server.Objects().Objects {
		if o.Kind == kinds[0] || o.Kind == kinds[1] {
			versions[o.Kind+"/"+o.Name] = o.Version
		}
	}
	return versions
}

// TestMergeListsOfDifferentRevisions checks that lists of two kinds taken at different revisions are complete up to
// the lower one, and that a watch from there does not deliver an older version again.
func TestMergeListsOfDifferentRevisions(t *testing.T) {
	tracker := newTracker()
	object := func(kind string, version uint64, deleted bool) api.Object {
		return api.Object{Kind: kind, Name: "a", Version: version, Deleted: deleted}
	}
	full := func(kind string, revision uint64, objects ...api.Object) kindList {
		return kindList{kind: kind, list: api.ObjectList{Revision: revision, Objects: objects}}
	}
	tracker.mergeLists([]kindList{full("k", 1, object("k", 1, false)), full("l", 1)})
	updates, err := tracker.mergeLists([]kindList{full("k", 5), full("l", 3)})
	wantError(t, err, nil)
	if len(updates.Objects) != 1 || !updates.Objects[0].Deleted || updates.Revision != 3 {
		t.Fatalf("got updates %+v, want one deletion and revision 3", updates)
	}
	updates, err = tracker.mergeChanges(api.ObjectList{Revision: 6, Objects: []api.Object{
		object("k", 4, true), object("l", 6, false),
	}})
	wantError(t, err, nil)
	if len(updates.Objects) != 1 || updates.Objects[0].Kind != "l" {
		t.Fatalf("got updates %+v, want only the object of kind l", updates)
	}
	_, err = tracker.mergeChanges(api.ObjectList{Revision: 5})
	wantError(t, err, errRevisionDecreased)
}

func TestFollowRunsUntilCancelled(t *testing.T) {
	server, client := startPlatform(t)
	server.PutObject(document("w", "1"))
	ctx, cancel := context.WithCancel(context.Background())
	err := client.Follow(ctx, FollowOptions{Kinds: []string{KindWorkspace}}, func(list api.ObjectList) {
		if len(list.Objects) == 1 {
			cancel()
		}
	})
	wantError(t, err, context.Canceled)
}

func TestFollowVMs(t *testing.T) {
	server, client := startPlatform(t)
	ctx, cancel := context.WithCancel(context.Background())
	var sizes []int
	err := client.FollowVMs(ctx, FollowOptions{Interval: time.Millisecond}, func(list api.VMList) {
		sizes = append(sizes, len(list.Vms))
		server.SetVMs(make([]api.VM, len(sizes)), 0)
		if len(sizes) == 3 {
			cancel()
		}
	})
	wantError(t, err, context.Canceled)
	if len(sizes) != 3 || sizes[0] != 0 || sizes[2] != 2 {
		t.Fatalf("got lists of sizes %v, want three lists from 0 to 2 VMs", sizes)
	}
}

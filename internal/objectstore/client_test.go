package objectstore

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/papayacove/papayacove/api"
	standin "github.com/papayacove/papayacove/standin/platform"
)

// shortTimeout is the deadline of calls in tests where some get no answer.
const shortTimeout = time.Second

// startPlatform returns a running stand-in and a client of it.
func startPlatform(t *testing.T) (*standin.Server, *Client) {
	t.Helper()
	server := standin.New(standin.Options{Seed: 1})
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return server, newClient(t, server, time.Minute)
}

// newClient returns a client in the zone colombo.
func newClient(t *testing.T, server *standin.Server, timeout time.Duration) *Client {
	t.Helper()
	client := NewClient(Options{URL: server.URL(), Zone: "colombo", Timeout: timeout})
	t.Cleanup(client.Close)
	return client
}

// document returns a workspace object with one field.
func document(name, value string) api.Object {
	data, _ := json.Marshal(map[string]string{"value": value})
	return api.Object{Kind: KindWorkspace, Name: name, Data: data}
}

// want fails unless err is of the wanted kind; nil wants success.
func want(t *testing.T, err, wanted error) {
	t.Helper()
	if !errors.Is(err, wanted) {
		t.Fatalf("got error %v, want %v", err, wanted)
	}
}

func TestConditionalChanges(t *testing.T) {
	_, client := startPlatform(t)
	ctx := context.Background()

	created, err := client.Create(ctx, document("kelani/rounds", "a"))
	want(t, err, nil)
	_, err = client.Create(ctx, document("kelani/rounds", "b"))
	want(t, err, ErrExists)

	changed := created
	changed.Data = document("", "c").Data
	updated, err := client.Update(ctx, changed)
	want(t, err, nil)
	_, err = client.Update(ctx, changed)
	want(t, err, ErrConflict)

	got, err := client.Get(ctx, KindWorkspace, "kelani/rounds")
	want(t, err, nil)
	if got.Version != updated.Version || string(got.Data) != string(changed.Data) {
		t.Fatalf("got %+v, want %+v", got, updated)
	}

	want(t, client.Delete(ctx, KindWorkspace, "kelani/rounds", created.Version), ErrConflict)
	want(t, client.Delete(ctx, KindWorkspace, "kelani/rounds", updated.Version), nil)
	_, err = client.Get(ctx, KindWorkspace, "kelani/rounds")
	want(t, err, ErrNotFound)
}

func TestTooLarge(t *testing.T) {
	_, client := startPlatform(t)
	_, err := client.Create(context.Background(), document("w", string(make([]byte, MaxDataBytes))))
	want(t, err, ErrTooLarge)
}

func TestWatch(t *testing.T) {
	server, client := startPlatform(t)
	ctx := context.Background()
	first := server.PutObject(document("a", "1"))
	server.PutObject(api.Object{Kind: KindTerm, Name: "g", Data: json.RawMessage("{}")})

	list, err := client.List(ctx, KindWorkspace)
	want(t, err, nil)
	if len(list.Objects) != 1 || list.Revision != 2 {
		t.Fatalf("unexpected list %+v", list)
	}

	want(t, client.Delete(ctx, KindWorkspace, "a", first.Version), nil)
	changes, err := client.Watch(ctx, list.Revision, time.Second, KindWorkspace)
	want(t, err, nil)
	if len(changes.Objects) != 1 || !changes.Objects[0].Deleted || changes.Revision != 3 {
		t.Fatalf("unexpected changes %+v", changes)
	}

	none, err := client.Watch(ctx, changes.Revision, time.Millisecond, KindWorkspace)
	want(t, err, nil)
	if len(none.Objects) != 0 {
		t.Fatalf("unexpected changes %+v", none)
	}

	server.Compact()
	_, err = client.Watch(ctx, list.Revision, time.Second, KindWorkspace)
	want(t, err, ErrCompacted)
}

func TestWatchVMs(t *testing.T) {
	server, client := startPlatform(t)
	ctx := context.Background()
	before, err := client.VMs(ctx)
	want(t, err, nil)
	server.SetVMs([]api.VM{{Name: "b"}, {Name: "a"}}, 10*time.Millisecond)
	after, err := client.WatchVMs(ctx, before.Revision, time.Minute)
	want(t, err, nil)
	if len(after.Vms) != 2 || after.Vms[0].Name != "a" || after.Revision <= before.Revision {
		t.Fatalf("unexpected list %+v", after)
	}
}

func TestOutcomeUnknownOnlyWhenSent(t *testing.T) {
	server, client := startPlatform(t)
	ctx := context.Background()

	server.SetKnobs(standin.Knobs{LoseNext: 1})
	_, err := client.Create(ctx, document("lost", "1"))
	want(t, err, ErrUnavailable)
	want(t, err, ErrOutcomeUnknown)
	_, err = client.Get(ctx, KindWorkspace, "lost")
	want(t, err, nil)

	server.Close()
	client.Close()
	_, err = client.Create(ctx, document("unsent", "1"))
	want(t, err, ErrUnavailable)
	if errors.Is(err, ErrOutcomeUnknown) {
		t.Fatalf("a call without a connection cannot have an unknown outcome: %v", err)
	}
}

func TestSilentConnectionsAreNotReused(t *testing.T) {
	server, _ := startPlatform(t)
	client := newClient(t, server, shortTimeout)
	ctx := context.Background()
	server.PutObject(document("a", "1"))
	openConnections(t, server, client, 2)

	server.Silence()
	_, err := client.Get(ctx, KindWorkspace, "a")
	want(t, err, ErrUnavailable)
	_, err = client.Get(ctx, KindWorkspace, "a")
	want(t, err, nil)
}

// openConnections leaves the client with idle connections.
func openConnections(t *testing.T, server *standin.Server, client *Client, count int) {
	t.Helper()
	var group errgroup.Group
	for range count {
		group.Go(func() error {
			_, err := client.WatchVMs(context.Background(), 0, time.Minute)
			return err
		})
	}
	for server.Counts().WatchVMs < uint64(count) {
		time.Sleep(time.Millisecond)
	}
	server.SetVMs(nil, 0)
	want(t, group.Wait(), nil)
}

func TestCutZone(t *testing.T) {
	server, _ := startPlatform(t)
	ctx := context.Background()
	server.SetKnobs(standin.Knobs{CutZones: []string{"colombo"}})
	_, err := newClient(t, server, shortTimeout).Create(ctx, document("a", "1"))
	want(t, err, ErrOutcomeUnknown)

	other := NewClient(Options{URL: server.URL(), Zone: "gampaha", Timeout: time.Minute})
	defer other.Close()
	_, err = other.Get(ctx, KindWorkspace, "a")
	want(t, err, ErrNotFound)
}

func TestCounts(t *testing.T) {
	server, client := startPlatform(t)
	ctx := context.Background()
	client.List(ctx, KindGroup)
	client.VMs(ctx)
	client.Watch(ctx, 0, time.Millisecond, KindGroup)
	got := client.Counts()
	if got != (Counts{List: 1, VMs: 1, Watch: 1}) || got.Total() != server.Counts().Total() {
		t.Fatalf("unexpected counts %+v, platform %+v", got, server.Counts())
	}
}

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

// shortTimeout is the deadline of calls in tests in which some calls get no answer.
const shortTimeout = time.Second

// startPlatform starts a stand-in of the platform and returns it with a client.
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

// wantError fails the test unless errors.Is(err, wanted); nil stands for success.
func wantError(t *testing.T, err, wanted error) {
	t.Helper()
	if !errors.Is(err, wanted) {
		t.Fatalf("got error %v, want %v", err, wanted)
	}
}

func TestConditionalChanges(t *testing.T) {
	_, client := startPlatform(t)
	ctx := context.Background()

	created, err := client.Create(ctx, document("kelani/rounds", "a"))
	wantError(t, err, nil)
	_, err = client.Create(ctx, document("kelani/rounds", "b"))
	wantError(t, err, ErrExists)

	changed := created
	changed.Data = document("", "c").Data
	updated, err := client.Update(ctx, changed)
	wantError(t, err, nil)
	_, err = client.Update(ctx, changed)
	wantError(t, err, ErrConflict)

	got, err := client.Get(ctx, KindWorkspace, "kelani/rounds")
	wantError(t, err, nil)
	if got.Version != updated.Version || string(got.Data) != string(changed.Data) {
		t.Fatalf("got %+v, want %+v", got, updated)
	}

	wantError(t, client.Delete(ctx, KindWorkspace, "kelani/rounds", created.Version), ErrConflict)
	wantError(t, client.Delete(ctx, KindWorkspace, "kelani/rounds", updated.Version), nil)
	_, err = client.Get(ctx, KindWorkspace, "kelani/rounds")
	wantError(t, err, ErrNotFound)
}

func TestTooLarge(t *testing.T) {
	_, client := startPlatform(t)
	_, err := client.Create(context.Background(), document("w", string(make([]byte, MaxDataBytes))))
	wantError(t, err, ErrTooLarge)
}

func TestWatch(t *testing.T) {
	server, client := startPlatform(t)
	ctx := context.Background()
	first := server.PutObject(document("a", "1"))
	server.PutObject(api.Object{Kind: KindTerm, Name: "g", Data: json.RawMessage("{}")})

	list, err := client.List(ctx, KindWorkspace)
	wantError(t, err, nil)
	if len(list.Objects) != 1 || list.Revision != 2 {
		t.Fatalf("got list %+v, want one object and revision 2", list)
	}

	wantError(t, client.Delete(ctx, KindWorkspace, "a", first.Version), nil)
	changes, err := client.Watch(ctx, list.Revision, time.Second, KindWorkspace)
	wantError(t, err, nil)
	if len(changes.Objects) != 1 || !changes.Objects[0].Deleted || changes.Revision != 3 {
		t.Fatalf("got changes %+v, want one deletion and revision 3", changes)
	}

	none, err := client.Watch(ctx, changes.Revision, time.Millisecond, KindWorkspace)
	wantError(t, err, nil)
	if len(none.Objects) != 0 {
		t.Fatalf("got changes %+v, want none", none)
	}

	server.Compact()
	_, err = client.Watch(ctx, list.Revision, time.Second, KindWorkspace)
	wantError(t, err, ErrCompacted)
}

func TestWatchVMs(t *testing.T) {
	server, client := startPlatform(t)
	ctx := context.Background()
	before, err := client.VMs(ctx)
	wantError(t, err, nil)
	server.SetVMs([]api.VM{{Name: "b"}, {Name: "a"}}, 10*time.Millisecond)
	after, err := client.WatchVMs(ctx, before.Revision, time.Minute)
	wantError(t, err, nil)
	if len(after.Vms) != 2 || after.Vms[0].Name != "a" || after.Revision <= before.Revision {
		t.Fatalf("got list %+v, want VMs a and b and a higher revision", after)
	}
}

func TestOutcomeUnknownOnlyWhenSent(t *testing.T) {
	server, client := startPlatform(t)
	ctx := context.Background()

	server.SetFaults(standin.Faults{LoseNextResponses: 1})
	_, err := client.Create(ctx, document("lost", "1"))
	wantError(t, err, ErrUnavailable)
	wantError(t, err, ErrOutcomeUnknown)
	_, err = client.Get(ctx, KindWorkspace, "lost")
	wantError(t, err, nil)

	server.Close()
	client.Close()
	_, err = client.Create(ctx, document("unsent", "1"))
	wantError(t, err, ErrUnavailable)
	if errors.Is(err, ErrOutcomeUnknown) {
		t.Fatalf("got error %v for a call without a connection, want no ErrOutcomeUnknown", err)
	}
}

func TestHalfOpenConnectionsAreNotReused(t *testing.T) {
	server, _ := startPlatform(t)
	client := newClient(t, server, shortTimeout)
	ctx := context.Background()
	server.PutObject(document("a", "1"))
	openConnections(t, server, client, 2)

	server.MakeHalfOpen()
	_, err := client.Get(ctx, KindWorkspace, "a")
	wantError(t, err, ErrUnavailable)
	_, err = client.Get(ctx, KindWorkspace, "a")
	wantError(t, err, nil)
}

// openConnections makes the client open connections, which are idle when it returns.
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
	wantError(t, group.Wait(), nil)
}

func TestPartitionedZone(t *testing.T) {
	server, _ := startPlatform(t)
	ctx := context.Background()
	server.SetFaults(standin.Faults{PartitionedZones: []string{"colombo"}})
	_, err := newClient(t, server, shortTimeout).Create(ctx, document("a", "1"))
	wantError(t, err, ErrOutcomeUnknown)

	other := NewClient(Options{URL: server.URL(), Zone: "gampaha", Timeout: time.Minute})
	defer other.Close()
	_, err = other.Get(ctx, KindWorkspace, "a")
	wantError(t, err, ErrNotFound)
}

func TestCounts(t *testing.T) {
	server, client := startPlatform(t)
	ctx := context.Background()
	client.List(ctx, KindGroup)
	client.VMs(ctx)
	client.Watch(ctx, 0, time.Millisecond, KindGroup)
	got := client.Counts()
	if got != (Counts{List: 1, VMs: 1, Watch: 1}) || got.Total() != server.Counts().Total() {
		t.Fatalf("got counts %+v, want one list, VMs and watch call each and the total of the platform's %+v", got, server.Counts())
	}
}

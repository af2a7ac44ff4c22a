package objectstore

import (
	"context"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
)

// TestDelayedFollowerDeliversAllChanges checks that a follower whose watch is delayed by BeforeCall still delivers the
// change of one object and the deletion of another, although the history is dropped in the meantime.
func TestDelayedFollowerDeliversAllChanges(t *testing.T) {
	server, client := startPlatform(t)
	server.PutObject(document("kept", "1"))
	gone := server.PutObject(document("gone", "1"))
	ctx, cancel := context.WithCancel(context.Background())
	held, release := make(chan struct{}), make(chan struct{})
	calls := 0
	hold := func(context.Context) {
		calls++
		if calls == 2 {
			close(held)
			<-release
		}
	}
	versions := map[string]uint64{}
	apply := func(list api.ObjectList) {
		for _, o := range list.Objects {
			versions[o.Name] = o.Version
			if o.Deleted {
				delete(versions, o.Name)
			}
		}
		if _, found := versions["gone"]; !found {
			cancel()
		}
	}
	done := make(chan error)
	options := FollowOptions{Kinds: []string{KindWorkspace}, Interval: time.Millisecond, BeforeCall: hold}
	go func() { done <- client.Follow(ctx, options, apply) }()
	<-held
	before := client.Counts().Total()
	changed := server.PutObject(document("kept", "2"))
	gone.Deleted = true
	server.PutObject(gone)
	server.Compact()
	if after := client.Counts().Total(); after != before {
		t.Errorf("got %d calls while the follower was delayed, want none", after-before)
	}
	close(release)
	wantError(t, <-done, context.Canceled)
	if versions["kept"] != changed.Version {
		t.Errorf("got version %d delivered, want %d", versions["kept"], changed.Version)
	}
}

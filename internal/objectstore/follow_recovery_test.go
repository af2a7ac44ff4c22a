package objectstore

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
)

// scriptedSource answers watches with the given failures and records how long each watch may wait.
type scriptedSource struct {
	failures []error
	waits    []time.Duration
	lists    int
	stop     context.CancelFunc
}

func (s *scriptedSource) List(context.Context, string) (api.ObjectList, error) {
	s.lists++
	return api.ObjectList{Revision: uint64(s.lists)}, nil
}

func (s *scriptedSource) Watch(_ context.Context, after uint64, wait time.Duration, _ ...string) (api.ObjectList, error) {
	s.waits = append(s.waits, wait)
	if len(s.failures) == 0 {
		s.stop()
		return api.ObjectList{Revision: after}, nil
	}
	err := s.failures[0]
	s.failures = s.failures[1:]
	return api.ObjectList{Revision: after}, err
}

// TestFollowProbesWithShortWatchAfterFailure simulates an outage and a dropped history. A watch after a failed
// call must be short: a daemon that used the full wait after a grown backoff received a version 3.6 s later than
// other daemons.
func TestFollowProbesWithShortWatchAfterFailure(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	source := &scriptedSource{stop: stop, failures: []error{nil, ErrUnavailable, ErrUnavailable, ErrCompacted}}
	options := FollowOptions{Kinds: []string{"k"}, Wait: time.Hour, Interval: time.Nanosecond, MaxRetryDelay: time.Nanosecond}
	if err := FollowSource(ctx, source, options, func(api.ObjectList) {}); !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	want := []time.Duration{time.Hour, time.Hour, probeWait, probeWait, time.Hour}
	if len(source.waits) != len(want) {
		t.Fatalf("got watches with waits %v, want %v", source.waits, want)
	}
	for i := range want {
		if source.waits[i] != want[i] {
			t.Errorf("watch %d: got wait %s, want %s", i, source.waits[i], want[i])
		}
	}
	if source.lists != 2 {
		t.Errorf("got %d lists, want one at the start and one after the dropped history", source.lists)
	}
}

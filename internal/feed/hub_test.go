package feed

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/papayacove/papayacove/api"
)

// newTestHub returns a hub that knows an object of version 5 at revision 10 of era 1, and serves.
func newTestHub() *hub {
	began := time.Now()
	h := newHub(true, func() time.Duration { return time.Since(began) + time.Hour }, nil)
	h.apply(api.ObjectList{Era: 1, Revision: 10, Objects: []api.Object{object("main", 5)}})
	h.confirm(h.now(), true, true)
	return h
}

func object(name string, version uint64) api.Object {
	return api.Object{Kind: keys, Name: name, Version: version, Era: 1, Data: []byte("{}")}
}

// request asks for changes after a revision and has a proof as new as the hub's.
func request(after uint64, wait time.Duration) *api.FeedRequest {
	return &api.FeedRequest{Kind: keys, Era: 1, After: after, WaitMs: wait.Milliseconds()}
}

// TestHubAnswers checks each outcome of a request that is not held.
func TestHubAnswers(t *testing.T) {
	h := newTestHub()
	h.apply(api.ObjectList{Era: 1, Revision: 20, Objects: []api.Object{object("main", 15), object("other", 18)}})
	h.apply(api.ObjectList{Era: 1, Revision: 30, Objects: []api.Object{object("main", 25)}})
	changed := func(r *api.FeedRequest, change func(*api.FeedRequest)) *api.FeedRequest {
		change(r)
		return r
	}
	tests := []struct {
		name    string
		request *api.FeedRequest
		outcome string
		names   string
	}{
		{"all changes, the newest of each object", request(10, 0), outcomeOK, "other main"},
		{"the last change", request(20, 0), outcomeOK, "main"},
		{"within a batch", request(16, 0), outcomeOK, "other main"},
		{"nothing new", request(30, 0), outcomeOK, ""},
		{"before the history", request(9, 0), outcomeGone, ""},
		{"later than known", request(31, 0), outcomeBehind, ""},
		{"later era", changed(request(1, 0), func(r *api.FeedRequest) { r.Era = 2 }), outcomeBehind, ""},
		{"earlier era", changed(request(99, 0), func(r *api.FeedRequest) { r.Era = 0 }), outcomeOK, ""},
		{"list", changed(request(0, 0), func(r *api.FeedRequest) { r.List = true }), outcomeOK, "main other"},
		{"negative wait", request(30, -time.Hour), outcomeOK, ""},
		{"a wait beyond sense", changed(request(20, 0), func(r *api.FeedRequest) { r.WaitMs = 1<<63 - 1 }), outcomeOK, "main"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reply := h.answer(t.Context(), test.request)
			names := make([]string, len(reply.Objects))
			for i, o := range reply.Objects {
				names[i] = o.Name
			}
			if test.request.List && len(names) == 2 && names[0] > names[1] {
				names[0], names[1] = names[1], names[0]
			}
			if got := strings.Join(names, " "); reply.Outcome != test.outcome || got != test.names {
				t.Errorf("got %s with objects %q, want %s with %q", reply.Outcome, got, test.outcome, test.names)
			}
		})
	}
}

// held starts a request and returns its reply once there is one.
func held(h *hub, r *api.FeedRequest) chan *api.FeedReply {
	reply := make(chan *api.FeedReply, 1)
	go func() { reply <- h.answer(context.Background(), r) }()
	synctest.Wait()
	return reply
}

// TestHeldRequestIsAnswered expects an answer at each event that a request waits for, and not before.
func TestHeldRequestIsAnswered(t *testing.T) {
	events := map[string]struct {
		event   func(h *hub)
		outcome string
	}{
		"change":          {func(h *hub) { h.apply(api.ObjectList{Era: 1, Revision: 11, Objects: []api.Object{object("main", 11)}}) }, outcomeOK},
		"restore":         {func(h *hub) { h.apply(api.ObjectList{Era: 2, Revision: 3}) }, outcomeOK},
		"newer proof":     {func(h *hub) { h.confirm(h.now(), true, true) }, outcomeOK},
		"watcher leaves":  {func(h *hub) { h.stopServing() }, outcomeUnknown},
		"fed by others":   {func(h *hub) { h.confirm(0, false, false) }, outcomeUnknown},
		"end of the wait": {func(*hub) { time.Sleep(time.Second) }, outcomeOK},
	}
	for name, test := range events {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newTestHub()
				reply := held(h, request(10, time.Second))
				time.Sleep(200 * time.Millisecond)
				synctest.Wait()
				if len(reply) > 0 {
					t.Fatal("the request was answered before the event")
				}
				test.event(h)
				synctest.Wait()
				if len(reply) == 0 {
					t.Fatal("the request is still held after the event")
				}
				if got := (<-reply).Outcome; got != test.outcome {
					t.Errorf("got outcome %s, want %s", got, test.outcome)
				}
				if h.held != 0 {
					t.Errorf("%d requests count as held, want none", h.held)
				}
			})
		})
	}
}

// TestRequestOfOneThatKnowsMoreIsHeld expects a daemon that is ahead to wait for the hub to catch up.
func TestRequestOfOneThatKnowsMoreIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHub()
		reply := held(h, request(12, time.Second))
		h.apply(api.ObjectList{Era: 1, Revision: 11})
		synctest.Wait()
		if len(reply) > 0 {
			t.Fatal("answered while the hub is behind")
		}
		h.apply(api.ObjectList{Era: 1, Revision: 14, Objects: []api.Object{object("main", 13)}})
		if got := <-reply; got.Outcome != outcomeOK || len(got.Objects) != 1 {
			t.Errorf("got %s with %d objects, want the change", got.Outcome, len(got.Objects))
		}
	})
}

// TestProofSentOnceToEach guards against a request that is answered again and again for the same proof.
func TestProofSentOnceToEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHub()
		r := request(10, time.Second)
		r.ProofAgeUs = -1
		if got := h.answer(t.Context(), r); !got.HasProof {
			t.Fatal("a daemon without a proof got none")
		}
		r.ProofAgeUs = (50 * time.Millisecond).Microseconds()
		reply := held(h, r)
		if len(reply) > 0 {
			t.Error("answered at once a daemon that has this proof, by a way that took 50 ms")
		}
		<-reply
	})
}

// TestHeldRequestsAreBounded expects an answer at once beyond the bound.
func TestHeldRequestsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHub()
		for range maxHeld {
			held(h, request(10, time.Second))
		}
		if over := held(h, request(10, time.Second)); len(over) != 1 {
			t.Error("a request beyond the bound is held")
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if h.held != 0 {
			t.Errorf("%d requests count as held at the end, want none", h.held)
		}
	})
}

// TestLargeAnswersAreLeftToTheStore guards against configurations that fill the link of a small watcher.
func TestLargeAnswersAreLeftToTheStore(t *testing.T) {
	h := newTestHub()
	large := object("main", 11)
	large.Data = make([]byte, maxReplyBytes)
	h.apply(api.ObjectList{Era: 1, Revision: 11, Objects: []api.Object{large}})
	if got := h.answer(t.Context(), request(10, 0)); got.Outcome != outcomeLarge || got.Objects != nil {
		t.Errorf("got %s with %d objects, want large", got.Outcome, len(got.Objects))
	}
}

// TestHistoryIsBounded expects the oldest changes to be dropped, and a daemon that needs them to list.
func TestHistoryIsBounded(t *testing.T) {
	h := newTestHub()
	for i := range uint64(2 * maxHistoryBatches) {
		h.apply(api.ObjectList{Era: 1, Revision: 11 + i, Objects: []api.Object{object(fmt.Sprint(i%3), 11+i)}})
	}
	if len(h.batches) > maxHistoryBatches || h.historyBytes > maxHistoryBytes {
		t.Errorf("%d batches of %d bytes are kept", len(h.batches), h.historyBytes)
	}
	if got := h.answer(t.Context(), request(11, 0)); got.Outcome != outcomeGone {
		t.Errorf("got %s for changes that were dropped, want gone", got.Outcome)
	}
	if got := h.answer(t.Context(), request(h.revision-2, 0)); got.Outcome != outcomeOK || len(got.Objects) != 2 {
		t.Errorf("got %s with %d objects, want the last two changes", got.Outcome, len(got.Objects))
	}
}

// TestRestoreEndsHistory guards against changes from before a restore that are passed on as later ones.
func TestRestoreEndsHistory(t *testing.T) {
	h := newTestHub()
	h.apply(api.ObjectList{Era: 1, Revision: 20, Objects: []api.Object{object("main", 15)}})
	h.apply(api.ObjectList{Era: 2, Revision: 12})
	r := request(12, 0)
	r.Era = 2
	if got := h.answer(t.Context(), r); got.Outcome != outcomeOK || len(got.Objects) > 0 {
		t.Errorf("got %s with %d objects of era 1, want none", got.Outcome, len(got.Objects))
	}
	r.After = 11
	if got := h.answer(t.Context(), r); got.Outcome != outcomeGone {
		t.Errorf("got %s for changes before the list of era 2, want gone", got.Outcome)
	}
}

// TestBehindInTheSameEraIsNoFailure expects an answer without changes from a daemon whose own watch has not ended yet, and a
// failure where it could not tell what is missing.
func TestBehindInTheSameEraIsNoFailure(t *testing.T) {
	reply := &api.FeedReply{Outcome: outcomeBehind, Era: 1, Revision: 5, HasProof: true}
	if list, err := listOf(keys, request(10, 0), reply); err != nil || list.Revision != 10 || list.Era != 1 {
		t.Errorf("got revision %d, %v, want 10 without changes", list.Revision, err)
	}
	list := request(10, 0)
	list.List = true
	if _, err := listOf(keys, list, reply); !errors.Is(err, errBehind) {
		t.Errorf("got %v for a list that lacks changes, want %v", err, errBehind)
	}
	later := request(10, 0)
	later.Era = 2
	if _, err := listOf(keys, later, reply); !errors.Is(err, errBehind) {
		t.Errorf("got %v from an earlier era, want %v", err, errBehind)
	}
}

package objectstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayacove/papayacove/api"
	standin "github.com/papayacove/papayacove/standin/platform"
)

// errLost stands for a connection that ended before the answer came.
var errLost = errors.New("answer lost")

// fate is what becomes of a change on its way.
type fate string

const (
	fateDelivered   fate = "delivered"
	fateAnswerLost  fate = "answer lost"
	fateRequestLost fate = "request lost"
	fateRequestLate fate = "request late"
)

// faultyTransport loses and delays changes, and counts those that take effect.
type faultyTransport struct {
	inner http.RoundTripper
	// draw decides on each change.
	draw func() fate
	// afterLoss runs before the client learns of a loss.
	afterLoss func()
	// late is a change that arrives after the next read.
	late    *http.Request
	effects int
}

func (f *faultyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodGet {
		response, err := f.inner.RoundTrip(r)
		f.deliverLate()
		return response, err
	}
	switch f.draw() {
	case fateDelivered:
		return f.deliver(r)
	case fateAnswerLost:
		if response, err := f.deliver(r); err == nil {
			response.Body.Close()
		}
	case fateRequestLate:
		f.late = r.Clone(context.Background())
		f.late.Body, _ = r.GetBody()
	}
	// The client takes the change as sent once it has a connection.
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
	f.afterLoss()
	return nil, errLost
}

// deliver sends a change to the platform.
func (f *faultyTransport) deliver(r *http.Request) (*http.Response, error) {
	response, err := f.inner.RoundTrip(r)
	if err == nil && response.StatusCode == http.StatusOK {
		f.effects++
	}
	return response, err
}

// deliverLate sends the change that was held back.
func (f *faultyTransport) deliverLate() {
	if f.late == nil {
		return
	}
	r := f.late
	f.late = nil
	if response, err := f.deliver(r); err == nil {
		response.Body.Close()
	}
}

// TestApplyOutcomes checks on random runs that an outcome always tells the truth, with lost
// and late requests, lost answers and other writers that come before that is resolved.
func TestApplyOutcomes(t *testing.T) {
	server, other := startPlatform(t)
	run := 0
	rapid.Check(t, func(t *rapid.T) {
		run++
		name := fmt.Sprintf("run-%d", run)
		rivals := 0
		rival := func() {
			rivals++
			applyRival(t, other, name, fmt.Sprintf("rival-%d", rivals))
		}
		base := api.Object{Kind: KindWorkspace, Name: name, Data: []byte(`{"value":"x"}`)}
		if rapid.Bool().Draw(t, "exists") {
			rival()
			base, _ = other.Get(context.Background(), KindWorkspace, name)
		}
		if rapid.Bool().Draw(t, "stale") {
			rival()
		}
		rivals = 0
		client := NewClient(Options{URL: server.URL(), Timeout: time.Minute})
		defer client.Close()
		transport := &faultyTransport{inner: client.transport.http.Transport}
		transport.draw = func() fate { return drawFate(t) }
		transport.afterLoss = func() {
			for range rapid.SampledFrom([]int{0, 0, 1, maxRecentChanges - 1, maxRecentChanges}).Draw(t, "rivals") {
				rival()
			}
		}
		client.transport.http.Transport = transport
		applied, err := client.Apply(context.Background(), base, "own")
		transport.deliverLate()
		checkApplied(t, transport.effects, rivals, applied, err)
	})
}

// drawFate makes most changes arrive.
func drawFate(t *rapid.T) fate {
	fates := []fate{fateDelivered, fateDelivered, fateAnswerLost, fateRequestLost, fateRequestLate}
	return rapid.SampledFrom(fates).Draw(t, "fate")
}

// applyRival changes the object as another writer.
func applyRival(t *rapid.T, client *Client, name, changeID string) {
	o, err := client.Get(context.Background(), KindWorkspace, name)
	if errors.Is(err, ErrNotFound) {
		o = api.Object{Kind: KindWorkspace, Name: name, Data: []byte(`{"value":"y"}`)}
	}
	if _, err := client.Apply(context.Background(), o, changeID); err != nil {
		t.Fatalf("rival: %v", err)
	}
}

// checkApplied compares an outcome with the number of times that the change took effect.
func checkApplied(t *rapid.T, effects, rivals int, applied Applied, err error) {
	if (err == nil) != (applied.Outcome == OutcomeDone) {
		t.Fatalf("outcome %v with error %v", applied.Outcome, err)
	}
	switch applied.Outcome {
	case OutcomeDone:
		if effects != 1 {
			t.Fatalf("done, but took effect %d times", effects)
		}
	case OutcomeConflict:
		if effects != 0 {
			t.Fatalf("conflict, but took effect %d times: %v", effects, err)
		}
	default:
		if rivals < maxRecentChanges {
			t.Fatalf("outcome %v after %d changes of others: %v", applied.Outcome, rivals, err)
		}
	}
}

func TestApplyResumesByChangeID(t *testing.T) {
	server, client := startPlatform(t)
	ctx := context.Background()
	created, err := client.Apply(ctx, document("w", "1"), "first")
	want(t, err, nil)

	change := created.Object
	change.Data = document("w", "2").Data
	_, err = client.Apply(ctx, change, "second")
	want(t, err, nil)
	again, err := client.Apply(ctx, change, "second")
	want(t, err, nil)
	if again.Outcome != OutcomeDone || server.Counts().Update != 1 {
		t.Fatalf("outcome %v after %d updates", again.Outcome, server.Counts().Update)
	}
	first, err := client.Apply(ctx, document("w", "1"), "first")
	want(t, err, nil)
	if !first.Overwritten {
		t.Fatal("the first change was overwritten by the second")
	}
	lost, err := client.Apply(ctx, change, "third")
	want(t, err, ErrConflict)
	if lost.Outcome != OutcomeConflict {
		t.Fatalf("outcome %v", lost.Outcome)
	}
}

func TestApplyWithoutPlatform(t *testing.T) {
	server, client := startPlatform(t)
	ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
	defer cancel()
	server.Close()
	applied, err := client.Apply(ctx, document("w", "1"), "id")
	want(t, err, ErrUnavailable)
	if applied.Outcome != OutcomeNotDone {
		t.Fatalf("outcome %v: %v", applied.Outcome, err)
	}
}

func TestApplyUnknownWhileCutOff(t *testing.T) {
	server, client := startPlatform(t)
	server.SetKnobs(standin.Knobs{Down: true})
	ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
	defer cancel()
	applied, err := client.Apply(ctx, document("w", "1"), "id")
	want(t, err, ErrOutcomeUnknown)
	if applied.Outcome != OutcomeUnknown {
		t.Fatalf("outcome %v: %v", applied.Outcome, err)
	}
}

func TestRemoveResolvesLostAnswer(t *testing.T) {
	server, client := startPlatform(t)
	ctx := context.Background()
	stored := server.PutObject(document("w", "1"))
	server.SetKnobs(standin.Knobs{LoseNext: 1})
	removed, err := client.Remove(ctx, stored.Kind, stored.Name, stored.Version)
	want(t, err, nil)
	if removed.Outcome != OutcomeDone {
		t.Fatalf("outcome %v", removed.Outcome)
	}
	newer := server.PutObject(document("w", "2"))
	_, err = client.Remove(ctx, newer.Kind, newer.Name, stored.Version)
	want(t, err, ErrConflict)
}

func TestContent(t *testing.T) {
	data, err := recordChange([]byte(`{"value":1}`), nil, "id")
	want(t, err, nil)
	content, err := Content(data)
	want(t, err, nil)
	if string(content) != `{"value":1}` {
		t.Fatalf("got %s from %s", content, data)
	}
}

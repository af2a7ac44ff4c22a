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

// errLost is the error of a connection that is closed before the answer arrives.
var errLost = errors.New("answer lost")

// transportFault states whether a change request or its answer is lost or delayed.
type transportFault string

const (
	faultNone           transportFault = "delivered"
	faultAnswerLost     transportFault = "answer lost"
	faultRequestLost    transportFault = "request lost"
	faultRequestDelayed transportFault = "request late"
)

// faultyTransport loses and delays changes, and counts those that take effect.
type faultyTransport struct {
	inner http.RoundTripper
	// nextFault returns the fault of the next change.
	nextFault func() transportFault
	// afterLoss runs before a lost request or answer is reported to the client.
	afterLoss func()
	// delayed is a change that arrives after the next read.
	delayed *http.Request
	effects int
}

func (f *faultyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodGet {
		response, err := f.inner.RoundTrip(r)
		f.deliverDelayed()
		return response, err
	}
	switch f.nextFault() {
	case faultNone:
		return f.deliver(r)
	case faultAnswerLost:
		if response, err := f.deliver(r); err == nil {
			response.Body.Close()
		}
	case faultRequestDelayed:
		f.delayed = r.Clone(context.Background())
		f.delayed.Body, _ = r.GetBody()
	}
	// The client assumes that a change was sent once it has obtained a connection.
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
	f.afterLoss()
	return nil, errLost
}

// deliver sends a change to the platform and counts it if it takes effect.
func (f *faultyTransport) deliver(r *http.Request) (*http.Response, error) {
	response, err := f.inner.RoundTrip(r)
	if err == nil && response.StatusCode == http.StatusOK {
		f.effects++
	}
	return response, err
}

// deliverDelayed sends the delayed change, if there is one.
func (f *faultyTransport) deliverDelayed() {
	if f.delayed == nil {
		return
	}
	r := f.delayed
	f.delayed = nil
	if response, err := f.deliver(r); err == nil {
		response.Body.Close()
	}
}

// TestApplyOutcomes checks on random runs that the reported outcome matches the changes that took
// effect, with lost and delayed requests, lost answers, and other writers that change the object before
// the outcome is resolved.
func TestApplyOutcomes(t *testing.T) {
	server, other := startPlatform(t)
	run := 0
	rapid.Check(t, func(t *rapid.T) {
		run++
		name := fmt.Sprintf("run-%d", run)
		otherChanges := 0
		changeConcurrently := func() {
			otherChanges++
			applyConcurrentChange(t, other, name, fmt.Sprintf("rival-%d", otherChanges))
		}
		base := api.Object{Kind: KindWorkspace, Name: name, Data: []byte(`{"value":"x"}`)}
		if rapid.Bool().Draw(t, "exists") {
			changeConcurrently()
			base, _ = other.Get(context.Background(), KindWorkspace, name)
		}
		if rapid.Bool().Draw(t, "stale") {
			changeConcurrently()
		}
		otherChanges = 0
		client := NewClient(Options{URL: server.URL(), Timeout: time.Minute})
		defer client.Close()
		transport := &faultyTransport{inner: client.transport.http.Transport}
		transport.nextFault = func() transportFault { return drawFault(t) }
		transport.afterLoss = func() {
			for range rapid.SampledFrom([]int{0, 0, 1, maxRecentChanges - 1, maxRecentChanges}).Draw(t, "rivals") {
				changeConcurrently()
			}
		}
		client.transport.http.Transport = transport
		applied, err := client.Apply(context.Background(), base, "own")
		transport.deliverDelayed()
		checkOutcome(t, transport.effects, otherChanges, applied, err)
	})
}

// drawFault draws the fault of one change; most changes arrive.
func drawFault(t *rapid.T) transportFault {
	faults := []transportFault{faultNone, faultNone, faultAnswerLost, faultRequestLost, faultRequestDelayed}
	return rapid.SampledFrom(faults).Draw(t, "fate")
}

// applyConcurrentChange creates or changes the object as another writer would.
func applyConcurrentChange(t *rapid.T, client *Client, name, changeID string) {
	o, err := client.Get(context.Background(), KindWorkspace, name)
	if errors.Is(err, ErrNotFound) {
		o = api.Object{Kind: KindWorkspace, Name: name, Data: []byte(`{"value":"y"}`)}
	}
	if _, err := client.Apply(context.Background(), o, changeID); err != nil {
		t.Fatalf("change of another writer failed: %v", err)
	}
}

// checkOutcome compares the outcome with the number of times that the change took effect.
func checkOutcome(t *rapid.T, effects, otherChanges int, applied ChangeResult, err error) {
	if (err == nil) != (applied.Outcome == OutcomeDone) {
		t.Fatalf("got outcome %v with error %v, want an error unless the outcome is done", applied.Outcome, err)
	}
	switch applied.Outcome {
	case OutcomeDone:
		if effects != 1 {
			t.Fatalf("outcome done: change took effect %d times, want once", effects)
		}
	case OutcomeConflict:
		if effects != 0 {
			t.Fatalf("outcome conflict: change took effect %d times, want none: %v", effects, err)
		}
	default:
		if otherChanges < maxRecentChanges {
			t.Fatalf("got outcome %v after %d changes of other writers, want done or conflict: %v", applied.Outcome, otherChanges, err)
		}
	}
}

func TestApplyResumesByChangeID(t *testing.T) {
	server, client := startPlatform(t)
	ctx := context.Background()
	created, err := client.Apply(ctx, document("w", "1"), "first")
	wantError(t, err, nil)

	change := created.Object
	change.Data = document("w", "2").Data
	_, err = client.Apply(ctx, change, "second")
	wantError(t, err, nil)
	again, err := client.Apply(ctx, change, "second")
	wantError(t, err, nil)
	if again.Outcome != OutcomeDone || server.Counts().Update != 1 {
		t.Fatalf("got outcome %v after %d updates, want done after 1", again.Outcome, server.Counts().Update)
	}
	first, err := client.Apply(ctx, document("w", "1"), "first")
	wantError(t, err, nil)
	if !first.Overwritten {
		t.Fatal("first change is not reported as overwritten by the second")
	}
	lost, err := client.Apply(ctx, change, "third")
	wantError(t, err, ErrConflict)
	if lost.Outcome != OutcomeConflict {
		t.Fatalf("got outcome %v, want conflict", lost.Outcome)
	}
}

func TestApplyIsNotDoneWithoutConnection(t *testing.T) {
	server, client := startPlatform(t)
	ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
	defer cancel()
	server.Close()
	applied, err := client.Apply(ctx, document("w", "1"), "id")
	wantError(t, err, ErrUnavailable)
	if applied.Outcome != OutcomeNotDone {
		t.Fatalf("got outcome %v, want not_done: %v", applied.Outcome, err)
	}
}

func TestApplyOutcomeIsUnknownWithoutAnswers(t *testing.T) {
	server, client := startPlatform(t)
	server.SetFaults(standin.Faults{Down: true})
	ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
	defer cancel()
	applied, err := client.Apply(ctx, document("w", "1"), "id")
	wantError(t, err, ErrOutcomeUnknown)
	if applied.Outcome != OutcomeUnknown {
		t.Fatalf("got outcome %v, want unknown: %v", applied.Outcome, err)
	}
}

func TestRemoveResolvesLostAnswer(t *testing.T) {
	server, client := startPlatform(t)
	ctx := context.Background()
	stored := server.PutObject(document("w", "1"))
	server.SetFaults(standin.Faults{LoseNextResponses: 1})
	removed, err := client.Remove(ctx, stored.Kind, stored.Name, stored.Version)
	wantError(t, err, nil)
	if removed.Outcome != OutcomeDone {
		t.Fatalf("got outcome %v, want done", removed.Outcome)
	}
	newer := server.PutObject(document("w", "2"))
	_, err = client.Remove(ctx, newer.Kind, newer.Name, stored.Version)
	wantError(t, err, ErrConflict)
}

func TestContent(t *testing.T) {
	data, err := recordChange([]byte(`{"value":1}`), nil, "id")
	wantError(t, err, nil)
	content, err := Content(data)
	wantError(t, err, nil)
	if string(content) != `{"value":1}` {
		t.Fatalf("got content %s of %s, want the data without change ids", content, data)
	}
}

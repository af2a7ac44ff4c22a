package lines

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// order sends an order to promote a target of the test group, and returns the status of the answer; 0 without one.
func order(ctx context.Context, t *testing.T, p *Provider, target string) int {
	t.Helper()
	body, _ := json.Marshal(map[string]string{"Backend": "group", "Id": target})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, p.URL()+"/promote", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func newTestProvider(t *testing.T, g *Group) *Provider {
	t.Helper()
	p, err := NewProvider(g)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// TestOrderWithoutAnswerTakesEffect guards against a stand-in in which an order has no effect because its sender got no
// answer.
func TestOrderWithoutAnswerTakesEffect(t *testing.T) {
	for name, inject := range map[string]func(p *Provider, giveUp func(), gaveUp <-chan struct{}){
		"answer lost": func(p *Provider, _ func(), _ <-chan struct{}) { p.SetFaults(OrderFaults{LoseAnswers: true}) },
		"sender gave up": func(p *Provider, giveUp func(), gaveUp <-chan struct{}) {
			p.onNextOrder("group", func(string) { giveUp(); <-gaveUp })
		},
		"cut after the arrival": func(p *Provider, _ func(), _ <-chan struct{}) {
			p.onNextOrder("group", func(source string) { p.cut.Store(source, true) })
		},
	} {
		g := newTestGroup(t)
		p := newTestProvider(t, g)
		ctx, giveUp := context.WithCancel(context.Background())
		gaveUp := make(chan struct{})
		inject(p, giveUp, gaveUp)
		if status := order(ctx, t, p, "b"); status != 0 {
			t.Errorf("%s: got status %d, want no answer", name, status)
		}
		close(gaveUp)
		for g.Target("b").Term() != 2 {
			time.Sleep(10 * time.Millisecond)
		}
		if g.Primary() != "b" {
			t.Errorf("%s: got primary %s, want b", name, g.Primary())
		}
		giveUp()
	}
}

// TestPromoteDelaysDiffer guards against orders that all take effect after the same time.
func TestPromoteDelaysDiffer(t *testing.T) {
	g := newTestGroup(t)
	if first, second := g.nextPromoteDelay(), g.nextPromoteDelay(); first != 50*time.Millisecond || second != first {
		t.Errorf("without an option: got %v and %v, want 50 ms", first, second)
	}
	g = newTestGroup(t)
	g.SetPromoteDelay(600 * time.Millisecond)
	g.spreadPromoteDelay(400 * time.Millisecond)
	for i, want := range []time.Duration{600, 800, 1000, 600} {
		if got := g.nextPromoteDelay(); got != want*time.Millisecond {
			t.Errorf("order %d: got %v, want %v", i, got, want*time.Millisecond)
		}
	}
}

// TestRestartedPrimaryLeadsUnlessReplaced guards against a primary that remembers its step-down, and against one that
// leads although another target was promoted.
func TestRestartedPrimaryLeadsUnlessReplaced(t *testing.T) {
	for _, promoted := range []bool{false, true} {
		g := newTestGroup(t)
		a := g.Target("a")
		g.mu.Lock()
		a.primary = false
		g.mu.Unlock()
		if promoted && !g.Promote("b") {
			t.Fatal("b was not promoted")
		}
		if err := a.RestartAsPrimary(1); err != nil {
			t.Fatal(err)
		}
		if leads := g.Primary() == "a"; leads == promoted {
			t.Errorf("promoted %t: got that a leads %t", promoted, leads)
		}
	}
}

// TestLateWatchSkipsNothing guards against changes that a delayed watch never learns of, and against one that learns of
// them at once.
func TestLateWatchSkipsNothing(t *testing.T) {
	store, err := NewStore()
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	store.Put("servers", "old", 1)
	store.Put("servers", "new", 1)
	store.mu.Lock()
	store.events[0].at = time.Now().Add(-time.Hour)
	events, known := store.eventsAfter("servers", 0, time.Minute)
	none, same := store.eventsAfter("servers", known, time.Minute)
	rest, last := store.eventsAfter("servers", known, 0)
	store.mu.Unlock()
	if len(events) != 1 || len(none) != 0 || same != known || len(rest) != 1 || last != store.revision {
		t.Errorf("got %d, %d and %d changes, revisions %d, %d and %d, want 1, 0 and 1, the last revision last",
			len(events), len(none), len(rest), known, same, last)
	}
	store.DelayWatches("127.0.0.1", 50*time.Millisecond)
	response, err := http.Get(fmt.Sprintf("%s/v1/objects/servers?WaitMs=10000&Watch=%d", store.URL(), known))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var answer struct {
		Events []event `json:"events"`
		AtRev  uint64
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil || len(answer.Events) != 1 || answer.AtRev != last {
		t.Errorf("got %d changes up to %d, %v, want one up to %d", len(answer.Events), answer.AtRev, err, last)
	}
}

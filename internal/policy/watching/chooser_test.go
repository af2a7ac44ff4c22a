package watching

import (
	"testing"
	"time"
)

// fixed returns half of each range, so that decisions are the same each time.
func fixed(d time.Duration) time.Duration { return d / 2 }

// reader returns the chooser of a reader among n daemons that has just heard one of its watchers.
func reader(t *testing.T, n int) (*Chooser, []Source) {
	t.Helper()
	daemons := fleet(n)
	c := NewChooser(fixed)
	for _, d := range daemons {
		if a := Assign(d.Name, daemons, false); a.Role == RoleReader {
			c.Assign(a, 0)
			break
		}
	}
	c.Succeeded(c.Next(0)[0], 0, false)
	return c, c.Next(0)
}

func tiers(sources []Source) string {
	text := ""
	for _, s := range sources {
		text += s.Tier.String() + " "
	}
	return text
}

// TestReaderPrefersItsZone expects the watcher and then the standby of the own zone, and then the watchers of others.
func TestReaderPrefersItsZone(t *testing.T) {
	c, first := reader(t, 81)
	if got, want := tiers(first), "own_zone own_zone other_zone other_zone other_zone other_zone "; got != want {
		t.Fatalf("got sources %q, want %q", got, want)
	}
	daemons := fleet(81)
	for i, want := range []Role{RoleWatcher, RoleStandby, RoleWatcher, RoleWatcher} {
		if got := Assign(first[i].Peer.Name, daemons, false).Role; got != want {
			t.Errorf("source %d is a %s, want a %s", i, got, want)
		}
	}
	c.Succeeded(first[0], time.Second, false)
	if second := c.Next(time.Second); second[0].Peer != first[0].Peer {
		t.Errorf("asks %s after an answer of %s, want it again", second[0].Peer.Name, first[0].Peer.Name)
	}
}

// TestStandbyFollowsStoreWhileItsWatcherFails expects no wait for a silence, and the watcher again once it answers.
func TestStandbyFollowsStoreWhileItsWatcherFails(t *testing.T) {
	daemons := fleet(81)
	for _, d := range daemons {
		a := Assign(d.Name, daemons, false)
		if a.Role != RoleStandby {
			continue
		}
		c := NewChooser(fixed)
		c.Assign(a, 0)
		watcher := c.Next(0)[0]
		c.Succeeded(watcher, 0, false)
		c.Failed(watcher, time.Second, FailureLost)
		if got := c.Next(time.Second); got[0].Tier != TierStore || got[0].IsCheck {
			t.Errorf("standby %s asks %q after its watcher has failed, want the store first", d.Name, tiers(got))
		}
		c.Succeeded(Source{Tier: TierStore}, time.Second, false)
		if got := c.Next(time.Second + lostDelay); got[0] != watcher {
			t.Errorf("standby %s asks %q later, want its watcher first", d.Name, tiers(got))
		}
	}
}

// TestReaderLeavesSilentWatcher expects the other watcher of the zone at once, and the silent one again later.
func TestReaderLeavesSilentWatcher(t *testing.T) {
	c, first := reader(t, 81)
	c.Failed(first[0], time.Second, FailureSilent)
	if got, want := tiers(c.Next(time.Second)), "own_zone other_zone other_zone other_zone other_zone "; got != want {
		t.Errorf("got sources %q, want %q", got, want)
	}
	for i := range 20 {
		c.Failed(first[0], time.Duration(i)*time.Second, FailureSilent)
	}
	c.Succeeded(first[1], 19*time.Second+maxSilentDelay, false)
	if got, want := tiers(c.Next(19*time.Second+maxSilentDelay)), "own_zone own_zone other_zone other_zone other_zone other_zone "; got != want {
		t.Errorf("%s after the last silence: got sources %q, want %q", maxSilentDelay, got, want)
	}
}

// TestReaderAsksStoreAfterSilence expects no call to the store within a second, and one after it.
func TestReaderAsksStoreAfterSilence(t *testing.T) {
	c, _ := reader(t, 81)
	lose := func(now time.Duration) {
		for range 3 {
			for _, s := range c.Next(now) {
				c.Failed(s, now, FailureLost)
			}
		}
	}
	lose(100 * time.Millisecond)
	if got := tiers(c.Next(100 * time.Millisecond)); got != "" {
		t.Errorf("got sources %q right after all have failed, want none", got)
	}
	now := silenceBeforeStore + fixed(storeSpread)
	lose(now - 100*time.Millisecond)
	if got := tiers(c.Next(now)); got != "store no_watcher no_watcher no_watcher no_watcher no_watcher " {
		t.Errorf("got sources %q after a silence of %s, want the store and then daemons that are no watchers", got, now)
	}
	c.Succeeded(Source{Tier: TierStore}, now, false)
	if got := tiers(c.Next(now)); got != "store no_watcher no_watcher no_watcher no_watcher no_watcher " {
		t.Errorf("got sources %q after the store has answered, want it to stay", got)
	}
	back := c.assignment.Near[0]
	c.Succeeded(Source{Tier: TierNear, Peer: back}, now, false)
	if got := c.Next(now + time.Millisecond); got[0].Peer != back {
		t.Errorf("got sources %q after a watcher has answered, want it in place of the store", tiers(got))
	}
}

// TestReaderTreatsOldProofAsSilence guards against a reader that goes on with a watcher whose calls to the store hang.
func TestReaderTreatsOldProofAsSilence(t *testing.T) {
	c, first := reader(t, 81)
	c.Succeeded(first[0], time.Second, true)
	if c.heardAt != 0 {
		t.Errorf("an answer with an old proof counts as heard at %s", c.heardAt)
	}
	if next := c.Next(time.Second); next[0].Peer == first[0].Peer {
		t.Errorf("asks %s again after an old proof, want another one", next[0].Peer.Name)
	}
}

// TestStoreThatIsDownIsAskedSeldom bounds the calls of readers during an outage, which had each daemon ask twice a second
// for each kind.
func TestStoreThatIsDownIsAskedSeldom(t *testing.T) {
	c, _ := reader(t, 81)
	calls := 0
	for now := time.Duration(0); now < 30*time.Second; now += 50 * time.Millisecond {
		for _, s := range c.Next(now) {
			if s.Tier == TierStore {
				calls++
			}
			c.Failed(s, now, FailureLost)
		}
	}
	if calls < 4 || calls > 10 {
		t.Errorf("got %d calls to a store that is down for 30s, want 4 to 10", calls)
	}
}

// TestWatcherFollowsOthersWhileStoreTurnsItAway expects peers at once, and the store again within the bounds.
func TestWatcherFollowsOthersWhileStoreTurnsItAway(t *testing.T) {
	daemons := fleet(81)
	c := NewChooser(fixed)
	for _, d := range daemons {
		if a := Assign(d.Name, daemons, false); a.Role == RoleWatcher {
			c.Assign(a, 0)
		}
	}
	if got := c.Next(0); got[0].Tier != TierStore {
		t.Fatalf("a watcher asks %q, want the store first", tiers(got))
	}
	c.Failed(Source{Tier: TierStore}, 0, FailureSilent)
	if got := c.Next(0); len(got) == 0 || got[0].Tier != TierNear {
		t.Fatalf("got sources %q after the store has failed, want the standby of the zone", tiers(got))
	}
	for now := time.Duration(0); now < 20*time.Second; now += time.Second {
		c.Succeeded(Source{Tier: TierNear, Peer: c.assignment.Near[0]}, now, false)
		c.Failed(Source{Tier: TierStore}, now, FailureSilent)
	}
	if c.storeDue-19*time.Second > maxFedDelay {
		t.Errorf("the store is asked again after %s, want at most %s", c.storeDue-19*time.Second, maxFedDelay)
	}
	c.Failed(Source{Tier: TierStore}, time.Minute, FailureSilent)
	if c.storeDue-time.Minute > maxWatcherDelay {
		t.Errorf("a watcher that hears nothing asks the store after %s, want at most %s", c.storeDue-time.Minute, maxWatcherDelay)
	}
}

// TestReaderChecksAtTheStore expects a call of its own now and then, which is no change of source.
func TestReaderChecksAtTheStore(t *testing.T) {
	c, _ := reader(t, 81)
	first := c.Next(12 * 81 * time.Second)[0]
	if !first.IsCheck {
		t.Fatalf("got %v first, want a check", first)
	}
	c.Succeeded(first, 12*81*time.Second, false)
	if c.current.Tier == TierStore || c.Next(12 * 81 * time.Second)[0].IsCheck {
		t.Error("the reader follows the store, or checks again, after a check")
	}
}

// TestMembershipKeepsWhatIsKnown expects that a daemon set aside stays so when the list changes, and is forgotten when it is
// gone.
func TestMembershipKeepsWhatIsKnown(t *testing.T) {
	c, first := reader(t, 81)
	c.Failed(first[0], 0, FailureInvalid)
	c.Assign(c.assignment, 0)
	if len(c.aside) != 1 {
		t.Errorf("%d daemons are set aside after the same list, want 1", len(c.aside))
	}
	c.Assign(Assignment{Role: RoleReader, Daemons: 81}, 0)
	if len(c.aside) != 0 {
		t.Errorf("%d daemons are set aside that are gone, want none", len(c.aside))
	}
}

package feed

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/watching"
)

// proofBound is the age of proofs while nothing fails: two watches of 1.2 s, and calls.
const proofBound = 2500 * time.Millisecond

// callsOfDay returns the calls to the store of n daemons in 40 s with 50 changes.
func callsOfDay(t *testing.T, n int, direct bool) int {
	calls := 0
	synctest.Test(t, func(t *testing.T) {
		w := newCalmWorld(t, n, direct)
		var last uint64
		for i := range 50 {
			pause(800 * time.Millisecond)
			kind := []string{keys, entries}[i%2]
			last = w.change(kind, fmt.Sprintf("object-%d", i%5))
		}
		w.expectAll(fmt.Sprintf("%s/object-%d", entries, 49%5), last, time.Second)
		w.expectProofs(w.names, proofBound)
		calls = w.callCount()
		w.close()
		time.Sleep(10 * time.Second)
	})
	return calls
}

// TestStoreCallsDoNotGrowWithDaemonsTimesChanges counts the calls of a day with 50 changes. A daemon lists each kind once
// when it starts; all else is up to six watchers, and one check a second at most.
func TestStoreCallsDoNotGrowWithDaemonsTimesChanges(t *testing.T) {
	direct := callsOfDay(t, 26, true)
	for _, n := range []int{26, 81, 300} {
		fed := callsOfDay(t, n, false)
		t.Logf("%d daemons: %d calls with watchers; 26 daemons that all follow the store: %d", n, fed, direct)
		if fed*3*26 > direct*n {
			t.Errorf("%d daemons: got %d calls, want at most a third of %d", n, fed, direct*n/26)
		}
		if limit := 2*n + 900; fed > limit {
			t.Errorf("%d daemons: got %d calls, want at most %d", n, fed, limit)
		}
	}
}

// TestSilentWatchersAreReplaced freezes both watchers of a zone.
func TestSilentWatchersAreReplaced(t *testing.T) {
	inWorld(t, 26, func(w *world) {
		frozen := w.watchers("zone-1")
		w.setPeers(silent, frozen...)
		version := w.change(keys, "main")
		w.expectAll("config/main", version, 1200*time.Millisecond)
		pause(5 * time.Second)
		w.expectProofs(w.names, proofBound+time.Second)
		before := w.callCount()
		pause(5 * time.Second)
		if calls := w.callCount() - before; calls > 4*(5+3)+10 {
			t.Errorf("got %d calls to the store in 5s, want those of the watchers", calls)
		}
	})
}

// TestWatcherThatHangsDelaysLittle has the calls of both watchers of a zone hang, while they answer their readers: these
// must learn of a configuration within its bound of 5 s, and their proofs must stay valid.
func TestWatcherThatHangsDelaysLittle(t *testing.T) {
	inWorld(t, 26, func(w *world) {
		hanging := w.watchers("zone-1")
		w.setStore(silent, hanging...)
		version := w.change(keys, "main")
		pause(3500 * time.Millisecond)
		if late := without(w.lateDaemons("config/main", version), hanging); len(late) > 0 {
			t.Errorf("3.5s after version %d, %v have not applied it", version, late)
		}
		for range 20 {
			pause(500 * time.Millisecond)
			w.expectProofs(without(w.names, hanging), 4*time.Second)
			w.expectProofs(hanging, 4600*time.Millisecond)
		}
	})
}

// TestRefusedDaemonsAreFed has the store turn away both watchers of a zone and some readers, and serve the others.
func TestRefusedDaemonsAreFed(t *testing.T) {
	inWorld(t, 26, func(w *world) {
		refused := append(w.watchers("zone-1"), w.withRole(watching.RoleReader, "zone-2")[:3]...)
		w.setStore(refuses, refused...)
		for range 10 {
			version := w.change(keys, "main")
			w.expectAll("config/main", version, time.Second)
			w.expectProofs(w.names, proofBound+time.Second)
		}
	})
}

// TestAllWatchersRefused expects the readers to follow the store themselves, and the watchers to ask them.
func TestAllWatchersRefused(t *testing.T) {
	inWorld(t, 26, func(w *world) {
		w.setStore(refuses, w.watchers("")...)
		for range 8 {
			pause(500 * time.Millisecond)
			w.expectProofs(w.names, 4600*time.Millisecond)
		}
		version := w.change(keys, "main")
		w.expectAll("config/main", version, 2*time.Second)
		w.expectProofs(w.names, 4600*time.Millisecond)
	})
}

// TestStoreDownForAll expects that each daemon has seen the failure, so that no promotion trusts the entries, that proofs
// end, and that all is back soon after the store is. Calls during the outage stay few.
func TestStoreDownForAll(t *testing.T) {
	inWorld(t, 81, func(w *world) {
		before := w.callCount()
		began := w.now()
		w.setStore(refuses, w.names...)
		pause(10 * time.Second)
		if calls := w.callCount() - before; calls > 1200 {
			t.Errorf("got %d calls in an outage of 10s, want at most 1200", calls)
		}
		ended := w.now()
		w.setStore(works, w.names...)
		version := w.change(keys, "main")
		w.expectAll("config/main", version, 1500*time.Millisecond)
		w.expectProofs(w.names, proofBound)
		for _, name := range w.names {
			if d := w.daemons[name]; d.proof < began {
				t.Errorf("%s has no proof since the outage", name)
			} else if d.failedAt < ended-time.Second {
				t.Errorf("%s counts entries as followed without a failure since %s before the end of the outage", name, ended-d.failedAt)
			}
		}
	})
}

// TestOutageOfWatchersIsSeenByReaders guards against a promotion that trusts entries which lapsed in an outage that only the
// watchers have noticed.
func TestOutageOfWatchersIsSeenByReaders(t *testing.T) {
	inWorld(t, 26, func(w *world) {
		w.setStore(refuses, w.names...)
		pause(300 * time.Millisecond)
		ended := w.now()
		w.setStore(works, w.names...)
		pause(2 * time.Second)
		for _, name := range w.names {
			if d := w.daemons[name]; d.failedAt < ended-300*time.Millisecond {
				t.Errorf("%s has not noticed the outage of 300 ms", name)
			}
		}
	})
}

// TestWatcherLeaves expects that a watcher that stops, and then one that is killed, delay no change.
func TestWatcherLeaves(t *testing.T) {
	inWorld(t, 26, func(w *world) {
		watchers := w.watchers("zone-0")
		w.daemons[watchers[0]].feed.Leave()
		w.expectAll("config/main", w.change(keys, "main"), 100*time.Millisecond)
		w.daemons[watchers[1]].feed.Leave()
		w.expectAll("config/main", w.change(keys, "main"), 100*time.Millisecond)
	})
}

// TestRestoredStore brings the store back from a copy that lacks an entry and has an older configuration: revisions are given
// out again.
func TestRestoredStore(t *testing.T) {
	inWorld(t, 26, func(w *world) {
		copied, revision := w.objects["config/main"], w.revision
		w.change(entries, "new target")
		w.change(keys, "main")
		pause(time.Second)
		w.mu.Lock()
		w.era, w.revision, w.changes = 2, revision, nil
		w.objects["config/main"] = copied
		delete(w.objects, "servers/new target")
		w.mu.Unlock()
		version := w.change(entries, "target")
		w.expectAll("servers/target", version, 6*time.Second)
		for _, name := range w.names {
			d := w.daemons[name]
			if got := d.state["config/main"]; got.Era != 2 || got.Version != copied.Version {
				t.Errorf("%s has version %d of era %d, want %d of era 2", name, got.Version, got.Era, copied.Version)
			}
			if !d.state["servers/new target"].Deleted {
				t.Errorf("%s has an entry that the copy lacks", name)
			}
			if d.restores != 2 {
				t.Errorf("%s was told %d times that the store was restored, want once for each kind", name, d.restores)
			}
		}
		w.expectProofs(w.names, proofBound)
	})
}

// TestDroppedHistory has the store drop its history while watchers change.
func TestDroppedHistory(t *testing.T) {
	inWorld(t, 26, func(w *world) {
		watcher := w.watchers("zone-0")[0]
		w.setStore(refuses, watcher)
		w.write(entries, "target", "{}", true)
		version := w.change(entries, "other")
		w.mu.Lock()
		w.compacted = w.revision
		w.mu.Unlock()
		pause(time.Second)
		w.setStore(works, watcher)
		w.expectAll("servers/other", version, 2*time.Second)
		for _, name := range w.names {
			if !w.daemons[name].state["servers/target"].Deleted {
				t.Errorf("%s has an entry whose deletion was in the dropped history", name)
			}
		}
	})
}

// TestNoProofOfConfigurationThatIsNotApplied guards against keys that live on because the configuration that takes them away
// cannot be read.
func TestNoProofOfConfigurationThatIsNotApplied(t *testing.T) {
	inWorld(t, 26, func(w *world) {
		written := w.now()
		w.write(keys, "main", "bad", false)
		pause(5 * time.Second)
		for _, name := range w.names {
			if d := w.daemons[name]; d.proof > written {
				t.Errorf("%s has a proof from %s after a configuration that it did not apply", name, d.proof-written)
			}
		}
		w.expectAll("config/main", w.change(keys, "main"), time.Second)
		w.expectProofs(w.names, proofBound)
	})
}

// TestHostileWatcher expects that replies without sense change nothing, and that their reader goes elsewhere.
func TestHostileWatcher(t *testing.T) {
	lies := map[string]func(*api.FeedReply){
		"outcome of another version": func(r *api.FeedReply) { r.Outcome = "maybe" },
		"revision beyond sense":      func(r *api.FeedReply) { r.Revision = 1 << 63 },
		"era beyond sense":           func(r *api.FeedReply) { r.Era = 1 << 62 },
		"revision that goes back":    func(r *api.FeedReply) { r.Revision = 1 },
		"object without a name":      func(r *api.FeedReply) { r.Objects = []api.Object{{Kind: keys, Version: r.Revision, Era: r.Era}} },
		"object of another kind": func(r *api.FeedReply) {
			r.Objects = []api.Object{{Kind: "other", Name: "main", Version: r.Revision, Era: r.Era}}
		},
		"version beyond sense": func(r *api.FeedReply) {
			r.Objects = []api.Object{{Kind: keys, Name: "main", Version: 1 << 63, Era: r.Era}}
		},
		"proof beyond sense":       func(r *api.FeedReply) { r.HasProof, r.ProofOffsetUs = true, -1<<63 },
		"settled less than never":  func(r *api.FeedReply) { r.SettledMs = -1 << 63 },
		"settled longer than time": func(r *api.FeedReply) { r.SettledMs = 1<<63/1_000_000 + 10_000_000 },
	}
	for name, lie := range lies {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 18, func(w *world) {
				w.mu.Lock()
				w.lie[w.watchers("zone-0")[0]] = lie
				w.mu.Unlock()
				w.expectAll("config/main", w.change(keys, "main"), 1500*time.Millisecond)
				w.expectProofs(w.names, proofBound)
				w.expectAll("config/main", w.change(keys, "main"), 1500*time.Millisecond)
				for _, name := range w.names {
					if ahead := w.daemons[name].failedAt - w.now(); ahead > 0 {
						t.Errorf("%s counts a failure %s ahead", name, ahead)
					}
				}
			})
		})
	}
}

// TestProofFromTheFutureIsCapped expects that no daemon has a proof of a time that has not come.
func TestProofFromTheFutureIsCapped(t *testing.T) {
	inWorld(t, 26, func(w *world) {
		w.mu.Lock()
		for _, name := range w.names {
			w.lie[name] = func(r *api.FeedReply) { r.ProofOffsetUs -= time.Hour.Microseconds() }
		}
		w.mu.Unlock()
		pause(3 * time.Second)
		for _, name := range w.names {
			if age := w.age(w.daemons[name]); age < 0 {
				t.Errorf("%s has a proof %s ahead", name, -age)
			}
		}
	})
}

// TestFewDaemonsFeedEachOther has the store turn away one of nine daemons, which all follow it.
func TestFewDaemonsFeedEachOther(t *testing.T) {
	inWorld(t, 9, func(w *world) {
		w.setStore(refuses, "daemon-4")
		for range 5 {
			w.expectAll("config/main", w.change(keys, "main"), time.Second)
			w.expectProofs(w.names, proofBound+time.Second)
		}
	})
}

// TestLargeConfigurationReachesAll expects a configuration that is too large to pass on to be in force everywhere, by one
// call of each daemon.
func TestLargeConfigurationReachesAll(t *testing.T) {
	inWorld(t, 26, func(w *world) {
		before := w.callCount()
		version := w.write(keys, "main", strings.Repeat(" ", maxReplyBytes), false)
		w.expectAll("config/main", version, time.Second)
		if calls := w.callCount() - before; calls > 26+20 {
			t.Errorf("got %d calls, want about one for each of 26 daemons", calls)
		}
		w.expectAll("config/main", w.change(keys, "main"), time.Second)
		w.expectProofs(w.names, proofBound)
	})
}

// TestOldProofSendsReadersElsewhere has the watcher of a zone and its standby answer with proofs that grow old, as when their
// calls to the store hang, and without saying so.
func TestOldProofSendsReadersElsewhere(t *testing.T) {
	inWorld(t, 26, func(w *world) {
		w.mu.Lock()
		for _, name := range w.watchers("zone-1") {
			w.lie[name] = func(r *api.FeedReply) { r.ProofOffsetUs += (10 * time.Second).Microseconds() }
		}
		w.mu.Unlock()
		for range 10 {
			pause(time.Second)
			w.expectProofs(w.withRole(watching.RoleReader, ""), proofBound+1500*time.Millisecond)
		}
	})
}

// TestFailureAtWatcherCountsForReaders guards against a promotion that trusts entries which the daemon that passes them on
// has not followed without a failure.
func TestFailureAtWatcherCountsForReaders(t *testing.T) {
	inWorld(t, 26, func(w *world) {
		w.mu.Lock()
		for _, name := range w.names {
			w.lie[name] = func(r *api.FeedReply) { r.SettledMs = 100 }
		}
		w.mu.Unlock()
		pause(5 * time.Second)
		for _, name := range w.withRole(watching.RoleReader, "") {
			if since := w.now() - w.daemons[name].failedAt; since > 2200*time.Millisecond {
				t.Errorf("%s counts entries as followed for %s, want at most 0.1s and a request", name, since)
			}
		}
	})
}

// TestStandbyOfSilentWatcherCountsFailure guards against a promotion by a daemon that goes on from a watcher to the store and
// cannot know whether the watcher had lost it.
func TestStandbyOfSilentWatcherCountsFailure(t *testing.T) {
	inWorld(t, 26, func(w *world) {
		// The first watches of the standby may be at the store, until its watcher answers.
		pause(5 * time.Second)
		frozen := w.now()
		w.setPeers(silent, w.withRole(watching.RoleWatcher, "zone-1")...)
		pause(time.Second)
		for _, name := range w.withRole(watching.RoleStandby, "zone-1") {
			if d := w.daemons[name]; d.failedAt < frozen {
				t.Errorf("%s counts entries as followed without a failure for %s", name, w.now()-d.failedAt)
			}
		}
	})
}

// TestManyRefusedBesideAllWatchers has the store turn away all watchers and standbys, which call it most, and half of the
// readers, while the zones do not reach each other: the other readers must follow the store and feed the rest.
func TestManyRefusedBesideAllWatchers(t *testing.T) {
	inWorld(t, 36, func(w *world) {
		refused := w.watchers("")
		for i, name := range w.withRole(watching.RoleReader, "") {
			if i%6 < 3 {
				refused = append(refused, name)
			}
		}
		w.mu.Lock()
		w.split = true
		w.mu.Unlock()
		w.setStore(refuses, refused...)
		for range 12 {
			pause(500 * time.Millisecond)
			w.expectProofs(w.names, 5500*time.Millisecond)
		}
		w.expectProofs(w.names, 4500*time.Millisecond)
		w.expectAll("config/main", w.change(keys, "main"), 2*time.Second)
	})
}

package lines_test

import (
	"testing"
	"time"
)

// TestRestoredStoreKeepsTheConfiguration restores the store from a copy with an older configuration: the newer one stays
// in force, and what the operator writes next, under revisions given out again, comes into force.
func TestRestoredStoreKeepsTheConfiguration(t *testing.T) {
	c := newCluster(t, 1)
	d := c.daemons[0]
	time.Sleep(1500 * time.Millisecond)
	c.configure(5, strictDatabase, "added")
	c.await("the added route", func() bool { return c.try(d, "added", "READ x").Code == "" })
	c.store.Restore(time.Second)
	for range 20 {
		if r := c.try(d, "added", "READ x"); r.Code != "" {
			t.Fatalf("read over a route that the copy lacks: got %+v, want it to stay in force", r)
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.configure(6, strictDatabase, "added", "newest")
	c.await("the newest route", func() bool { return c.try(d, "newest", "READ x").Code == "" })
}

// TestRestoreDuringAPromotion restores the store while a crashed primary is replaced: nothing that was acknowledged is
// lost, and no token is used twice.
func TestRestoreDuringAPromotion(t *testing.T) {
	c := newCluster(t, 3)
	time.Sleep(settleTime)
	runFaultUnderWrites(t, c, func() {
		c.group.Target("a").Crash()
		time.Sleep(700 * time.Millisecond)
		c.store.Restore(2 * time.Second)
		time.AfterFunc(heartbeatDelay, func() {
			for _, name := range []string{"b", "c"} {
				c.group.Target(name).WriteEntry()
			}
		})
	}, c.hasOtherPrimary("a"))
	checkFencingTokens(t, c.provider.Orders())
}

// heartbeatDelay is the time after a restore at which targets write their entries again.
const heartbeatDelay = time.Second

// TestManyDaemonsFewConnections runs forty daemons before targets that accept fifty connections, and stops ten of them
// under writes.
func TestManyDaemonsFewConnections(t *testing.T) {
	const daemons, connections, stopped = 40, 50, 10
	c := newCluster(t, 0)
	c.group.LimitConnections(connections)
	c.connections = connections
	c.configure(2, strictDatabase, sessionDatabase)
	for i := range daemons {
		c.daemons = append(c.daemons, c.start(i))
	}
	c.await("all daemons serve", func() bool {
		for _, d := range c.daemons {
			if c.try(d, strictDatabase, "READ start").Code != "" {
				return false
			}
		}
		return true
	})
	runFaultUnderWrites(t, c, func() {
		for _, d := range c.daemons[1 : 1+stopped] {
			d.stop()
		}
	}, func() bool { return c.try(c.daemons[daemons-1], strictDatabase, "WRITE x 1").Code == "" })
	if most := c.group.MostConnections(); most > connections {
		t.Errorf("got %d connections to one target, want at most %d", most, connections)
	}
}

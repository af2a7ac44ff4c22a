package lines_test

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/papayacove/papayacove/standin/lines"
)

func TestSessionsReadTheirOwnWritesFromLaggingReplicas(t *testing.T) {
	c := newCluster(t, 2)
	c.group.Database("b").SetLag(60 * time.Millisecond)
	c.group.Database("c").SetLag(60 * time.Millisecond)
	for number, d := range c.daemons {
		caller := c.dial(d, sessionDatabase)
		for i := range 20 {
			item, value := fmt.Sprintf("item-%d", number), fmt.Sprintf("value-%d", i)
			c.run(caller, "WRITE "+item+" "+value)
			if r := c.run(caller, "READ "+item); r.Rows[0] != value {
				t.Fatalf("read %q after writing %q", r.Rows[0], value)
			}
		}
	}
}

func TestStrictReadsSeeTheWritesOfOthers(t *testing.T) {
	c := newCluster(t, 2)
	writer, reader := c.dial(c.daemons[0], strictDatabase), c.dial(c.daemons[1], strictDatabase)
	for i := range 20 {
		value := fmt.Sprintf("value-%d", i)
		c.run(writer, "WRITE item "+value)
		if r := c.run(reader, "READ item"); r.Rows[0] != value {
			t.Fatalf("read %q after %q was acknowledged", r.Rows[0], value)
		}
	}
}

func TestTransactionsCommitAndRollBack(t *testing.T) {
	c := newCluster(t, 1)
	caller := c.dial(c.daemons[0], sessionDatabase)
	c.run(caller, "BEGIN")
	c.run(caller, "WRITE x 1")
	if r := c.run(caller, "READ x"); r.Rows[0] != "1" || r.State != "T" {
		t.Errorf("inside: %+v", r)
	}
	if r := c.run(caller, "COMMIT"); r.Signature == "-" || r.State != "I" {
		t.Errorf("commit: %+v", r)
	}
	c.run(caller, "BEGIN")
	c.run(caller, "WRITE x 2")
	c.run(caller, "ROLLBACK")
	c.run(caller, "BEGIN READ")
	if r := c.run(caller, "READ x"); r.Rows[0] != "1" {
		t.Errorf("after the rollback: %+v", r)
	}
	c.run(caller, "COMMIT")
}

// TestSessionsKeepTheirValuesAndNames lets many sessions with the same names share few connections.
func TestSessionsKeepTheirValuesAndNames(t *testing.T) {
	c := newCluster(t, 1)
	var sessions sync.WaitGroup
	for number := range 30 {
		caller := c.dial(c.daemons[0], sessionDatabase)
		sessions.Go(func() {
			value := fmt.Sprintf("value-%d", number)
			steps := [][2]string{
				{"SET mode " + value, ""}, {"PARSE s WRITE shape-" + value, ""}, {"EXECUTE s own-" + value + " " + value, ""},
				{"PARSE s READ shape-" + value, ""}, {"EXECUTE s own-" + value, value}, {"READ @mode", value}, {"CLOSE s", ""},
			}
			for _, step := range steps {
				r, err := caller.Run(step[0])
				if err != nil || r.Code != "" || step[1] != "" && r.Rows[0] != step[1] {
					t.Errorf("%s: %+v %v, want %q", step[0], r, err, step[1])
				}
			}
			if r, err := caller.Run("EXECUTE s x"); err != nil || r.Code != "NOSTMT" {
				t.Errorf("after CLOSE: %+v %v", r, err)
			}
		})
	}
	sessions.Wait()
}

// writeOn writes rising values until stopped, and returns the last one that was acknowledged.
func writeOn(c *cluster, d *daemon, item string, stop <-chan struct{}) string {
	last := ""
	for i := 0; ; i++ {
		select {
		case <-stop:
			return last
		default:
		}
		value := fmt.Sprintf("v%d", i)
		if r := c.try(d, sessionDatabase, "WRITE "+item+" "+value); r.Code == "" {
			last = value
		}
	}
}

// underWrites runs a fault while callers write at all daemons, waits for a write after it, and checks that no
// acknowledged write is lost.
func underWrites(t *testing.T, c *cluster, fault func(), recovered func() bool) {
	t.Helper()
	stop := make(chan struct{})
	var writers sync.WaitGroup
	for i, d := range c.daemons {
		writers.Go(func() { writeOn(c, d, fmt.Sprintf("item-%d", i), stop) })
	}
	c.await("a write", func() bool { return c.try(c.daemons[0], strictDatabase, "WRITE first 1").Code == "" })
	fault()
	c.await("the group recovers", recovered)
	for _, d := range c.daemons {
		c.await("a write after the fault", func() bool { return c.try(d, strictDatabase, "WRITE after 1").Code == "" })
	}
	close(stop)
	writers.Wait()
	if lost := c.group.Lost(); len(lost) > 0 {
		t.Errorf("acknowledged writes are lost: %v", lost)
	}
	checkOrders(t, c.provider.Orders())
}

// checkOrders expects that the token rises with the holder.
func checkOrders(t *testing.T, orders []lines.Order) {
	t.Helper()
	for i := 1; i < len(orders); i++ {
		before, now := orders[i-1], orders[i]
		if now.Token < before.Token || now.Holder != before.Holder && now.Token == before.Token {
			t.Errorf("order %+v after %+v", now, before)
		}
	}
}

func (c *cluster) leads(not string) func() bool {
	return func() bool { p := c.group.Primary(); return p != "" && p != not }
}

func TestCrashedPrimaryIsReplaced(t *testing.T) {
	c := newCluster(t, 3)
	underWrites(t, c, c.group.Database("a").Crash, c.leads("a"))
}

func TestDarkPrimaryIsReplaced(t *testing.T) {
	c := newCluster(t, 3)
	underWrites(t, c, func() { c.group.Database("a").SetDark(true) }, c.leads("a"))
}

// TestPrimaryIsReplacedByTheReplicaThatReceived lets one replica receive nothing before the primary crashes.
func TestPrimaryIsReplacedByTheReplicaThatReceived(t *testing.T) {
	c := newCluster(t, 2)
	underWrites(t, c, func() {
		c.group.Database("b").SetDeaf(true)
		for range 5 {
			c.try(c.daemons[0], strictDatabase, "WRITE deaf 1")
		}
		c.group.Database("a").Crash()
	}, c.leadsAndHears("a", "b"))
	if p := c.group.Primary(); p != "c" {
		t.Errorf("%s leads, which lacks commits", p)
	}
}

// leadsAndHears reports whether another target leads, and then lets a replica receive again.
func (c *cluster) leadsAndHears(not, deaf string) func() bool {
	return func() bool {
		if !c.leads(not)() {
			return false
		}
		c.group.Database(deaf).SetDeaf(false)
		return true
	}
}

func TestLeavingPrimaryIsReplaced(t *testing.T) {
	c := newCluster(t, 2)
	underWrites(t, c, c.group.Database("a").Leave, c.leads("a"))
}

// TestLeavingReplicaDoesNotCount lets a replica leave, the other one go deaf, and the leaving one end: no commit may
// have been acknowledged on the log of the one that is gone.
func TestLeavingReplicaDoesNotCount(t *testing.T) {
	c := newCluster(t, 1)
	c.group.Database("b").Leave()
	c.await("writes go on", func() bool { return c.try(c.daemons[0], strictDatabase, "WRITE x 1").Code == "" })
	c.await("the leaving replica is paused", func() bool {
		c.try(c.daemons[0], strictDatabase, "READ x")
		return c.group.Database("b").IsPaused()
	})
}

// TestLapsedEntryStillCounts drops the entry of the one replica that has commits, as a store does while it is down, and
// lets the primary crash: the promotion must not pass it by.
func TestLapsedEntryStillCounts(t *testing.T) {
	c := newCluster(t, 2)
	// Entries that were never there may be missing for as long as this after a start.
	time.Sleep(settleTime)
	underWrites(t, c, func() {
		c.group.Database("b").SetDeaf(true)
		for range 5 {
			c.try(c.daemons[0], strictDatabase, "WRITE deaf 1")
		}
		must(t, c.store.Delete("servers", "c"))
		c.group.Database("a").Crash()
	}, c.leadsAndHears("a", "b"))
	if p := c.group.Primary(); p != "c" {
		t.Errorf("%s leads, which lacks commits", p)
	}
}

// TestReadsAndWritesOutliveTheStore takes the store away.
func TestReadsAndWritesOutliveTheStore(t *testing.T) {
	c := newCluster(t, 1)
	c.store.Down.Store(true)
	caller := c.dial(c.daemons[0], sessionDatabase)
	for i := range 10 {
		c.run(caller, fmt.Sprintf("WRITE x %d", i))
		c.run(caller, "READ x")
		time.Sleep(100 * time.Millisecond)
	}
}

// TestPromotionWithLostAnswersOfTheStore loses the answers to all changes of the store while the primary is down.
func TestPromotionWithLostAnswersOfTheStore(t *testing.T) {
	c := newCluster(t, 2)
	underWrites(t, c, func() {
		c.store.LoseAnswers.Store(true)
		c.group.Database("a").Crash()
		time.Sleep(2 * time.Second)
		c.store.LoseAnswers.Store(false)
	}, c.leads("a"))
}

// TestNothingRunsTwiceAndPromisesHold crashes the primary under writes with known ids.
func TestNothingRunsTwiceAndPromisesHold(t *testing.T) {
	c := newCluster(t, 2)
	type try struct{ id, code string }
	tries := make(chan try, 100_000)
	stop := make(chan struct{})
	var writers sync.WaitGroup
	for number, d := range c.daemons {
		writers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("w%d-%d", number, i)
				caller, err := lines.Dial(d.callers, strictDatabase)
				if err != nil {
					continue
				}
				r, err := caller.RunAs(id, "WRITE "+id+" x")
				if err != nil {
					r.Code = "CUT"
				}
				caller.Close()
				tries <- try{id, r.Code}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	c.group.Database("a").Crash()
	c.await("another leads", c.leads("a"))
	c.await("writes go on", func() bool { return c.try(c.daemons[1], strictDatabase, "WRITE after 1").Code == "" })
	close(stop)
	writers.Wait()
	close(tries)
	for w := range tries {
		ran := c.group.Ran(w.id)
		if ran > 1 || w.code == "" && ran != 1 || lines.IsPromise(w.code) && ran > 0 {
			t.Errorf("%s was answered %q and ran %d times", w.id, w.code, ran)
		}
	}
	if lost := c.group.Lost(); len(lost) > 0 {
		t.Errorf("acknowledged writes are lost: %v", lost)
	}
}

func TestConfigurationOnlyRises(t *testing.T) {
	c := newCluster(t, 1)
	d := c.daemons[0]
	if r := c.try(d, "added", "READ x"); !strings.Contains(r.Text, "NODB") {
		t.Errorf("unknown database: %+v", r)
	}
	caller := c.dial(d, agedDatabase)
	c.configure(5, strictDatabase, "added")
	c.await("the added route", func() bool { return c.try(d, "added", "READ x").Code == "" })
	if r, err := caller.Run("READ x"); err != nil || r.Code != "NODB" {
		t.Errorf("dropped route: %+v %v", r, err)
	}
	c.configure(4, agedDatabase)
	c.store.Compact()
	c.configure(6, strictDatabase, "added", "newest")
	c.await("the newest route", func() bool { return c.try(d, "newest", "READ x").Code == "" })
	if r := c.try(d, agedDatabase, "READ x"); !strings.Contains(r.Text, "NODB") {
		t.Errorf("an older version came into force: %+v", r)
	}
}

func TestBadEntriesAreLeftOut(t *testing.T) {
	c := newCluster(t, 1)
	for name, content := range map[string]string{
		"no-fields": `{}`, "wrong-types": `{"Backend":7,"Address":[],"Zone":"z","PoolSize":"5","State":"ready","DbRole":"replica"}`,
		"unknown-state": `{"Backend":"group","Address":"127.0.0.1:1","Zone":"z","PoolSize":5,"State":"sleepy","DbRole":"replica"}`,
		"text":          `"not a document"`, "null": `null`, "list": `[1,2]`,
	} {
		c.store.PutRaw("servers", name, []byte(content))
	}
	c.configure(2, strictDatabase, "later")
	c.await("later changes are seen", func() bool { return c.try(c.daemons[0], "later", "READ x").Code == "" })
}

func TestBadLinesAreRefused(t *testing.T) {
	c := newCluster(t, 1)
	for name, line := range map[string]string{
		"no CR": "QUERY 1 READ x\nQUERY 2 READ x\r\n", "control character": "QUERY 1 READ \x00\r\n",
		"lone CR": "QUERY 1 READ x\rQUERY 2 WRITE x 1\r\n", "too long": "QUERY 1 WRITE x " + strings.Repeat("y", 2<<20) + "\r\n",
		"own id": "QUERY - READ x\r\n", "position of its own": "QUERY 1 WAITLSN 1.1 READ x\r\n", "status": "QUERY 1 STATUS\r\n",
	} {
		conn, err := net.Dial("tcp", c.daemons[0].callers)
		must(t, err)
		_ = conn.SetDeadline(time.Now().Add(patience))
		go func() { _, _ = conn.Write([]byte("STARTUP " + sessionDatabase + " u\r\n" + line)) }()
		answer := make([]byte, 0, 4096)
		for !strings.Contains(string(answer), "ERROR ") {
			part := make([]byte, 1024)
			n, err := conn.Read(part)
			answer = append(answer, part[:n]...)
			if err != nil {
				break
			}
		}
		if !strings.Contains(string(answer), "ERROR MALFORMED") && !strings.Contains(string(answer), "ERROR TOOBIG") && len(answer) > len("READY I -\r\n") {
			t.Errorf("%s: %q", name, answer)
		}
		_ = conn.Close()
	}
}

// TestPlannedStopServesOn stops a daemon under load: nothing that it has read goes unanswered, and callers that come before
// the balancer has seen the stop are served.
func TestPlannedStopServesOn(t *testing.T) {
	c := newCluster(t, 2)
	d := c.daemons[0]
	idle := c.dial(d, sessionDatabase)
	busy := c.dial(d, sessionDatabase)
	c.run(busy, "BEGIN")
	c.run(busy, "WRITE x 1")
	d.stop()
	c.await("the stop is visible", func() bool { return !d.isReady() })
	if r := c.try(d, sessionDatabase, "READ x"); r.Code != "" {
		t.Errorf("a new caller: %+v", r)
	}
	c.run(idle, "READ x")
	c.run(busy, "COMMIT")
	<-d.ended
	if _, err := idle.Run("READ x"); err == nil {
		t.Error("the idle session outlived the daemon")
	}
	if r := c.try(c.daemons[1], strictDatabase, "READ x"); r.Code != "" || r.Rows[0] != "1" {
		t.Errorf("the last commit: %+v", r)
	}
}

// TestIsolatedDaemonSendsCallersElsewhere makes all targets silent and back.
func TestIsolatedDaemonSendsCallersElsewhere(t *testing.T) {
	c := newCluster(t, 1)
	d := c.daemons[0]
	setDark := func(dark bool) {
		for _, name := range []string{"a", "b", "c"} {
			c.group.Database(name).SetDark(dark)
		}
	}
	setDark(true)
	c.await("not ready", func() bool { c.try(d, strictDatabase, "READ x"); return !d.isReady() })
	setDark(false)
	c.await("ready", d.isReady)
	c.await("served", func() bool { return c.try(d, strictDatabase, "READ x").Code == "" })
}

// TestDaemonWithOneReplicaLeftSendsCallersElsewhere leaves one replica in reach, as a cut zone does: it proves that nothing was
// promoted, but nothing that needs the primary is served.
func TestDaemonWithOneReplicaLeftSendsCallersElsewhere(t *testing.T) {
	c := newCluster(t, 1)
	d := c.daemons[0]
	c.group.Database("a").SetDark(true)
	c.group.Database("c").SetDark(true)
	c.await("not ready", func() bool { c.try(d, strictDatabase, "READ x"); return !d.isReady() })
	c.group.Database("a").SetDark(false)
	c.group.Database("c").SetDark(false)
	c.await("ready", d.isReady)
}

// TestReadsGoOnWhileThePrimaryIsSilent makes the primary silent while the order to promote is refused, so that it stays so.
func TestReadsGoOnWhileThePrimaryIsSilent(t *testing.T) {
	c := newCluster(t, 2)
	time.Sleep(settleTime)
	writer := c.dial(c.daemons[0], sessionDatabase)
	c.run(writer, "WRITE x last")
	c.provider.Refuse.Store(true)
	c.group.Database("a").SetDark(true)
	c.await("writes fail", func() bool { return c.try(c.daemons[0], strictDatabase, "WRITE y 1").Code != "" })
	for _, database := range []string{strictDatabase, sessionDatabase, agedDatabase} {
		for _, d := range c.daemons {
			c.await("a read on "+database, func() bool {
				r := c.try(d, database, "READ x")
				if r.Code == "" && r.Rows[0] != "last" {
					t.Errorf("%s read %q", database, r.Rows[0])
				}
				return r.Code == ""
			})
		}
	}
	if r, err := writer.Run("READ x"); err != nil || r.Code != "" || r.Rows[0] != "last" {
		t.Errorf("the writer's own session: %+v %v", r, err)
	}
}

// TestForgottenPrimaryDoesNotStopAPromotion brings a primary of an old term back while the newest one is down: soak seed
// 118, in which no target led any more.
func TestForgottenPrimaryDoesNotStopAPromotion(t *testing.T) {
	c := newCluster(t, 2)
	time.Sleep(settleTime)
	underWrites(t, c, func() {
		a := c.group.Database("a")
		a.SetDark(true)
		c.await("another leads", c.leads("a"))
		newest := c.group.Primary()
		c.await("a write", func() bool { return c.try(c.daemons[0], strictDatabase, "WRITE x 1").Code == "" })
		c.group.Database(newest).Crash()
		a.SetDark(false)
		a.Lead(1)
	}, func() bool { return c.try(c.daemons[0], strictDatabase, "WRITE y 1").Code == "" })
}

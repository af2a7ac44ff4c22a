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
	c.group.Target("b").SetLag(60 * time.Millisecond)
	c.group.Target("c").SetLag(60 * time.Millisecond)
	for number, d := range c.daemons {
		caller := c.dial(d, sessionDatabase)
		for i := range 20 {
			item, value := fmt.Sprintf("item-%d", number), fmt.Sprintf("value-%d", i)
			c.run(caller, "WRITE "+item+" "+value)
			if r := c.run(caller, "READ "+item); r.Rows[0] != value {
				t.Fatalf("read in the session that wrote the item: got %q, want %q", r.Rows[0], value)
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
			t.Fatalf("read after an acknowledged write: got %q, want %q", r.Rows[0], value)
		}
	}
}

func TestTransactionsCommitAndRollBack(t *testing.T) {
	c := newCluster(t, 1)
	caller := c.dial(c.daemons[0], sessionDatabase)
	c.run(caller, "BEGIN")
	c.run(caller, "WRITE x 1")
	if r := c.run(caller, "READ x"); r.Rows[0] != "1" || r.State != "T" {
		t.Errorf("read in the transaction: got %+v, want row 1 and state T", r)
	}
	if r := c.run(caller, "COMMIT"); r.Signature == "-" || r.State != "I" {
		t.Errorf("commit: got %+v, want a signature and state I", r)
	}
	c.run(caller, "BEGIN")
	c.run(caller, "WRITE x 2")
	c.run(caller, "ROLLBACK")
	c.run(caller, "BEGIN READ")
	if r := c.run(caller, "READ x"); r.Rows[0] != "1" {
		t.Errorf("read after the rollback: got %+v, want row 1", r)
	}
	c.run(caller, "COMMIT")
}

// TestPooledSessionsKeepSettingsAndPreparedStatements guards against sessions that see the settings or the prepared
// statements of others: 30 sessions share few connections to the targets and use the same names with different
// contents.
func TestPooledSessionsKeepSettingsAndPreparedStatements(t *testing.T) {
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
					t.Errorf("%s: got %+v, error %v, want row %q", step[0], r, err, step[1])
				}
			}
			if r, err := caller.Run("EXECUTE s x"); err != nil || r.Code != "NOSTMT" {
				t.Errorf("EXECUTE after CLOSE: got %+v, error %v, want code NOSTMT", r, err)
			}
		})
	}
	sessions.Wait()
}

// writeUntilStopped writes rising values to an item until stop is closed, and returns the last acknowledged one.
func writeUntilStopped(c *cluster, d *daemon, item string, stop <-chan struct{}) string {
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

// runFaultUnderWrites injects a fault while callers write through all daemons, waits until the group has recovered
// and each daemon has served another write, and checks that no acknowledged write is lost.
func runFaultUnderWrites(t *testing.T, c *cluster, fault func(), recovered func() bool) {
	t.Helper()
	stop := make(chan struct{})
	var writers sync.WaitGroup
	for i, d := range c.daemons {
		writers.Go(func() { writeUntilStopped(c, d, fmt.Sprintf("item-%d", i), stop) })
	}
	c.await("a write", func() bool { return c.try(c.daemons[0], strictDatabase, "WRITE first 1").Code == "" })
	fault()
	c.await("the group recovers", recovered)
	for _, d := range c.daemons {
		c.await("a write after the fault", func() bool { return c.try(d, strictDatabase, "WRITE after 1").Code == "" })
	}
	close(stop)
	writers.Wait()
	if lost := c.group.LostWrites(); len(lost) > 0 {
		t.Errorf("lost acknowledged writes: got items %v, want none", lost)
	}
	checkFencingTokens(t, c.provider.Orders())
}

// checkFencingTokens checks that the fencing token of the orders never falls and rises when the holder changes.
func checkFencingTokens(t *testing.T, orders []lines.PromotionOrder) {
	t.Helper()
	for i := 1; i < len(orders); i++ {
		before, now := orders[i-1], orders[i]
		if now.Token < before.Token || now.Holder != before.Holder && now.Token == before.Token {
			t.Errorf("promotion order: got %+v after %+v, want a token that doesn't fall and is higher for a new holder", now, before)
		}
	}
}

// hasOtherPrimary returns a condition that holds when there is a primary other than the given target.
func (c *cluster) hasOtherPrimary(not string) func() bool {
	return func() bool { p := c.group.Primary(); return p != "" && p != not }
}

func TestCrashedPrimaryIsReplaced(t *testing.T) {
	c := newCluster(t, 3)
	runFaultUnderWrites(t, c, c.group.Target("a").Crash, c.hasOtherPrimary("a"))
}

func TestUnresponsivePrimaryIsReplaced(t *testing.T) {
	c := newCluster(t, 3)
	runFaultUnderWrites(t, c, func() { c.group.Target("a").SetUnresponsive(true) }, c.hasOtherPrimary("a"))
}

// TestPromotionChoosesReplicaThatReceivedCommits guards against the promotion of a replica that lacks acknowledged
// commits: one of the two replicas receives nothing for some time before the primary crashes.
func TestPromotionChoosesReplicaThatReceivedCommits(t *testing.T) {
	c := newCluster(t, 2)
	runFaultUnderWrites(t, c, func() {
		c.group.Target("b").SetReceiveBlocked(true)
		for range 5 {
			c.try(c.daemons[0], strictDatabase, "WRITE missed 1")
		}
		c.group.Target("a").Crash()
	}, c.hasOtherPrimaryThenUnblocks("a", "b"))
	if p := c.group.Primary(); p != "c" {
		t.Errorf("primary after the promotion: got %s, which lacks commits, want c", p)
	}
}

// hasOtherPrimaryThenUnblocks returns a condition as hasOtherPrimary does. When the condition holds, it also lets a
// replica receive again.
func (c *cluster) hasOtherPrimaryThenUnblocks(not, blocked string) func() bool {
	return func() bool {
		if !c.hasOtherPrimary(not)() {
			return false
		}
		c.group.Target(blocked).SetReceiveBlocked(false)
		return true
	}
}

func TestLeavingPrimaryIsReplaced(t *testing.T) {
	c := newCluster(t, 2)
	runFaultUnderWrites(t, c, c.group.Target("a").Leave, c.hasOtherPrimary("a"))
}

// TestLeavingReplicaIsPaused guards against commits that only a leaving replica has acknowledged, which are lost
// when it stops: the replica has to be paused, while writes go on with the other one.
func TestLeavingReplicaIsPaused(t *testing.T) {
	c := newCluster(t, 1)
	c.group.Target("b").Leave()
	c.await("writes go on", func() bool { return c.try(c.daemons[0], strictDatabase, "WRITE x 1").Code == "" })
	c.await("the leaving replica is paused", func() bool {
		c.try(c.daemons[0], strictDatabase, "READ x")
		return c.group.Target("b").IsPaused()
	})
}

// TestPromotionConsidersReplicaWithLapsedEntry guards against a promotion that ignores a replica because its entry is
// missing. The entry of the only replica that has the latest commits is deleted, as entries lapse while the store is
// down, and then the primary crashes.
func TestPromotionConsidersReplicaWithLapsedEntry(t *testing.T) {
	c := newCluster(t, 2)
	// For this time after its start a daemon considers the entries incomplete, because a target that it has not
	// seen yet may be missing.
	time.Sleep(settleTime)
	runFaultUnderWrites(t, c, func() {
		c.group.Target("b").SetReceiveBlocked(true)
		for range 5 {
			c.try(c.daemons[0], strictDatabase, "WRITE missed 1")
		}
		must(t, c.store.Delete("servers", "c"))
		c.group.Target("a").Crash()
	}, c.hasOtherPrimaryThenUnblocks("a", "b"))
	if p := c.group.Primary(); p != "c" {
		t.Errorf("primary after the promotion: got %s, which lacks commits, want c", p)
	}
}

// TestReadsAndWritesContinueDuringStoreOutage guards against reads and writes that depend on calls to the store.
func TestReadsAndWritesContinueDuringStoreOutage(t *testing.T) {
	c := newCluster(t, 1)
	c.store.Down.Store(true)
	caller := c.dial(c.daemons[0], sessionDatabase)
	for i := range 10 {
		c.run(caller, fmt.Sprintf("WRITE x %d", i))
		c.run(caller, "READ x")
		time.Sleep(100 * time.Millisecond)
	}
}

// TestPromotionWithLostStoreResponses guards against a promotion that fails, or happens twice, when changes of the
// store take effect without a response: the responses to all changes are lost for 2 s after the primary has
// crashed.
func TestPromotionWithLostStoreResponses(t *testing.T) {
	c := newCluster(t, 2)
	runFaultUnderWrites(t, c, func() {
		c.store.LoseResponses.Store(true)
		c.group.Target("a").Crash()
		time.Sleep(2 * time.Second)
		c.store.LoseResponses.Store(false)
	}, c.hasOtherPrimary("a"))
}

// TestNothingRunsTwiceAndRefusedWritesHaveNoEffect crashes the primary under writes with known ids. No write may be
// executed twice, an acknowledged one must be executed, and one refused with a code that guarantees no effect must
// not.
func TestNothingRunsTwiceAndRefusedWritesHaveNoEffect(t *testing.T) {
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
				caller, err := lines.Dial(d.callerAddress, strictDatabase)
				if err != nil {
					continue
				}
				r, err := caller.RunAs(id, "WRITE "+id+" x")
				if err != nil {
					r.Code = "DISCONNECTED"
				}
				caller.Close()
				tries <- try{id, r.Code}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	c.group.Target("a").Crash()
	c.await("another primary", c.hasOtherPrimary("a"))
	c.await("a write after the promotion", func() bool { return c.try(c.daemons[1], strictDatabase, "WRITE after 1").Code == "" })
	close(stop)
	writers.Wait()
	close(tries)
	for w := range tries {
		ran := c.group.ExecutionCount(w.id)
		if ran > 1 || w.code == "" && ran != 1 || lines.GuaranteesNoEffect(w.code) && ran > 0 {
			t.Errorf("write %s: got code %q and %d executions, want at most 1, 1 on success, 0 if refused", w.id, w.code, ran)
		}
	}
	if lost := c.group.LostWrites(); len(lost) > 0 {
		t.Errorf("lost acknowledged writes: got items %v, want none", lost)
	}
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	c := newCluster(t, 1)
	d := c.daemons[0]
	if r := c.try(d, "added", "READ x"); !strings.Contains(r.Text, "NODB") {
		t.Errorf("read of a database without a route: got %+v, want NODB", r)
	}
	caller := c.dial(d, boundedStalenessDatabase)
	c.configure(5, strictDatabase, "added")
	c.await("the added route", func() bool { return c.try(d, "added", "READ x").Code == "" })
	if r, err := caller.Run("READ x"); err != nil || r.Code != "NODB" {
		t.Errorf("read over a removed route: got %+v, error %v, want code NODB", r, err)
	}
	c.configure(4, boundedStalenessDatabase)
	c.store.Compact()
	c.configure(6, strictDatabase, "added", "newest")
	c.await("the newest route", func() bool { return c.try(d, "newest", "READ x").Code == "" })
	if r := c.try(d, boundedStalenessDatabase, "READ x"); !strings.Contains(r.Text, "NODB") {
		t.Errorf("read over a route of an older version: got %+v, want NODB", r)
	}
}

func TestInvalidEntriesAreIgnored(t *testing.T) {
	c := newCluster(t, 1)
	for name, content := range map[string]string{
		"no-fields": `{}`, "wrong-types": `{"Backend":7,"Address":[],"Zone":"z","PoolSize":"5","State":"ready","DbRole":"replica"}`,
		"unknown-state": `{"Backend":"group","Address":"127.0.0.1:1","Zone":"z","PoolSize":5,"State":"sleepy","DbRole":"replica"}`,
		"text":          `"not a document"`, "null": `null`, "list": `[1,2]`,
	} {
		c.store.PutRaw("servers", name, []byte(content))
	}
	c.configure(2, strictDatabase, "later")
	c.await("a read over a route of a later version", func() bool { return c.try(c.daemons[0], "later", "READ x").Code == "" })
}

func TestMalformedLinesAreRefused(t *testing.T) {
	c := newCluster(t, 1)
	for name, line := range map[string]string{
		"no CR": "QUERY 1 READ x\nQUERY 2 READ x\r\n", "control character": "QUERY 1 READ \x00\r\n",
		"lone CR": "QUERY 1 READ x\rQUERY 2 WRITE x 1\r\n", "too long": "QUERY 1 WRITE x " + strings.Repeat("y", 2<<20) + "\r\n",
		"own id": "QUERY - READ x\r\n", "position of its own": "QUERY 1 WAITLSN 1.1 READ x\r\n", "status": "QUERY 1 STATUS\r\n",
	} {
		conn, err := net.Dial("tcp", c.daemons[0].callerAddress)
		must(t, err)
		_ = conn.SetDeadline(time.Now().Add(waitTimeout))
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
			t.Errorf("%s: got %q, want ERROR MALFORMED or TOOBIG, or no response to the line", name, answer)
		}
		_ = conn.Close()
	}
}

// TestDrainingDaemonServesOpenAndNewSessions guards against a planned stop that fails callers: a draining daemon
// answers every statement that it has read, and serves callers that connect before the load balancer has noticed
// the stop.
func TestDrainingDaemonServesOpenAndNewSessions(t *testing.T) {
	c := newCluster(t, 2)
	d := c.daemons[0]
	idle := c.dial(d, sessionDatabase)
	busy := c.dial(d, sessionDatabase)
	c.run(busy, "BEGIN")
	c.run(busy, "WRITE x 1")
	d.stop()
	c.await("the daemon is not ready", func() bool { return !d.isReady() })
	if r := c.try(d, sessionDatabase, "READ x"); r.Code != "" {
		t.Errorf("read of a new caller: got %+v, want success", r)
	}
	c.run(idle, "READ x")
	c.run(busy, "COMMIT")
	<-d.ended
	if _, err := idle.Run("READ x"); err == nil {
		t.Error("statement in an idle session after the stop of the daemon: got success, want an error")
	}
	if r := c.try(c.daemons[1], strictDatabase, "READ x"); r.Code != "" || r.Rows[0] != "1" {
		t.Errorf("read of the last commit: got %+v, want row 1", r)
	}
}

// TestDaemonWithoutTargetsIsNotReady guards against a daemon that keeps its callers although all targets are
// unresponsive. It must be ready again when the targets respond.
func TestDaemonWithoutTargetsIsNotReady(t *testing.T) {
	c := newCluster(t, 1)
	d := c.daemons[0]
	setUnresponsive := func(unresponsive bool) {
		for _, name := range []string{"a", "b", "c"} {
			c.group.Target(name).SetUnresponsive(unresponsive)
		}
	}
	setUnresponsive(true)
	c.await("the daemon is not ready", func() bool { c.try(d, strictDatabase, "READ x"); return !d.isReady() })
	setUnresponsive(false)
	c.await("the daemon is ready again", d.isReady)
	c.await("a strict read", func() bool { return c.try(d, strictDatabase, "READ x").Code == "" })
}

// TestDaemonThatReachesOneReplicaIsNotReady guards against a daemon that stays ready while it reaches a single
// replica, as in a partitioned zone. The replica proves that nothing was promoted, but the daemon can't serve
// statements that need the primary.
func TestDaemonThatReachesOneReplicaIsNotReady(t *testing.T) {
	c := newCluster(t, 1)
	d := c.daemons[0]
	c.group.Target("a").SetUnresponsive(true)
	c.group.Target("c").SetUnresponsive(true)
	c.await("the daemon is not ready", func() bool { c.try(d, strictDatabase, "READ x"); return !d.isReady() })
	c.group.Target("a").SetUnresponsive(false)
	c.group.Target("c").SetUnresponsive(false)
	c.await("the daemon is ready again", d.isReady)
}

// TestReadsWithoutThePrimary guards against reads that are answered without a proof or a position of the primary, or
// kept until their time limit, while the primary is unresponsive. Promotion orders are refused for a while.
func TestReadsWithoutThePrimary(t *testing.T) {
	c := newCluster(t, 2)
	time.Sleep(settleTime)
	writer := c.dial(c.daemons[0], sessionDatabase)
	c.run(writer, "WRITE x last")
	c.provider.Refuse.Store(true)
	c.group.Target("a").SetUnresponsive(true)
	c.await("writes fail", func() bool { return c.try(c.daemons[0], strictDatabase, "WRITE y 1").Code != "" })
	for _, database := range []string{strictDatabase, sessionDatabase, boundedStalenessDatabase} {
		for _, d := range c.daemons {
			c.await("a refusal at once on "+database, func() bool {
				r := c.try(d, database, "READ x")
				if r.Code == "" && database == strictDatabase {
					t.Errorf("read on %s: got %+v without the primary, want a refusal", database, r)
				}
				return lines.GuaranteesNoEffect(r.Code) && strings.Contains(r.Text, "the primary does not answer; retry_after_ms=")
			})
		}
	}
	c.provider.Refuse.Store(false)
	for _, database := range []string{strictDatabase, sessionDatabase, boundedStalenessDatabase} {
		for _, d := range c.daemons {
			c.await("a read on "+database+" after the promotion", func() bool {
				r := c.try(d, database, "READ x")
				if r.Code == "" && r.Rows[0] != "last" {
					t.Errorf("read on %s: got %q, want the last value written", database, r.Rows[0])
				}
				return r.Code == ""
			})
		}
	}
	if r, err := writer.Run("READ x"); err != nil || r.Code != "" || r.Rows[0] != "last" {
		t.Errorf("read in the session of the writer: got %+v, error %v, want row last", r, err)
	}
}

// TestReturningOldPrimaryDoesNotStopPromotion guards against a group that stays without a primary: a primary of an
// old term returns while the newest primary is down. Soak seed 118 ended in this state.
func TestReturningOldPrimaryDoesNotStopPromotion(t *testing.T) {
	c := newCluster(t, 2)
	time.Sleep(settleTime)
	runFaultUnderWrites(t, c, func() {
		a := c.group.Target("a")
		a.SetUnresponsive(true)
		c.await("another primary", c.hasOtherPrimary("a"))
		newest := c.group.Primary()
		c.await("a write", func() bool { return c.try(c.daemons[0], strictDatabase, "WRITE x 1").Code == "" })
		c.group.Target(newest).Crash()
		a.SetUnresponsive(false)
		a.ActAsPrimary(1)
	}, func() bool { return c.try(c.daemons[0], strictDatabase, "WRITE y 1").Code == "" })
}

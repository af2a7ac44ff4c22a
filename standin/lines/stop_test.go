package lines_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/papayacove/papayacove/standin/lines"
)

// writeInTransactions opens transactions at a daemon and writes in them without an end, until its connection is closed.
// It returns the statements that it sent, the last one without an answer.
func writeInTransactions(d *lines.Daemon, key, prefix string) []attempt {
	caller, err := lines.DialWithKey(d.CallerAddress, lines.SessionDatabase, key, nil)
	if err != nil {
		return nil
	}
	defer caller.Close()
	var attempts []attempt
	run := func(text string) (lines.Result, error) {
		id := fmt.Sprintf("%s-%d", prefix, len(attempts))
		r, err := caller.RunAs(id, text)
		if err != nil {
			r.Code = "DISCONNECTED"
		}
		attempts = append(attempts, attempt{id: id, code: r.Code})
		return r, err
	}
	for {
		text := "BEGIN"
		for {
			r, err := run(text)
			if err != nil {
				return attempts
			}
			if r.Code != "" && r.State == "I" {
				break
			}
			if text = "WRITE " + prefix + " x"; r.Code != "" {
				text = "ROLLBACK"
			}
		}
	}
}

// TestPlannedStopAnswersWritesOfLongTransactions guards against a stop that closes the connection of a transaction
// while a statement is at its target.
func TestPlannedStopAnswersWritesOfLongTransactions(t *testing.T) {
	t.Parallel()
	p := startProcesses(t)
	for number, d := range p.Daemons {
		var mu sync.Mutex
		var attempts []attempt
		var writers sync.WaitGroup
		for session := range writersPerDaemon {
			writers.Go(func() {
				made := writeInTransactions(d, p.key(), fmt.Sprintf("t%d-%d", number, session))
				mu.Lock()
				defer mu.Unlock()
				attempts = append(attempts, made...)
			})
		}
		time.Sleep(300 * time.Millisecond)
		if !d.Stop() {
			t.Errorf("%s did not end by itself", d.Name)
		}
		writers.Wait()
		succeeded := 0
		for _, a := range attempts {
			ran := p.Group.ExecutionCount(a.id)
			if a.code == "DISCONNECTED" && ran > 0 {
				t.Errorf("statement %s at %s ran and got no answer", a.id, d.Name)
			}
			if a.code == "" {
				succeeded++
			}
		}
		if succeeded == 0 {
			t.Errorf("no statement at %s succeeded", d.Name)
		}
		must(t, d.Start())
		p.awaitServing(d)
	}
}

// mixedCaller runs operations at one daemon until it accepts no more connections.
type mixedCaller struct {
	p      *processes
	d      *lines.Daemon
	name   string
	caller *lines.Caller
	// attempts are the statements that were sent, and kept the items of writes that were acknowledged (true) or said to be
	// kept by nobody (false).
	attempts []attempt
	kept     map[string]bool
}

// run sends a statement, and returns the code of its answer and whether the session is in a transaction.
func (c *mixedCaller) run(text string) (code string, inTransaction bool) {
	if c.caller == nil {
		return "DISCONNECTED", false
	}
	id := fmt.Sprintf("%s-%d", c.name, len(c.attempts))
	r, err := c.caller.RunAs(id, text)
	if err != nil {
		c.caller.Close()
		c.caller, r.Code = nil, "DISCONNECTED"
	}
	c.attempts = append(c.attempts, attempt{id: id, code: r.Code})
	return r.Code, r.State == "T"
}

// record records what the answer says of the items that an operation wrote.
func (c *mixedCaller) record(code string, items []string) {
	for _, item := range items {
		if code == "" || lines.GuaranteesNoEffect(code) {
			c.kept[item] = code == ""
		}
	}
}

// transaction writes some items with pauses, and commits.
func (c *mixedCaller) transaction(number int, pause time.Duration) {
	var items []string
	code, open := c.run("BEGIN")
	for i := 0; i < 3 && open; i++ {
		time.Sleep(pause)
		item := fmt.Sprintf("%s.%d.%d", c.name, number, i)
		items = append(items, item)
		code, open = c.run("WRITE " + item + " x")
	}
	if open {
		time.Sleep(pause)
		code, _ = c.run("COMMIT")
	}
	if c.caller != nil && code != "" {
		c.caller.Close()
		c.caller = nil
	}
	c.record(code, items)
}

// runUntilStopped runs single statements and transactions until the daemon has ended.
func (c *mixedCaller) runUntilStopped() {
	for number := 0; c.d.IsAlive(); number++ {
		if c.caller == nil {
			var err error
			if c.caller, err = lines.DialWithKey(c.d.CallerAddress, lines.SessionDatabase, c.p.key(), nil); err != nil {
				c.caller = nil
				time.Sleep(10 * time.Millisecond)
				continue
			}
		}
		switch number % 4 {
		case 0:
			c.transaction(number, 0)
		case 1:
			c.transaction(number, 150*time.Millisecond)
		case 2:
			item := fmt.Sprintf("%s.%d", c.name, number)
			code, _ := c.run("WRITE " + item + " x")
			c.record(code, []string{item})
		case 3:
			c.run("READ " + c.name)
		}
	}
}

// check checks that whatever ran was answered, and that the answers were true.
func (c *mixedCaller) check() {
	c.p.t.Helper()
	for _, a := range c.attempts {
		if ran := c.p.Group.ExecutionCount(a.id); a.code == "DISCONNECTED" && ran > 0 {
			c.p.t.Errorf("statement %s at %s ran and got no answer", a.id, c.d.Name)
		}
	}
	for item, kept := range c.kept {
		want := 0
		if kept {
			want = 1
		}
		if got := c.p.Group.CommitCount(item, "x"); got != want {
			c.p.t.Errorf("item %s at %s: got %d commits, want %d", item, c.d.Name, got, want)
		}
	}
}

// TestOverlappingStopsAnswerTruly guards against statements without an answer, and answers that are not true, when two
// of three daemons stop while a target is silent for a part of the time.
func TestOverlappingStopsAnswerTruly(t *testing.T) {
	t.Parallel()
	p := startProcesses(t)
	var callers []*mixedCaller
	var running sync.WaitGroup
	stopped := p.Daemons[:2]
	for number, d := range stopped {
		for session := range 2 * writersPerDaemon {
			c := &mixedCaller{p: p, d: d, name: fmt.Sprintf("m%d-%d", number, session), kept: map[string]bool{}}
			callers = append(callers, c)
			running.Go(c.runUntilStopped)
		}
	}
	time.Sleep(300 * time.Millisecond)
	for number, d := range stopped {
		running.Go(func() {
			time.Sleep(time.Duration(number) * 1200 * time.Millisecond)
			if !d.Stop() {
				t.Errorf("%s did not end by itself", d.Name)
			}
		})
	}
	// Around the end of transactions at the first daemon, and from its last statements to its end.
	for _, silence := range [][2]time.Duration{{1800 * time.Millisecond, 250 * time.Millisecond}, {450 * time.Millisecond, 1300 * time.Millisecond}} {
		time.Sleep(silence[0])
		primary := p.Group.Target(p.Group.Primary())
		primary.SetUnresponsive(true)
		time.Sleep(silence[1])
		primary.SetUnresponsive(false)
	}
	running.Wait()
	for _, c := range callers {
		c.check()
	}
}

package main

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// pinnedClients is the number of clients in each of the two waves of transactions.
	pinnedClients = 4
	// freezeAfter is the time from the start of the first wave to the freeze, freezeTime the length of the freeze.
	freezeAfter = 300 * time.Millisecond
	freezeTime  = time.Second
	// secondWaveAfter is the time from the start of the first wave to that of the second.
	secondWaveAfter = 2 * time.Second
	// firstPause and secondPause are the pauses of the two waves inside their transactions. IdleTxMs is 3,000.
	firstPause  = 2600 * time.Millisecond
	secondPause = 1500 * time.Millisecond
)

// playPinned runs two waves of transactions at the daemon in colombo, all of different clients. During the first pause of
// the first wave, the machine in gampaha, the zone of the primary, is frozen for a second.
func playPinned(w *world, trouble bool) ([]string, error) {
	if err := w.awaitReady(4 * time.Second); err != nil {
		return nil, err
	}
	entry, frozen := w.daemons[0], w.daemons[1]
	stop := make(chan struct{})
	owners := &owners{byID: map[string]string{}}
	var readers, waves sync.WaitGroup
	readers.Go(func() { runReads(w, entry, stop) })
	time.Sleep(time.Second)
	start := func(wave string, pause time.Duration) {
		for i := range pinnedClients {
			waves.Go(func() { runTransaction(w, entry, fmt.Sprintf("%s-%d", wave, i+1), pause, owners) })
		}
	}
	began := time.Now()
	start("first", firstPause)
	time.Sleep(time.Until(began.Add(freezeAfter)))
	if trouble {
		w.record.printf("fault   %s is frozen", frozen.name)
		frozen.signal(syscall.SIGSTOP)
	}
	time.Sleep(freezeTime)
	if trouble {
		frozen.signal(syscall.SIGCONT)
		w.record.printf("fault   %s wakes", frozen.name)
	}
	time.Sleep(time.Until(began.Add(secondWaveAfter)))
	start("second", secondPause)
	waves.Wait()
	close(stop)
	readers.Wait()
	return mixedTransactions(w.group, owners.byID), nil
}

// owners are the clients of the statements, by the id of the statement.
type owners struct {
	mu   sync.Mutex
	byID map[string]string
}

func (o *owners) add(c *client) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id := range c.ids {
		o.byID[id] = c.name
	}
}

// runTransaction writes two items in one transaction, with a pause between them.
func runTransaction(w *world, d *daemon, name string, pause time.Duration, o *owners) {
	c, err := dial(w.record, name, d.ip, strictDatabase)
	if err != nil {
		w.record.printf("no session for %s: %s", name, err)
		return
	}
	defer c.close()
	defer o.add(c)
	for i, text := range []string{"BEGIN", "WRITE " + name + ".1 v", "WRITE " + name + ".2 v", "COMMIT"} {
		if i == 2 {
			time.Sleep(pause)
		}
		if r, err := c.run(text); err != nil || !r.ok() {
			return
		}
	}
}

// runReads reads outside transactions, so that statements are under way at all times.
func runReads(w *world, d *daemon, stop <-chan struct{}) {
	for {
		c, err := dial(w.record, "reader", d.ip, strictDatabase)
		for err == nil {
			select {
			case <-stop:
				c.close()
				return
			case <-time.After(20 * time.Millisecond):
			}
			_, err = c.run("READ item")
		}
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// mixedTransactions returns the transactions at databases in which statements of several clients ran.
func mixedTransactions(g *group, owners map[string]string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	byTransaction := map[int]map[string][]string{}
	for _, r := range g.runs {
		if r.transaction == 0 {
			continue
		}
		if byTransaction[r.transaction] == nil {
			byTransaction[r.transaction] = map[string][]string{}
		}
		owner := owners[r.id]
		byTransaction[r.transaction][owner] = append(byTransaction[r.transaction][owner], r.text)
	}
	var breaches []string
	for number, ran := range byTransaction {
		if len(ran) < 2 {
			continue
		}
		var parts []string
		for owner, texts := range ran {
			parts = append(parts, fmt.Sprintf("%s ran %s", owner, strings.Join(texts, ", ")))
		}
		sort.Strings(parts)
		breaches = append(breaches, fmt.Sprintf("PINNED: in transaction %d of a database connection %s", number, strings.Join(parts, "; ")))
	}
	sort.Strings(breaches)
	return breaches
}

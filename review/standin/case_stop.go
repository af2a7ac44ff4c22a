package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// stopClients is the number of clients that begin a transaction at the machine that stops.
	stopClients = 8
	// stopWork is the time that a statement occupies a slot.
	stopWork = 150 * time.Millisecond
	// beginAfter is the time from the SIGTERM to the begin of the first transaction, and beginStep the time between two of
	// them. readAfter is the time from the SIGTERM to the first statement in each of them.
	beginAfter = 3600 * time.Millisecond
	beginStep  = 40 * time.Millisecond
	readAfter  = 5400 * time.Millisecond
)

// playStop stops the only machine of a zone as planned. Clients of the zone are still sent to it, because it is the only one
// there, and begin transactions.
func playStop(w *world, trouble bool) ([]string, error) {
	if err := w.awaitReady(4 * time.Second); err != nil {
		return nil, err
	}
	w.group.work = stopWork
	d := w.daemons[2]
	stopped := time.Now()
	if trouble {
		w.record.printf("planned %s gets SIGTERM", d.name)
		d.signal(syscall.SIGTERM)
	}
	stop := make(chan struct{})
	var traffic, done sync.WaitGroup
	for i := range stopClients {
		traffic.Go(func() { readNow(w, d, fmt.Sprintf("visitor-%d", i+1), stop) })
	}
	var mu sync.Mutex
	var breaches []string
	for i := range stopClients {
		done.Go(func() {
			time.Sleep(time.Until(stopped.Add(beginAfter + time.Duration(i)*beginStep)))
			if breach := readOnce(w, d, fmt.Sprintf("client-%d", i+1), stopped); breach != "" {
				mu.Lock()
				defer mu.Unlock()
				breaches = append(breaches, breach)
			}
		})
	}
	done.Wait()
	close(stop)
	traffic.Wait()
	return breaches, nil
}

// readNow opens a session, reads once and closes it, again and again.
func readNow(w *world, d *daemon, name string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(30 * time.Millisecond):
		}
		if c, err := dial(w.record, name, d.ip, agedDatabase); err == nil {
			_, _ = c.run("READ item")
			c.close()
		}
	}
}

// readOnce reads in a transaction, and returns a text if the read ran at a database and its connection ended without an
// answer.
func readOnce(w *world, d *daemon, name string, stopped time.Time) string {
	c, err := dial(w.record, name, d.ip, agedDatabase)
	if err != nil {
		w.record.printf("no session for %s: %s", name, err)
		return ""
	}
	defer c.close()
	if r, err := c.run("BEGIN READ"); err != nil || !r.ok() {
		return ""
	}
	time.Sleep(time.Until(stopped.Add(readAfter)))
	sent := time.Now()
	if _, err = c.run("READ " + name); err == nil {
		return ""
	}
	ended := time.Now()
	time.Sleep(2 * stopWork)
	if !w.group.hasRun("READ " + name) {
		return ""
	}
	return fmt.Sprintf("LOST: the read of %s, sent %.2f s after the SIGTERM, was passed on to a database, and its connection ended after %.2f s without an answer",
		name, sent.Sub(stopped).Seconds(), ended.Sub(sent).Seconds())
}

// hasRun reports whether a database has run a statement.
func (g *group) hasRun(text string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.runs {
		if r.text == text {
			return true
		}
	}
	return false
}

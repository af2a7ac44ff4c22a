package main

import (
	"fmt"
	"sync"
	"time"
)

// writers are clients that write one item after the other, each of them once, at all daemons.
type writers struct {
	stop chan struct{}
	done sync.WaitGroup
}

// startWriters starts a number of writers at each daemon, which write every interval.
func (w *world) startWriters(perDaemon int, interval time.Duration) *writers {
	all := &writers{stop: make(chan struct{})}
	for _, d := range w.daemons {
		for i := range perDaemon {
			name := fmt.Sprintf("writer-%s-%d", d.name, i+1)
			all.done.Go(func() { all.write(w, d, name, interval) })
		}
	}
	return all
}

func (a *writers) write(w *world, d *daemon, name string, interval time.Duration) {
	var c *client
	for n := 1; ; n++ {
		select {
		case <-a.stop:
			if c != nil {
				c.close()
			}
			return
		case <-time.After(interval):
		}
		if c == nil {
			var err error
			if c, err = dial(w.record, name, d.ip, strictDatabase); err != nil {
				continue
			}
		}
		if _, err := c.run(fmt.Sprintf("WRITE %s.%d v", name, n)); err != nil {
			c.close()
			c = nil
		}
	}
}

func (a *writers) end() {
	close(a.stop)
	a.done.Wait()
}

// replacePrimary replaces the primary as planned: a new database starts first, then the primary drains. It returns the
// order by which another database became the primary.
func (w *world) replacePrimary(newID, zone, address string) (order, error) {
	if err := w.replace(w.leaderID(), newID, zone, address); err != nil {
		return order{}, err
	}
	return w.awaitPromotion(len(w.provider.received()))
}

// replace replaces a database as planned. The old one ends three seconds after DrainTimeoutMs.
func (w *world) replace(oldID, newID, zone, address string) error {
	if _, err := w.group.add(newID, zone, address, false); err != nil {
		return err
	}
	w.record.printf("planned %s starts", newID)
	time.Sleep(time.Second)
	w.record.printf("planned %s drains", oldID)
	w.database(oldID).leave(10 * time.Second)
	return nil
}

// awaitPromotion waits until there is an order after the given number of them, and its database leads.
func (w *world) awaitPromotion(before int) (order, error) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		orders := w.provider.received()
		if len(orders) > before && w.leaderID() == orders[len(orders)-1].database {
			return orders[len(orders)-1], nil
		}
	}
	return order{}, fmt.Errorf("no promotion")
}

func (w *world) leaderID() string {
	w.group.mu.Lock()
	defer w.group.mu.Unlock()
	if leader := w.group.leader(); leader != nil {
		return leader.id
	}
	return ""
}

func (w *world) database(id string) *database {
	w.group.mu.Lock()
	defer w.group.mu.Unlock()
	return w.group.databases[id]
}

func (w *world) losses() []string {
	w.group.mu.Lock()
	defer w.group.mu.Unlock()
	return append([]string(nil), w.group.losses...)
}

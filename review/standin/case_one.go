package main

import (
	"fmt"
	"sync"
	"time"
)

// platformCut is the time for which the machine that acts is cut off from the platform.
const platformCut = 11 * time.Second

// playOne replaces the primary three times as planned. The machine that orders the second promotion is cut off from the
// platform, after it has taken the promotion lock and before it sends its order.
func playOne(w *world, trouble bool) ([]string, error) {
	if err := w.awaitReady(4 * time.Second); err != nil {
		return nil, err
	}
	writers := w.startWriters(1, 20*time.Millisecond)
	defer writers.end()
	first, err := w.replacePrimary("db-d", "colombo", w.network+".110:8080")
	if err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second)
	healed := make(chan struct{})
	if trouble {
		w.cutHolder(first.holder, healed)
	} else {
		close(healed)
	}
	if _, err := w.replacePrimary("db-e", "gampaha", w.network+".111:8080"); err != nil {
		return nil, err
	}
	time.Sleep(500 * time.Millisecond)
	if _, err := w.replacePrimary("db-f", "kalutara", w.network+".112:8080"); err != nil {
		return nil, err
	}
	<-healed
	time.Sleep(3 * time.Second)
	return append(lowerTokens(w.provider.received()), summarize(w.losses())...), nil
}

// cutHolder cuts a daemon off from the platform 100 ms after it has taken the promotion lock, and closes healed at the end.
func (w *world) cutHolder(name string, healed chan<- struct{}) {
	var once sync.Once
	d := w.daemonNamed(name)
	w.store.hook(func(kind string, o object) {
		if dutyHolder(o) != name {
			return
		}
		once.Do(func() {
			w.record.printf("store   %s has taken the lock, token %d", name, o.Meta.Revision)
			time.AfterFunc(100*time.Millisecond, func() {
				w.record.printf("fault   %s is cut off from the platform", name)
				d.storePath.setCut(true)
				d.providerPath.setCut(true)
			})
			time.AfterFunc(100*time.Millisecond+platformCut, func() {
				w.record.printf("fault   the cut of %s heals", name)
				d.storePath.setCut(false)
				d.providerPath.setCut(false)
				close(healed)
			})
		})
	}, nil)
}

// lowerTokens returns the orders whose token is lower than one that the provider has seen.
func lowerTokens(orders []order) []string {
	var breaches []string
	highest := order{}
	for _, o := range orders {
		if o.token < highest.token {
			breaches = append(breaches, fmt.Sprintf("ONE: %s ordered the promotion of %s with token %d, after token %d of %s for %s",
				o.holder, o.database, o.token, highest.token, highest.holder, highest.database))
		}
		if o.token > highest.token {
			highest = o
		}
	}
	return breaches
}

// summarize returns one text for all acknowledged writes that a promoted database lacked.
func summarize(losses []string) []string {
	if len(losses) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("LOST: %d acknowledged writes, such as %s", len(losses), losses[0])}
}

package main

import (
	"strings"
	"time"
)

const (
	// deafTime is the time for which a replica receives nothing.
	deafTime = 6500 * time.Millisecond
	// crashAfter is the time from the silence to the crash of the primary, without the second in which a database starts.
	crashAfter = 700 * time.Millisecond
)

// playLost replaces a replica as planned. The connection on which one machine watches the databases in the store goes silent
// before the new one starts. Another replica receives nothing, and the primary crashes.
func playLost(w *world, trouble bool) ([]string, error) {
	if err := w.awaitReady(4 * time.Second); err != nil {
		return nil, err
	}
	writers := w.startWriters(1, 20*time.Millisecond)
	defer writers.end()
	first, err := w.replacePrimary("db-d", "colombo", w.network+".110:8080")
	if err != nil {
		return nil, err
	}
	time.Sleep(12 * time.Second)
	replicas := w.replicaIDs()
	leaving, deaf, primary := replicas[0], w.database(replicas[1]), w.database(w.leaderID())
	if trouble {
		w.awaitWatch(first.holder)
		w.record.printf("fault   the connection on which %s watches the databases is silent", first.holder)
		w.daemonNamed(first.holder).storePath.makeSilent("/servers?")
	}
	if _, err := w.group.add("db-e", "gampaha", w.network+".111:8080", false); err != nil {
		return nil, err
	}
	w.record.printf("planned db-e starts")
	time.Sleep(100 * time.Millisecond)
	w.record.printf("planned %s drains", leaving)
	w.database(leaving).leave(10 * time.Second)
	if !trouble {
		time.Sleep(8 * time.Second)
		return summarize(w.losses()), nil
	}
	w.record.printf("fault   %s receives nothing", deaf.id)
	w.setDeaf(deaf, true)
	time.AfterFunc(deafTime, func() { w.setDeaf(deaf, false) })
	time.Sleep(crashAfter)
	w.record.printf("fault   the primary %s crashes", primary.id)
	before := len(w.provider.received())
	primary.crash()
	if _, err := w.awaitPromotion(before); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	return summarize(w.losses()), nil
}

func (w *world) setDeaf(d *database, deaf bool) {
	w.group.mu.Lock()
	defer w.group.mu.Unlock()
	d.deaf = deaf
}

// replicaIDs returns the ids of the replicas, the last one first.
func (w *world) replicaIDs() []string {
	leader := w.leaderID()
	w.group.mu.Lock()
	defer w.group.mu.Unlock()
	var ids []string
	for id := range w.group.databases {
		if id != leader {
			ids = append(ids, id)
		}
	}
	return ids
}

// awaitWatch waits until a daemon begins a watch of the databases.
func (w *world) awaitWatch(name string) {
	begun := make(chan struct{}, 1)
	from, _, _ := strings.Cut(w.daemonNamed(name).storePath.address(), ":")
	w.store.hook(nil, func(kind, remote string) {
		if kind == "servers" && strings.HasPrefix(remote, from+":") {
			select {
			case begun <- struct{}{}:
			default:
			}
		}
	})
	<-begun
	w.store.hook(nil, nil)
	time.Sleep(20 * time.Millisecond)
}

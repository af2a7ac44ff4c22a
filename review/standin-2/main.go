// Command standin-2 plays the scripts of this review: a small deployment in which everything but the daemons is a stand-in.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const (
	daemonCount = 3
	writerCount = 24
	// settleTime is the time after which the daemons know all databases and each other.
	settleTime = 5 * time.Second
	// steadyTime is the time of traffic before the planned work.
	steadyTime = 3 * time.Second
	// startGap is the time from the start of a new database to the announcement of the old one.
	startGap = time.Second
	// lateTime is the time after which the store carries out the write without an answer: 1 to 6 s. repeatTime is the time
	// after which the database repeats it.
	lateTime   = 4 * time.Second
	repeatTime = 2 * time.Second
	// watchTime is the time after the announcement in which the promotion is awaited.
	watchTime = 10 * time.Second
)

func main() {
	binary := flag.String("daemon", "target/papayacove", "the daemon's program")
	recordPath := flag.String("record", "record.txt", "the record to write")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	w := newWorld(*binary, *recordPath)
	code := w.replacePrimary(trouble)
	w.stop()
	os.Exit(code)
}

// replacePrimary replaces the primary as planned. With trouble, the store carries out the first write of the new database's
// entry late and does not answer it.
func (w *world) replacePrimary(trouble bool) int {
	zones := []string{"colombo", "gampaha", "kalutara"}
	w.configure()
	old := w.group.start("i-1", zones[0], true)
	go old.keepBeating()
	for i, zone := range zones[1:] {
		go w.group.start(fmt.Sprintf("i-%d", i+2), zone, false).keepBeating()
	}
	for i := range daemonCount {
		w.startDaemon(fmt.Sprintf("edge-%s-1", zones[i]), zones[i])
	}
	if !w.awaitReady(10 * time.Second) {
		fmt.Println("the daemons do not become ready")
		return exitNotRun
	}
	time.Sleep(settleTime)
	for i := range writerCount {
		w.clients.Add(1)
		go w.runWriter(i)
	}
	time.Sleep(steadyTime)
	fresh := w.group.start("i-4", zones[0], false)
	w.note("i-4 starts; it receives the log")
	go w.register(fresh, trouble)
	time.Sleep(startGap)
	old.drain()
	until := time.Now().Add(watchTime)
	for time.Now().Before(until) && !w.hasPromoted() {
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	return w.judge()
}

func (w *world) hasPromoted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.promotions > 0
}

// register writes the entry of a new database.
func (w *world) register(d *database, trouble bool) {
	if trouble {
		w.note("the store takes the entry of %s and does not answer; it carries the write out %s later", d.id, lateTime)
		time.AfterFunc(lateTime, d.beat)
		time.Sleep(repeatTime)
		w.note("%s repeats the write of its entry, which is answered", d.id)
	}
	d.keepBeating()
}

func (w *world) judge() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked("%d writes, %d acknowledged, other answers %v, %d promotions, %d acknowledged writes lost",
		w.writes, len(w.acknowledged), w.failures, w.promotions, len(w.lost))
	fmt.Printf("%d writes, %d acknowledged, other answers %v, %d promotions, %d acknowledged writes lost\n",
		w.writes, len(w.acknowledged), w.failures, w.promotions, len(w.lost))
	switch {
	case len(w.acknowledged) == 0 || w.promotions == 0:
		return exitNotRun
	case len(w.lost) > 0:
		return exitBroken
	}
	return exitHeld
}

package lines_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/papayacove/papayacove/standin/lines"
)

// writeInTransactions opens transactions at a daemon and writes in them without an end, until its connection is closed. It
// returns the statements that it sent, the last one without an answer.
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

// TestPlannedStopAnswersWritesOfLongTransactions guards against a stop that closes the connection of a transaction while a
// statement is at its target.
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

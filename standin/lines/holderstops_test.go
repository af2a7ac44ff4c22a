package lines_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/papayacove/papayacove/standin/lines"
)

// holderFaults are what meets a daemon that may hold the target while another one stops.
var holderFaults = map[string]func(t *testing.T, holder *lines.Daemon){
	"stops": func(t *testing.T, holder *lines.Daemon) {
		if !holder.Stop() {
			t.Errorf("%s did not end by itself", holder.Name)
		}
		must(t, holder.Start())
	},
	"frozen": func(_ *testing.T, holder *lines.Daemon) {
		holder.Freeze()
		time.Sleep(1500 * time.Millisecond)
		holder.Resume()
	},
	"killed": func(t *testing.T, holder *lines.Daemon) {
		holder.Kill()
		must(t, holder.Start())
	},
}

// TestPlannedStopAnswersWhatAFailingHolderHas guards against statements of a stopping daemon that end without an answer
// because the daemon that they were sent to stops, is frozen or is killed meanwhile.
func TestPlannedStopAnswersWhatAFailingHolderHas(t *testing.T) {
	t.Parallel()
	for name, fault := range holderFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startProcesses(t)
			for number, sender := range p.Daemons {
				holder := p.Daemons[(number+1)%len(p.Daemons)]
				attempts := p.writeDuring(func() { p.stopDuring(sender, func() { fault(t, holder) }) })
				p.checkAttempts(attempts)
				prefix := fmt.Sprintf("w%d-%d-", p.rounds, number)
				for _, a := range attempts {
					if ran := p.Group.ExecutionCount(a.id); strings.HasPrefix(a.id, prefix) && a.code == "DISCONNECTED" && ran > 0 {
						t.Errorf("%s %s, %s stops: write %s got no answer although it ran", holder.Name, name, sender.Name, a.id)
					}
				}
			}
		})
	}
}

// stopDuring stops a daemon and starts it again, while fault runs.
func (p *processes) stopDuring(sender *lines.Daemon, fault func()) {
	p.t.Helper()
	var both sync.WaitGroup
	both.Go(func() {
		if !sender.Stop() {
			p.t.Errorf("%s did not end by itself", sender.Name)
		}
	})
	both.Go(func() {
		time.Sleep(500 * time.Millisecond)
		fault()
	})
	both.Wait()
	must(p.t, sender.Start())
}

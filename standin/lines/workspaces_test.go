package lines_test

import (
	"sync"
	"testing"
	"time"

	"github.com/papayacove/papayacove/standin/lines"
)

// limited is a workspace of 60 operations a second, and wide one whose limit callers do not reach.
func limited() lines.Workspace {
	return lines.Workspace{Name: "limited", Keys: []string{"key-limited"}, RatePerS: 60, Burst: 30}
}

func wide() lines.Workspace {
	return lines.Workspace{Name: "wide", Keys: []string{"key-old", "key-wide"}, RatePerS: 8000, Burst: 8000}
}

// withoutOldKey are the workspaces after the old key of wide has been withdrawn.
func withoutOldKey() []lines.Workspace {
	w := wide()
	w.Keys = w.Keys[1:]
	return []lines.Workspace{w, limited()}
}

// ask reads with a key at daemons until stop is closed, in one session after the other, with a pause after each statement.
// A session lasts until it fails.
func (p *processes) ask(stop <-chan struct{}, key string, pause time.Duration, daemons ...*lines.Daemon) {
	for i := 0; ; i++ {
		caller, err := lines.DialWithKey(daemons[i%len(daemons)].CallerAddress, lines.SessionDatabase, key, p.callers)
		for err == nil {
			select {
			case <-stop:
				caller.Close()
				return
			case <-time.After(pause):
			}
			if _, err = caller.Run("READ serving"); err != nil {
				caller.Close()
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// askDuring asks with a key, through one session at each daemon, while run runs.
func (p *processes) askDuring(key string, pause time.Duration, run func()) {
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, d := range p.Daemons {
		callers.Go(func() { p.ask(stop, key, pause, d) })
	}
	run()
	close(stop)
	callers.Wait()
}

// checkAudit fails the test for each breach of the rules of keys and limits.
func (p *processes) checkAudit() {
	p.t.Helper()
	for _, breach := range lines.NewAudit(lines.FleetBounds, p.callers, &p.Operator, p.Group).Breaches() {
		p.t.Error(breach)
	}
}

// outlastRevocation waits until no statement of a key that is withdrawn now may run, and somewhat longer.
func outlastRevocation() { time.Sleep(lines.FleetBounds.Revoke + 2*time.Second) }

// TestWithdrawnKeysRunNothingBeyondTheirBound withdraws a key while its sessions are open, and while one daemon or the
// store has a fault.
func TestWithdrawnKeysRunNothingBeyondTheirBound(t *testing.T) {
	faults := map[string]func(*processes, *lines.Daemon) (heal func()){
		"none": func(*processes, *lines.Daemon) func() { return func() {} },
		"store down": func(p *processes, _ *lines.Daemon) func() {
			p.Store.Down.Store(true)
			return func() { p.Store.Down.Store(false) }
		},
		"daemon frozen": func(_ *processes, d *lines.Daemon) func() { d.Freeze(); return d.Resume },
		"daemon cut off from the store and the others": func(p *processes, d *lines.Daemon) func() {
			p.CutFromDaemons(d, true)
			p.Store.TurnAway(d.Source, lines.TreatSilent)
			return func() { p.CutFromDaemons(d, false); p.Store.ServeAgain(d.Source) }
		},
		"daemon turned away by the store": func(p *processes, d *lines.Daemon) func() {
			p.Store.TurnAway(d.Source, lines.TreatTooMany)
			return func() { p.Store.ServeAgain(d.Source) }
		},
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startProcesses(t, wide(), limited())
			p.askDuring("key-old", 5*time.Millisecond, func() {
				heal := inject(p, p.Daemons[0])
				p.SetWorkspaces(withoutOldKey())
				outlastRevocation()
				heal()
				time.Sleep(time.Second)
			})
			p.checkAudit()
			p.awaitServing(p.Daemons...)
			if err := p.run(p.Daemons[0], "key-of-nobody", "READ serving"); err == nil {
				t.Error("read with an unknown key: got success, want a refusal")
			}
		})
	}
}

// TestRestartedDaemonsDoNotServeAWithdrawnKey kills all daemons after a key was withdrawn, and starts them while the store
// is down and when it has come back.
func TestRestartedDaemonsDoNotServeAWithdrawnKey(t *testing.T) {
	t.Parallel()
	p := startProcesses(t, wide(), limited())
	p.SetWorkspaces(withoutOldKey())
	outlastRevocation()
	p.Store.Down.Store(true)
	for _, d := range p.Daemons {
		d.Kill()
	}
	for _, d := range p.Daemons {
		must(t, d.Start())
	}
	p.askDuring("key-old", 5*time.Millisecond, func() {
		time.Sleep(time.Second)
		p.Store.Down.Store(false)
		p.awaitServing(p.Daemons...)
	})
	p.checkAudit()
}

// TestLimitsHoldOverAllDaemons asks several times a limit through all daemons, while one of them after the other is frozen,
// cut off from the others, killed, and all are killed at once: nobody may grant twice what there is.
func TestLimitsHoldOverAllDaemons(t *testing.T) {
	t.Parallel()
	p := startProcesses(t, wide(), limited())
	p.askDuring("key-limited", 2*time.Millisecond, func() {
		time.Sleep(lines.FleetBounds.Window)
		for _, d := range p.Daemons {
			d.Freeze()
			time.Sleep(1500 * time.Millisecond)
			d.Resume()
			p.CutFromDaemons(d, true)
			time.Sleep(1500 * time.Millisecond)
			p.CutFromDaemons(d, false)
			d.Kill()
			must(t, d.Start())
		}
		for _, d := range p.Daemons {
			d.Kill()
		}
		for _, d := range p.Daemons {
			must(t, d.Start())
		}
		time.Sleep(2 * lines.FleetBounds.Window)
	})
	p.checkAudit()
}

const (
	// unevenTime is the time for which one daemon gets all the operations of a workspace.
	unevenTime = 8 * time.Second
	// maxWrongShare is the part of the operations below a limit that may be refused, once rights have moved to them.
	maxWrongShare = 0.02
)

// TestOperationsBelowALimitAreNotRefused asks two thirds of a limit through a single daemon. In the first window rights
// may still be on their way to it.
func TestOperationsBelowALimitAreNotRefused(t *testing.T) {
	t.Parallel()
	p := startProcesses(t, wide(), limited())
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for range 4 {
		callers.Go(func() { p.ask(stop, "key-limited", 100*time.Millisecond, p.Daemons[0]) })
	}
	time.Sleep(lines.FleetBounds.Window)
	from := time.Now()
	time.Sleep(unevenTime)
	close(stop)
	callers.Wait()
	audit := lines.NewAudit(lines.FleetBounds, p.callers, &p.Operator, p.Group)
	refused, asked := audit.WronglyRefused(limited(), from)
	if asked < 100 || float64(refused) > maxWrongShare*float64(asked) {
		t.Errorf("operations at two thirds of the limit: got %d of %d refused, want at most %.0f %%", refused, asked, 100*maxWrongShare)
	}
	p.checkAudit()
}

// TestLoweredLimitsBind lowers a limit while more than the old one is asked for.
func TestLoweredLimitsBind(t *testing.T) {
	t.Parallel()
	p := startProcesses(t, wide(), limited())
	p.askDuring("key-limited", 2*time.Millisecond, func() {
		time.Sleep(lines.FleetBounds.Window)
		lowered := limited()
		lowered.RatePerS, lowered.Burst = 6, 3
		p.SetWorkspaces([]lines.Workspace{wide(), lowered})
		time.Sleep(lines.FleetBounds.ConfigApply + 3*lines.FleetBounds.Window)
	})
	p.checkAudit()
}

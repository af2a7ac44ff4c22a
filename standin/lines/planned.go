package lines

import (
	"slices"
	"sync"
	"syscall"
	"time"
)

// The planned events of a daemon.
const (
	eventTerminate = "SIGTERM"
	eventHangup    = "SIGHUP"
	eventEnd       = "end"
	eventStart     = "start"
	// eventKill is SIGKILL after the grace period.
	eventKill = "SIGKILL"
)

// daemonEvent is a signal to a daemon, or the start or the end of its process.
type daemonEvent struct {
	// source is the IP address of the daemon.
	source, kind string
	at           time.Time
}

// disruption is unplanned, such as a kill, a freeze, a cut link or a fault of the store. to is zero while it lasts.
type disruption struct {
	what     string
	from, to time.Time
}

// configurationVersion is a configuration, with the time limit of its routes.
type configurationVersion struct {
	sentAt, acknowledgedAt time.Time
	timeout                time.Duration
}

// PlannedWork is what was done to a fleet: signals, replacements of targets, configurations and unplanned disruptions.
type PlannedWork struct {
	events                    []daemonEvent
	disruptions, replacements []disruption
	configurations            []configurationVersion
}

// PlannedLog records planned work and disruptions. Its methods are safe for concurrent use.
type PlannedLog struct {
	mu   sync.Mutex
	work PlannedWork
}

// Work returns what has been recorded so far.
func (l *PlannedLog) Work() PlannedWork {
	l.mu.Lock()
	defer l.mu.Unlock()
	return PlannedWork{
		events: slices.Clone(l.work.events), disruptions: slices.Clone(l.work.disruptions),
		replacements: slices.Clone(l.work.replacements), configurations: slices.Clone(l.work.configurations),
	}
}

// Disrupt records that a disruption begins, and returns the function that records its end.
func (l *PlannedLog) Disrupt(what string) (end func()) { return l.begin(&l.work.disruptions, what) }

// replace records that the planned replacement of a target begins, and returns the function that records its end.
func (l *PlannedLog) replace(target string) (end func()) {
	return l.begin(&l.work.replacements, target)
}

func (l *PlannedLog) begin(list *[]disruption, what string) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	number := len(*list)
	*list = append(*list, disruption{what: what, from: time.Now()})
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if d := &(*list)[number]; d.to.IsZero() {
			d.to = time.Now()
		}
	}
}

func (l *PlannedLog) record(source, kind string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.work.events = append(l.work.events, daemonEvent{source, kind, time.Now()})
}

// recordConfiguration records a configuration that is about to be sent, and returns the function that records its
// acknowledgement.
func (l *PlannedLog) recordConfiguration(timeout time.Duration) (acknowledged func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	number := len(l.work.configurations)
	l.work.configurations = append(l.work.configurations, configurationVersion{sentAt: time.Now(), timeout: timeout})
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.work.configurations[number].acknowledgedAt = time.Now()
	}
}

// defaultGrace is the time between SIGTERM and SIGKILL to a daemon of a fleet without an option.
const defaultGrace = 4 * time.Second

func (f *Fleet) gracePeriod() time.Duration {
	if f.Options.Grace > 0 {
		return f.Options.Grace
	}
	return defaultGrace
}

// KilledAfterGrace returns how many stops ended with SIGKILL.
func (w PlannedWork) KilledAfterGrace() int {
	killed := 0
	for _, e := range w.events {
		if e.kind == eventKill {
			killed++
		}
	}
	return killed
}

// sinceTerminate returns the time since the last SIGTERM to a daemon; false if there was none.
func (w PlannedWork) sinceTerminate(source string) (time.Duration, bool) {
	for _, e := range slices.Backward(w.events) {
		if e.source == source && e.kind == eventTerminate {
			return time.Since(e.at), true
		}
	}
	return 0, false
}

// GraceLeft returns the time until the end of the last grace period of the daemon, or 0.
func (d *Daemon) GraceLeft() time.Duration {
	d.planned.mu.Lock()
	defer d.planned.mu.Unlock()
	since, ok := d.planned.work.sinceTerminate(d.Source)
	if !ok {
		return 0
	}
	return max(0, d.grace-since)
}

// Start starts the process of the daemon.
func (d *Daemon) Start() error {
	d.planned.record(d.Source, eventStart)
	err := d.Process.Start()
	d.endDisruption()
	return err
}

// Kill sends SIGKILL, which disrupts the daemon until its next start.
func (d *Daemon) Kill() {
	d.beginDisruption("kill")
	d.Process.Kill()
}

// Freeze suspends the process, which disrupts the daemon until Resume.
func (d *Daemon) Freeze() {
	d.beginDisruption("freeze")
	d.Process.Freeze()
}

// Resume ends Freeze.
func (d *Daemon) Resume() {
	d.Process.Resume()
	d.endDisruption()
}

// beginDisruption records a disruption of the daemon in place of the one that lasts.
func (d *Daemon) beginDisruption(what string) {
	end := d.planned.Disrupt(what + " " + d.Name)
	d.mu.Lock()
	before := d.disrupted
	d.disrupted = end
	d.mu.Unlock()
	if before != nil {
		before()
	}
}

func (d *Daemon) endDisruption() {
	d.mu.Lock()
	end := d.disrupted
	d.disrupted = nil
	d.mu.Unlock()
	if end != nil {
		end()
	}
}

// Hangup sends SIGHUP.
func (d *Daemon) Hangup() {
	d.planned.record(d.Source, eventHangup)
	d.Signal(syscall.SIGHUP)
}

// Terminate sends SIGTERM and returns.
func (d *Daemon) Terminate() {
	d.planned.record(d.Source, eventTerminate)
	d.Signal(syscall.SIGTERM)
}

// Stop stops the daemon as the platform does: it sends SIGTERM, and SIGKILL after the grace period. It reports whether
// the process ended before SIGKILL.
func (d *Daemon) Stop() bool {
	d.Terminate()
	ended := d.WaitForExit(d.grace)
	if !ended {
		d.planned.record(d.Source, eventKill)
		d.Process.Kill()
	}
	d.planned.record(d.Source, eventEnd)
	return ended
}

package soak

import (
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"time"

	"github.com/papayacove/papayacove/standin/lines"
)

const (
	// shortestGap and longestGap bound the time between stops that overlap.
	shortestGap = 100 * time.Millisecond
	longestGap  = 3 * time.Second
	// besideWithin bounds the time between a stop and the planned work beside it, which comes first or second.
	besideWithin = 2 * time.Second
	// longestService is the longest service time of a slow target.
	longestService = 3 * time.Second
	// longestStart is the longest time after the start of a daemon at which it is stopped.
	longestStart = 400 * time.Millisecond
)

// plannedFaults are the faults of planned work. All others are unplanned disruptions while they last.
var plannedFaults = strings.Fields(`daemon_stopped actor_stopped key_withdrawn limit_lowered odd_entries
	replica_released primary_released group_released
	daemon_stopped_briefly daemons_stopped_in_series daemons_stopped_overlapping holder_stopped holder_and_sender_stopped
	settings_changed settings_changed_and_stopped timeout_changed timeout_changed_and_stopped
	replica_released_and_stopped primary_released_and_stopped target_slow_and_stopped daemon_stopped_twice
	daemon_stopped_while_starting store_era_odd_and_stopped`)

// recordDisruptions returns the faults with each one that isn't planned work recorded as a disruption while it lasts.
func recordDisruptions(faults []FaultOf[*lines.Fleet]) []FaultOf[*lines.Fleet] {
	planned := map[string]bool{}
	for _, name := range plannedFaults {
		planned[name] = true
	}
	var recorded []FaultOf[*lines.Fleet]
	for _, fault := range faults {
		if !planned[fault.Name] {
			inject := fault.Inject
			fault.Inject = func(f *lines.Fleet, random *rand.Rand) (string, func()) {
				end := f.Planned.Disrupt(fault.Name)
				what, heal := inject(f, random)
				return what, func() { heal(); end() }
			}
		}
		recorded = append(recorded, fault)
	}
	return recorded
}

func stopAndStart(d *lines.Daemon) {
	d.Stop()
	_ = d.Start()
}

// stopInSeries stops and starts all daemons one after the other.
func stopInSeries(f *lines.Fleet, random *rand.Rand) (string, func()) {
	for _, i := range random.Perm(len(f.Daemons)) {
		stopAndStart(f.Daemons[i])
	}
	return "all", func() {}
}

// stopAll stops daemons with gaps between the signals, and starts each once it has ended.
func stopAll(daemons []*lines.Daemon, random *rand.Rand) string {
	var stops sync.WaitGroup
	var names []string
	for i, d := range daemons {
		if i > 0 {
			gap := between(random, shortestGap, longestGap)
			names = append(names, gap.Round(time.Millisecond).String())
			time.Sleep(gap)
		}
		names = append(names, d.Name)
		stops.Go(func() { stopAndStart(d) })
	}
	stops.Wait()
	return strings.Join(names, " ")
}

// stopOverlapping stops two or three daemons while the first one still stops.
func stopOverlapping(f *lines.Fleet, random *rand.Rand) (string, func()) {
	number := min(len(f.Daemons), 2+random.Intn(2))
	var chosen []*lines.Daemon
	for _, i := range random.Perm(len(f.Daemons))[:number] {
		chosen = append(chosen, f.Daemons[i])
	}
	return stopAll(chosen, random), func() {}
}

// stopHolderAndSender stops the daemon that holds the primary of a group and another one, in any order.
func stopHolderAndSender(f *lines.Fleet, g *lines.Group, random *rand.Rand) (string, func()) {
	sender, holder := f.Daemons[random.Intn(len(f.Daemons))], f.Holder(g)
	both := []*lines.Daemon{sender}
	if holder != nil && holder != sender {
		both = append(both, holder)
	}
	random.Shuffle(len(both), func(i, j int) { both[i], both[j] = both[j], both[i] })
	return stopAll(both, random), func() {}
}

// injectBeside does something beside a stop of a daemon. heal ends it; nil for nothing.
type injectBeside func(f *lines.Fleet, d *lines.Daemon, random *rand.Rand) (heal func())

// besideStop stops and starts a daemon and does something shortly before or after the signal.
func besideStop(do injectBeside) func(*lines.Fleet, *rand.Rand) (string, func()) {
	return func(f *lines.Fleet, random *rand.Rand) (string, func()) {
		d, gap, first := f.Daemons[random.Intn(len(f.Daemons))], between(random, 0, besideWithin), random.Intn(2) == 0
		var stop sync.WaitGroup
		var heal func()
		if first {
			heal = do(f, d, random)
			time.Sleep(gap)
		}
		stop.Go(func() { stopAndStart(d) })
		if !first {
			time.Sleep(gap)
			heal = do(f, d, random)
		}
		stop.Wait()
		if heal == nil {
			heal = func() {}
		}
		return fmt.Sprintf("%s, before the signal: %t, gap %v", d.Name, first, gap.Round(time.Millisecond)), heal
	}
}

// changeTimeout changes the time limit of the routes.
func changeTimeout(f *lines.Fleet, random *rand.Rand) string {
	timeout := []time.Duration{800 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second}[random.Intn(4)]
	f.SetTimeout(timeout)
	return timeout.String()
}

// releaseOne replaces one target of a group.
func releaseOne(pick func(*lines.Group) string) injectBeside {
	return func(f *lines.Fleet, _ *lines.Daemon, random *rand.Rand) func() {
		g := f.Groups[random.Intn(len(f.Groups))]
		_, heal := releaseAll(f, g, random, []string{pick(g)})
		return heal
	}
}

// slowTarget makes the primary of a group slow.
func slowTarget(f *lines.Fleet, _ *lines.Daemon, random *rand.Rand) func() {
	g := f.Groups[random.Intn(len(f.Groups))]
	d := g.Target(g.Primary())
	if d == nil {
		return nil
	}
	d.SetService(between(random, 100*time.Millisecond, longestService))
	return func() { d.SetService(lines.ServiceTime) }
}

// terminateAgain sends SIGTERM twice more.
func terminateAgain(_ *lines.Fleet, d *lines.Daemon, random *rand.Rand) func() {
	for range 2 {
		d.Terminate()
		time.Sleep(between(random, 0, longestGap/2))
	}
	return nil
}

// oddEras are eras that the store never names by itself; empty for none.
var oddEras = []string{"", "0", "-1", "x", "1e3", strings.Repeat("9", 30)}

// nameOddEra makes the store name an odd era.
func nameOddEra(f *lines.Fleet, _ *lines.Daemon, random *rand.Rand) func() {
	f.Store.OddEra.Store(&oddEras[random.Intn(len(oddEras))])
	return func() { f.Store.OddEra.Store(nil) }
}

// onDaemonRandomly injects a fault into a daemon that it draws.
func onDaemonRandomly(inject func(*lines.Daemon, *rand.Rand)) func(*lines.Fleet, *rand.Rand) (string, func()) {
	return func(f *lines.Fleet, random *rand.Rand) (string, func()) {
		d := f.Daemons[random.Intn(len(f.Daemons))]
		inject(d, random)
		return d.Name, func() {}
	}
}

// stopWhileStarting stops a daemon, starts it, and stops it again while it starts.
func stopWhileStarting(d *lines.Daemon, random *rand.Rand) {
	stopAndStart(d)
	time.Sleep(between(random, 0, longestStart))
	stopAndStart(d)
}

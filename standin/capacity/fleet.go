package capacity

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/standin/fleet"
	"github.com/papayacove/papayacove/standin/workload"
)

const (
	// fleetDeployment is the deployment whose daemons are measured as processes.
	fleetDeployment = "kelani"
	// fleetSettle is the wait before each measurement of the daemons, idle or under load.
	fleetSettle = time.Second
	// fleetWindow is how long the daemons are measured.
	fleetWindow = 4 * time.Second
	// crewLeads and supervisors are the numbers of callers of each group.
	crewLeads   = 4
	supervisors = 2
)

// FleetOptionsFunc returns the options with which the processes of a deployment are started, and a function that cleans
// up after they have ended.
type FleetOptionsFunc func(deployment string) (options fleet.Options, cleanUp func(), err error)

// daemonUsage is the processor time that all daemons of a fleet have used up to a time, and their resident bytes then.
type daemonUsage struct {
	at        time.Time
	processor time.Duration
	resident  int64
}

// fleetPart returns the measurement of daemons that run as processes.
func fleetPart(start FleetOptionsFunc) Part {
	measure := func(ctx context.Context) ([]Result, error) {
		options, cleanUp, err := start(fleetDeployment)
		if err != nil {
			return nil, err
		}
		running, err := fleet.Start(ctx, options)
		if err != nil {
			return nil, err
		}
		defer cleanUp()
		defer running.Close()
		return measureFleet(ctx, running)
	}
	return Part{Name: "daemons", Measure: measure}
}

// measureFleet measures idle daemons, and the processor time that a statement adds.
func measureFleet(ctx context.Context, running *fleet.Fleet) ([]Result, error) {
	strict, aged, maxAge := workload.Accounts(fleetDeployment)
	work := workload.New(running, workload.Options{
		Strict: strict, Aged: aged, MaxAge: maxAge, CrewLeads: crewLeads, Supervisors: supervisors, Seed: 1,
	})
	if err := work.Prepare(ctx); err != nil {
		return nil, err
	}
	idle, resident, err := daemonRate(ctx, running)
	if err != nil {
		return nil, err
	}
	working, stop := context.WithCancel(ctx)
	var done sync.WaitGroup
	done.Go(func() { work.Run(working) })
	statements, busy, busyResident, err := busyRate(ctx, running)
	stop()
	done.Wait()
	daemons := float64(len(running.Daemons))
	return []Result{
		{"daemon_processor_idle", 100 * idle / daemons, "%core"},
		{"daemon_resident_idle", float64(resident) / daemons, "B"},
		{"daemon_statements", statements / daemons, "1/s"},
		{"daemon_processor_per_statement", 1e6 * (busy - idle) / statements, "us"},
		{"daemon_resident_busy", float64(busyResident) / daemons, "B"},
	}, err
}

// busyRate returns the statements per second, the used cores and the resident bytes of all daemons under load.
func busyRate(ctx context.Context, running *fleet.Fleet) (statements, processor float64, resident int64, err error) {
	if err := clock.Sleep(ctx, fleetSettle); err != nil {
		return 0, 0, 0, err
	}
	before, began := countStatements(running), time.Now()
	processor, resident, err = daemonRate(ctx, running)
	elapsed := time.Since(began).Seconds()
	return float64(countStatements(running)-before) / elapsed, processor, resident, err
}

// daemonRate returns the used cores and the resident bytes of all daemons.
func daemonRate(ctx context.Context, running *fleet.Fleet) (processor float64, resident int64, err error) {
	if err := clock.Sleep(ctx, fleetSettle); err != nil {
		return 0, 0, err
	}
	before, err := readDaemonUsage(running)
	if err != nil {
		return 0, 0, err
	}
	if err := clock.Sleep(ctx, fleetWindow); err != nil {
		return 0, 0, err
	}
	after, err := readDaemonUsage(running)
	if err != nil {
		return 0, 0, err
	}
	elapsed := after.at.Sub(before.at).Seconds()
	return (after.processor - before.processor).Seconds() / elapsed, after.resident, nil
}

// readDaemonUsage returns the usage of all daemons up to now.
func readDaemonUsage(running *fleet.Fleet) (daemonUsage, error) {
	use := daemonUsage{at: time.Now()}
	for _, process := range running.Daemons {
		processor, resident, err := readProcessUsage(process.PID())
		if err != nil {
			return use, err
		}
		use.processor += processor
		use.resident += resident
	}
	return use, nil
}

// countStatements returns the number of statement batches that the daemons have received from callers and routed to
// targets. Daemons that do not answer are left out.
func countStatements(running *fleet.Fleet) int64 {
	var total int64
	for name := range running.Daemons {
		status, err := running.Status(name)
		if err != nil {
			continue
		}
		for _, counter := range status.Counters {
			if strings.HasPrefix(counter.Name, "frontend.batches_") && counter.Name != "frontend.batches_local" {
				total += counter.Value
			}
		}
	}
	return total
}

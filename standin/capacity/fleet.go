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
	// fleetSettle is the time after the start and between idle and busy times.
	fleetSettle = time.Second
	// fleetWindow is the time over which daemons are measured.
	fleetWindow = 4 * time.Second
	// crewLeads and supervisors are the callers of each group.
	crewLeads   = 4
	supervisors = 2
)

// FleetOptions say how the processes of a deployment are started.
type FleetOptions func(deployment string) (options fleet.Options, cleanUp func(), err error)

// daemonUse is what the daemons of a fleet have used so far.
type daemonUse struct {
	at        time.Time
	processor time.Duration
	resident  int64
}

// fleetPart returns the measurement of whole daemons as processes.
func fleetPart(start FleetOptions) Part {
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

// measureFleet measures idle daemons and what a statement adds.
func measureFleet(ctx context.Context, running *fleet.Fleet) ([]Result, error) {
	strict, aged, maxAge := workload.Accounts(fleetDeployment)
	work := workload.New(running, workload.Options{
		Strict: strict, Aged: aged, MaxAge: maxAge, Leads: crewLeads, Supervisors: supervisors, Seed: 1,
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

// busyRate measures the daemons while callers work.
func busyRate(ctx context.Context, running *fleet.Fleet) (statements, processor float64, resident int64, err error) {
	if err := clock.Sleep(ctx, fleetSettle); err != nil {
		return 0, 0, 0, err
	}
	before, began := countStatements(running), time.Now()
	processor, resident, err = daemonRate(ctx, running)
	elapsed := time.Since(began).Seconds()
	return float64(countStatements(running)-before) / elapsed, processor, resident, err
}

// daemonRate returns the cores and the resident bytes of all daemons.
func daemonRate(ctx context.Context, running *fleet.Fleet) (processor float64, resident int64, err error) {
	if err := clock.Sleep(ctx, fleetSettle); err != nil {
		return 0, 0, err
	}
	before, err := useOfDaemons(running)
	if err != nil {
		return 0, 0, err
	}
	if err := clock.Sleep(ctx, fleetWindow); err != nil {
		return 0, 0, err
	}
	after, err := useOfDaemons(running)
	if err != nil {
		return 0, 0, err
	}
	elapsed := after.at.Sub(before.at).Seconds()
	return (after.processor - before.processor).Seconds() / elapsed, after.resident, nil
}

func useOfDaemons(running *fleet.Fleet) (daemonUse, error) {
	use := daemonUse{at: time.Now()}
	for _, process := range running.Daemons {
		processor, resident, err := readProcessor(process.ID())
		if err != nil {
			return use, err
		}
		use.processor += processor
		use.resident += resident
	}
	return use, nil
}

// countStatements returns the statement batches that the daemons took from callers and routed.
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

package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/standin/fleet"
	"github.com/papayacove/papayacove/standin/soak"
	"github.com/papayacove/papayacove/standin/workload"
	"github.com/urfave/cli/v3"
)

// demoStepInterval is the time between two steps of the demonstration.
const demoStepInterval = 3 * time.Second

func demoCommand() *cli.Command {
	return &cli.Command{Name: "demo", Usage: "run both example deployments with callers, a failover and a planned stop of a daemon", Action: demo}
}

func demo(ctx context.Context, command *cli.Command) error {
	for i, deployment := range []string{"kelani", "lichtbild"} {
		if err := demoDeployment(ctx, command, deployment, command.Int("network")+i); err != nil {
			return fmt.Errorf("%s: %w", deployment, err)
		}
	}
	fmt.Println("demo ok")
	return nil
}

// demoRun is the demonstration of one deployment.
type demoRun struct {
	fleet   *fleet.Fleet
	work    *workload.Workload
	started time.Time
}

func demoDeployment(ctx context.Context, command *cli.Command, deployment string, network int) error {
	options, cleanUp, err := fleetOptions(command, deployment, network)
	if err != nil {
		return err
	}
	running, err := fleet.Start(ctx, options)
	if err != nil {
		return err
	}
	defer running.Close()
	strict, aged, maxAge := workload.Accounts(deployment)
	r := &demoRun{fleet: running, started: time.Now()}
	r.work = workload.New(running, workload.Options{Strict: strict, Aged: aged, MaxAge: maxAge, CrewLeads: 4, Supervisors: 2, Seed: 1})
	r.printf("%s: %d daemons and %d databases in %d groups are running", deployment, len(running.Daemons), len(running.Targets), len(running.Deployment.Groups))
	if err := r.work.Prepare(ctx); err != nil {
		return err
	}
	if err := r.run(ctx, strict, aged, maxAge); err != nil {
		fmt.Printf("logs are in %s\n", options.WorkDirectory)
		return err
	}
	cleanUp()
	return nil
}

// printf prints a line that starts with the time since the start of the demonstration, in seconds.
func (r *demoRun) printf(format string, arguments ...any) {
	fmt.Printf("%6.2fs  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// run runs the callers during a failover and a planned stop of a daemon, and checks their outcomes at the end.
func (r *demoRun) run(ctx context.Context, strict, aged workload.Account, maxAge time.Duration) error {
	workCtx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.work.Run(workCtx)
	}()
	r.printf("%s writes entries and reads them back through different daemons; %s reads data that is at most %v old", strict.User, aged.User, maxAge)
	_ = clock.Sleep(ctx, demoStepInterval)
	gap, err := r.killPrimary(ctx)
	if err != nil {
		return err
	}
	_ = clock.Sleep(ctx, demoStepInterval)
	r.stopDaemon()
	_ = clock.Sleep(ctx, demoStepInterval)
	stop()
	<-done
	if err := r.work.Settle(ctx); err != nil {
		return err
	}
	return r.check(ctx, gap)
}

// killPrimary kills the primary of the first group, waits for a new one and starts the old one again. It returns the
// time from the kill until the group acknowledged a write. It fails if no replica is promoted within failoverTimeout
// or if the group acknowledges no write afterwards.
func (r *demoRun) killPrimary(ctx context.Context) (time.Duration, error) {
	group := r.fleet.Deployment.Groups[0]
	old := soak.PrimaryOf(r.fleet, group)
	killedAt := time.Now()
	r.fleet.Targets[old].Kill()
	r.printf("killed %s, the primary of %s", old, group.Name)
	for time.Since(killedAt) < failoverTimeout && ctx.Err() == nil {
		if current := soak.PrimaryOf(r.fleet, group); current != old {
			if err := r.work.SettleGroup(ctx, group.Name); err != nil {
				return 0, err
			}
			gap := time.Since(killedAt)
			r.printf("%s is the new primary of %s; the group acknowledged no write for %d ms", current, group.Name, gap.Milliseconds())
			_ = r.fleet.Targets[old].Start()
			r.printf("restarted %s, which rejoins the group as a replica", old)
			return gap, nil
		}
		_ = clock.Sleep(ctx, 2*time.Millisecond)
	}
	return 0, errors.New("no replica was promoted after the primary was killed")
}

// failoverTimeout is the time within which each change of primary must be complete.
const failoverTimeout = 7 * time.Second

func (r *demoRun) stopDaemon() {
	name := r.fleet.Deployment.Settings[0].Name
	started := time.Now()
	r.fleet.Daemons[name].Stop()
	r.printf("stopped %s with SIGTERM in %d ms; its callers reconnected to other daemons", name, time.Since(started).Milliseconds())
}

// check prints totals and compares the outcomes that callers received with the rows of the databases. It returns an
// error if a guarantee was violated.
func (r *demoRun) check(ctx context.Context, gap time.Duration) error {
	verdict, err := r.work.Check(ctx)
	if err != nil {
		return err
	}
	history := r.work.History
	replicaReads, primaryReads := r.countReads()
	share := 100 * float64(replicaReads) / float64(max(1, replicaReads+primaryReads))
	r.printf("requests %d, acknowledged writes %d, refused as not run %d, outcome unknown %d", history.Requests, history.Acked, history.NotRun, history.Unknown)
	r.printf("reads by replicas %.1f%%, failover gap %d ms, lost %d, duplicated %d, stale reads %d",
		share, gap.Milliseconds(), verdict.Lost, verdict.Duplicated, history.StaleReads)
	if verdict.Lost+verdict.Duplicated+verdict.Mixed+verdict.FalseNotRun > 0 || len(history.Violations) > 0 {
		return fmt.Errorf("a guarantee was violated: %s", strings.Join(append(verdict.Details, history.Violations...), "; "))
	}
	return nil
}

// countReads returns the numbers of reads that the daemons routed to replicas and to primaries. It leaves out daemons
// whose status cannot be read, such as a stopped one.
func (r *demoRun) countReads() (replicas, primaries int64) {
	for name := range r.fleet.Daemons {
		status, err := r.fleet.Status(name)
		if err != nil {
			continue
		}
		for _, counter := range status.Counters {
			switch counter.Name {
			case "router.reads_replica":
				replicas += counter.Value
			case "router.reads_primary":
				primaries += counter.Value
			}
		}
	}
	return replicas, primaries
}

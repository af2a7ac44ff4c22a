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

// demoPart is the time between two happenings of the demonstration.
const demoPart = 3 * time.Second

func demoCommand() *cli.Command {
	return &cli.Command{Name: "demo", Usage: "show both deployments at work, a failover and a planned stop", Action: demo}
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

// demoRun is one deployment at work.
type demoRun struct {
	fleet *fleet.Fleet
	work  *workload.Workload
	began time.Time
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
	run := &demoRun{fleet: running, began: time.Now()}
	run.work = workload.New(running, workload.Options{Strict: strict, Aged: aged, MaxAge: maxAge, Leads: 4, Supervisors: 2, Seed: 1})
	run.say("%s: %d daemons before %d databases in %d groups are up", deployment, len(running.Daemons), len(running.Targets), len(running.Deployment.Groups))
	if err := run.work.Prepare(ctx); err != nil {
		return err
	}
	if err := run.show(ctx, strict, aged, maxAge); err != nil {
		fmt.Printf("logs are in %s\n", options.Work)
		return err
	}
	cleanUp()
	return nil
}

func (r *demoRun) say(format string, arguments ...any) {
	fmt.Printf("%6.2fs  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// show runs the callers beside the happenings, and checks at the end.
func (r *demoRun) show(ctx context.Context, strict, aged workload.Account, maxAge time.Duration) error {
	working, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.work.Run(working)
	}()
	r.say("%s logs entries and reloads them through different daemons; %s reads data of at most %v", strict.User, aged.User, maxAge)
	_ = clock.Sleep(ctx, demoPart)
	gap, err := r.killPrimary(ctx)
	if err != nil {
		return err
	}
	_ = clock.Sleep(ctx, demoPart)
	r.stopDaemon()
	_ = clock.Sleep(ctx, demoPart)
	stop()
	<-ended
	if err := r.work.Settle(ctx); err != nil {
		return err
	}
	return r.conclude(ctx, gap)
}

// killPrimary kills a primary and waits for its replacement.
func (r *demoRun) killPrimary(ctx context.Context) (time.Duration, error) {
	group := r.fleet.Deployment.Groups[0]
	old := soak.PrimaryOf(r.fleet, group)
	killed := time.Now()
	r.fleet.Targets[old].Kill()
	r.say("killed %s, the primary of %s", old, group.Name)
	for time.Since(killed) < failoverLimit && ctx.Err() == nil {
		if replaced := soak.PrimaryOf(r.fleet, group); replaced != old {
			if err := r.work.SettleGroup(ctx, group.Name); err != nil {
				return 0, err
			}
			gap := time.Since(killed)
			r.say("%s leads %s now; writes were impossible for %d ms", replaced, group.Name, gap.Milliseconds())
			_ = r.fleet.Targets[old].Start()
			r.say("%s is back and follows", old)
			return gap, nil
		}
		_ = clock.Sleep(ctx, 2*time.Millisecond)
	}
	return 0, errors.New("no replica took over")
}

// failoverLimit is the time in which every change of primary must be over.
const failoverLimit = 7 * time.Second

func (r *demoRun) stopDaemon() {
	name := r.fleet.Deployment.Settings[0].Name
	asked := time.Now()
	r.fleet.Daemons[name].Stop()
	r.say("stopped %s in a planned way in %d ms; its callers went to other daemons", name, time.Since(asked).Milliseconds())
}

// conclude compares what callers were told with what the databases hold.
func (r *demoRun) conclude(ctx context.Context, gap time.Duration) error {
	verdict, err := r.work.Check(ctx)
	if err != nil {
		return err
	}
	history := r.work.History
	byReplicas, byPrimary := r.readShares()
	share := 100 * float64(byReplicas) / float64(max(1, byReplicas+byPrimary))
	r.say("requests %d, acknowledged writes %d, refused as not run %d, outcome unknown %d", history.Requests, history.Acked, history.NotRun, history.Unknown)
	r.say("reads by replicas %.1f%%, failover gap %d ms, lost %d, duplicated %d, stale reads %d",
		share, gap.Milliseconds(), verdict.Lost, verdict.Duplicated, history.StaleReads)
	if verdict.Lost+verdict.Duplicated+verdict.Mixed+verdict.FalseNot > 0 || len(history.Violations) > 0 {
		return fmt.Errorf("a promise was broken: %s", strings.Join(append(verdict.Details, history.Violations...), "; "))
	}
	return nil
}

// readShares sums up the reads that the daemons routed by the role of the target that served them.
func (r *demoRun) readShares() (replicas, primaries int64) {
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

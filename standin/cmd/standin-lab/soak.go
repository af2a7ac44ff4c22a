package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/papayacove/papayacove/standin/fleet"
	"github.com/papayacove/papayacove/standin/lines"
	"github.com/papayacove/papayacove/standin/soak"
	"github.com/papayacove/papayacove/standin/workload"
	"github.com/urfave/cli/v3"
)

// zoneLatency is the one-way latency between the availability zones of a deployment.
var zoneLatency = map[string]time.Duration{"kelani": time.Millisecond, "lichtbild": 500 * time.Microsecond}

// errViolations is returned if a guarantee was violated during a run.
var errViolations = errors.New("a guarantee was violated; see the history above")

func soakCommand() *cli.Command {
	return &cli.Command{
		Name: "soak", Usage: "run callers while failures are injected at random times that the seed determines",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "seeds", Usage: "`LIST` of seeds, such as 1,2,5-9", Value: "1"},
			&cli.DurationFlag{Name: "duration", Usage: "duration of each run", Value: 30 * time.Second},
			&cli.StringSliceFlag{Name: "faults", Usage: "`NAMES` of the failures to inject; all when empty"},
			&cli.StringFlag{Name: "protocol", Usage: "postgresql or lines", Value: "postgresql"},
			&cli.IntFlag{Name: "connections", Usage: "connections that each target accepts, with lines; with few the daemons share them", Value: 40},
			&cli.IntFlag{Name: "daemons", Usage: "number of daemons, with lines", Value: linesDaemons},
			&cli.IntFlag{Name: "groups", Usage: "number of groups, with lines", Value: 1},
			&cli.IntFlag{Name: "sessions", Usage: "number of callers with long sessions and slow transactions, with lines"},
			&cli.IntFlag{Name: "stubborn", Usage: "callers at each daemon that use their connections until it is gone, with lines"},
			&cli.DurationFlag{Name: "grace", Usage: "time between SIGTERM and SIGKILL to a daemon, with lines", Value: 4 * time.Second},
			&cli.DurationFlag{
				Name: "promote-delay", Usage: "shortest time between an order to promote and its effect, with lines; 50ms when 0",
			},
			&cli.DurationFlag{Name: "timeout", Usage: "time limit of the routes, with lines", Value: time.Second},
			&cli.BoolFlag{Name: "workspaces", Usage: "configure workspaces with keys and limits, with lines"},
			&cli.StringFlag{Name: "deployment", Usage: "deployment to run; chosen by seed when empty"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, command *cli.Command) error {
	seeds, err := parseSeeds(command.String("seeds"))
	if err != nil {
		return err
	}
	clean := true
	for _, seed := range seeds {
		ok, err := soakOnce(ctx, command, seed)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		clean = clean && ok
	}
	if !clean {
		return errViolations
	}
	return nil
}

// parseSeeds parses a comma-separated list of seeds and inclusive ranges of seeds, such as 1,2,5-9.
func parseSeeds(list string) ([]int64, error) {
	var seeds []int64
	for _, part := range strings.Split(list, ",") {
		low, high, isRange := strings.Cut(part, "-")
		if !isRange {
			high = low
		}
		first, err := strconv.ParseInt(low, 10, 64)
		if err != nil {
			return nil, err
		}
		last, err := strconv.ParseInt(high, 10, 64)
		if err != nil {
			return nil, err
		}
		for seed := first; seed <= last; seed++ {
			seeds = append(seeds, seed)
		}
	}
	return seeds, nil
}

// deploymentOf returns the deployment that the flag names; without one, even seeds run kelani and odd seeds lichtbild.
func deploymentOf(command *cli.Command, seed int64) string {
	if named := command.String("deployment"); named != "" {
		return named
	}
	return []string{"kelani", "lichtbild"}[seed%2]
}

// soakOnce runs one seed and reports whether no guarantee was violated.
func soakOnce(ctx context.Context, command *cli.Command, seed int64) (bool, error) {
	if command.String("protocol") == "lines" {
		return soakLines(ctx, command, seed)
	}
	deployment := deploymentOf(command, seed)
	options, cleanUp, err := fleetOptions(command, deployment, command.Int("network"))
	if err != nil {
		return false, err
	}
	options.WorkDirectory = fmt.Sprintf("%s-%d", options.WorkDirectory, seed)
	options.OneWayLatency = zoneLatency[deployment]
	running, err := fleet.Start(ctx, options)
	if err != nil {
		return false, err
	}
	defer running.Close()
	strict, aged, maxAge := workload.Accounts(deployment)
	work := workload.New(running, workload.Options{Strict: strict, Aged: aged, MaxAge: maxAge, CrewLeads: 4, Supervisors: 2, Seed: seed})
	faults, err := soak.Select(soak.Faults, command.StringSlice("faults"))
	if err != nil {
		return false, err
	}
	report, err := soak.Run(ctx, running, work, faults, seed, command.Duration("duration"))
	if err != nil {
		return false, err
	}
	if report.IsClean() {
		cleanUp()
		_ = os.RemoveAll(options.WorkDirectory)
	} else {
		printHistory(report, options.WorkDirectory)
	}
	fmt.Printf("seed %d on %s: longest time without an acknowledged write of a group %v, terms opened %d, outcome unknown %d, not run %d\n",
		seed, deployment, report.History.LongestGap.Round(time.Millisecond), soak.Promotions(running), report.History.Unknown, report.History.NotRun)
	fmt.Println(report)
	return report.IsClean(), nil
}

// linesDaemons is the number of daemons in a fleet that serves the protocol lines.
const linesDaemons = 4

// soakLines runs one seed on a fleet that serves the protocol lines, and reports whether no guarantee was violated.
func soakLines(ctx context.Context, command *cli.Command, seed int64) (bool, error) {
	faults, err := soak.SelectLines(command.StringSlice("faults"))
	if err != nil {
		return false, err
	}
	work, err := os.MkdirTemp("", "papayacove-soak-lines-")
	if err != nil {
		return false, err
	}
	options := lines.FleetOptions{Binaries: command.String("binaries"), Folder: work, Daemons: command.Int("daemons"), Groups: command.Int("groups"),
		Connections: command.Int("connections"), Sessions: command.Int("sessions"),
		Stubborn: command.Int("stubborn"), Timeout: command.Duration("timeout"), PromoteDelay: command.Duration("promote-delay"),
		Grace: command.Duration("grace")}
	if command.Bool("workspaces") {
		options.Workspaces = soak.Workspaces()
	}
	running, err := lines.StartFleet(options)
	if err != nil {
		return false, err
	}
	defer running.Close()
	report := soak.RunLines(ctx, running, faults, seed, command.Duration("duration"))
	if report.IsClean() {
		_ = os.RemoveAll(work)
	} else {
		printHistory(report, work)
		if err := os.WriteFile(filepath.Join(work, "statements.txt"), []byte(strings.Join(report.Statements.Records, "\n")), 0o644); err != nil {
			return false, err
		}
	}
	fmt.Printf("seed %d on lines: longest time without an acknowledged write %v, promotions %d, outcome unknown %d, not run %d\n", seed,
		report.History.LongestGap.Round(time.Millisecond), len(running.Provider.Orders()), report.History.Unknown, report.History.NotRun)
	for _, line := range report.Served {
		fmt.Println(line)
	}
	fmt.Println(report)
	return report.IsClean(), nil
}

// printHistory prints the events and violations of a run, and the folder of its logs.
func printHistory(report soak.Report, work string) {
	for _, event := range report.History.Events() {
		fmt.Println(event)
	}
	for _, detail := range slices.Concat(report.Verdict.Details, report.History.Violations, report.Statements.All()) {
		fmt.Println(detail)
	}
	fmt.Printf("logs are in %s\n", work)
}

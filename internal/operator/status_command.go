package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/papayacove/papayacove/api"
)

// maxHealthyAge is the age of a target's data above which status reports a problem.
const maxHealthyAge = 5 * time.Second

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show daemons, groups, targets and problems",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			daemons, err := daemonsFromFlags(ctx, cmd)
			if err != nil {
				return err
			}
			responses, err := queryAll[api.DaemonStatus](ctx, daemons, "/status")
			if err != nil {
				return err
			}
			report := newFleetStatus(responses, expectedRevision(ctx, cmd))
			return outputFromFlags(cmd).print(report, report.text())
		},
	}
}

// expectedRevision returns the configuration revision that all daemons should have, or 0 if no platform is given or it
// cannot be read.
func expectedRevision(ctx context.Context, cmd *cli.Command) uint64 {
	if cmd.String(flagPlatform) == "" {
		return 0
	}
	client, err := clientFromFlags(cmd)
	if err != nil {
		return 0
	}
	newest, err := newestConfigRevision(ctx, client)
	if err != nil {
		return 0
	}
	return newest
}

// FleetStatus is the status of all daemons that responded, and the problems found.
type FleetStatus struct {
	// Newest is the revision of the newest configuration on the platform; 0 when unknown.
	Newest   uint64             `json:"newest_revision"`
	Daemons  []api.DaemonStatus `json:"daemons"`
	Problems []string           `json:"problems"`
}

func newFleetStatus(responses []daemonResponse[api.DaemonStatus], newest uint64) FleetStatus {
	fleet := FleetStatus{Newest: newest, Daemons: []api.DaemonStatus{}, Problems: []string{}}
	for _, r := range responses {
		if r.err != nil {
			fleet.addProblem("daemon %s: no answer: %s", r.daemon.name, r.err)
			continue
		}
		fleet.Daemons = append(fleet.Daemons, r.value)
		fleet.checkDaemon(r.value)
	}
	fleet.checkGroups()
	return fleet
}

func (f *FleetStatus) addProblem(format string, args ...any) {
	f.Problems = append(f.Problems, fmt.Sprintf(format, args...))
}

func (f *FleetStatus) checkDaemon(d api.DaemonStatus) {
	if !d.PlatformReached {
		f.addProblem("daemon %s: does not reach the platform", d.Name)
	}
	if d.ConfigRevision < f.Newest {
		f.addProblem("daemon %s: configuration %d, the platform has %d", d.Name, d.ConfigRevision, f.Newest)
	}
	for _, problem := range d.ConfigProblems {
		f.addProblem("daemon %s: %s", d.Name, problem)
	}
}

// checkTarget reports a target that does not respond, is at a lower term than its group (newest),
// or whose data is older than maxHealthyAge.
func (f *FleetStatus) checkTarget(t api.HeldTargetStatus, newest uint64) {
	switch {
	case t.Role == "":
		f.addProblem("target %s: silent", t.Target)
	case t.Term < newest:
		f.addProblem("target %s: at term %d, group %s is at term %d", t.Target, t.Term, t.Group, newest)
	case t.AgeMs > maxHealthyAge.Milliseconds():
		f.addProblem("target %s: its data is %d ms old", t.Target, t.AgeMs)
	}
}

// checkGroups reports groups without a primary, targets that two daemons hold, and the problems of each target.
func (f *FleetStatus) checkGroups() {
	newest := map[string]uint64{}
	for _, term := range f.terms() {
		newest[term.Group] = term.Term
		if term.Primary == "" {
			f.addProblem("group %s: term %d has no primary yet", term.Group, term.Term)
		}
	}
	gates := map[string]string{}
	for _, d := range f.Daemons {
		for _, t := range d.Targets {
			if other, found := gates[t.Target]; found {
				f.addProblem("target %s: held by %s and %s", t.Target, other, d.Name)
			}
			gates[t.Target] = d.Name
			f.checkTarget(t, newest[t.Group])
		}
	}
}

package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/papayacove/papayacove/api"
)

// maxHealthyAge is the age of the data of a target from which on it is named as a problem.
const maxHealthyAge = 5 * time.Second

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show daemons, groups, targets and what is wrong",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			daemons, err := daemonsOf(ctx, cmd)
			if err != nil {
				return err
			}
			answers, err := askAll[api.DaemonStatus](ctx, daemons, "/status")
			if err != nil {
				return err
			}
			report := newFleetStatus(answers, newestRevision(ctx, cmd))
			return outputOf(cmd).value(report, report.text())
		},
	}
}

// newestRevision is the revision that all daemons should have; 0 when the platform was not asked.
func newestRevision(ctx context.Context, cmd *cli.Command) uint64 {
	if cmd.String(flagPlatform) == "" {
		return 0
	}
	client, err := clientOf(cmd)
	if err != nil {
		return 0
	}
	newest, err := platformConfig(ctx, client)
	if err != nil {
		return 0
	}
	return newest
}

// FleetStatus is the status of all daemons that were asked.
type FleetStatus struct {
	// Newest is the revision of the newest configuration on the platform; 0 when unknown.
	Newest   uint64             `json:"newest_revision"`
	Daemons  []api.DaemonStatus `json:"daemons"`
	Problems []string           `json:"problems"`
}

func newFleetStatus(answers []answer[api.DaemonStatus], newest uint64) FleetStatus {
	fleet := FleetStatus{Newest: newest, Daemons: []api.DaemonStatus{}, Problems: []string{}}
	for _, a := range answers {
		if a.err != nil {
			fleet.addProblem("daemon %s: no answer: %s", a.daemon.name, a.err)
			continue
		}
		fleet.Daemons = append(fleet.Daemons, a.value)
		fleet.checkDaemon(a.value)
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

// checkTarget names a target that does not answer, is at a lower term than its group, or whose
// data is old.
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

// checkGroups names groups without a primary, targets with two gates and targets that lag.
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

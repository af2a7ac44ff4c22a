package bench

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/papayacove/papayacove/standin/fleet"
	"github.com/papayacove/papayacove/standin/workload"
)

// Options configure a run.
type Options struct {
	// Examples, Binaries and Work are folders as in fleet.Options.
	Examples string
	Binaries string
	Work     string
	// Network numbers the loopback network of the fleets, which run one at a time.
	Network int
}

// part is a group of figures that is measured alone.
type part struct {
	name string
	run  func(ctx context.Context, e *environment) error
}

var parts = []part{
	{"paths", measurePaths},
	{"memory", measureMemory},
	{"failover", measureFailover},
	{"gates", measureGates},
	{"reads", measureReads},
	{"overload", measureOverload},
	{"lease", measureLease},
}

// Names returns the names of the parts in the order in which they run.
func Names() []string {
	var names []string
	for _, p := range parts {
		names = append(names, p.name)
	}
	return names
}

// Run measures the parts that are named, or all without names.
func Run(ctx context.Context, options Options, report *Report, only []string) error {
	for _, name := range only {
		if !slices.Contains(Names(), name) {
			return fmt.Errorf("no part %q; there are %s", name, strings.Join(Names(), ", "))
		}
	}
	for _, p := range parts {
		if len(only) > 0 && !slices.Contains(only, p.name) {
			continue
		}
		began := time.Now()
		if err := p.run(ctx, &environment{Report: report, options: options, part: p.name}); err != nil {
			return fmt.Errorf("part %s: %w", p.name, err)
		}
		report.Add(p.name+".duration", time.Since(began).Seconds(), "s", Unbounded)
	}
	return nil
}

// environment is what a part measures in.
type environment struct {
	*Report
	options Options
	part    string
}

// site is a deployment with the latencies of its network.
type site struct {
	// name is used in the names of figures.
	name       string
	deployment string
	oneWay     time.Duration
	callers    time.Duration
}

// The sites that the parts measure.
var (
	zeroSite      = site{name: "zero", deployment: "kelani"}
	kelaniSite    = site{name: "kelani", deployment: "kelani", oneWay: time.Millisecond, callers: time.Millisecond}
	lichtbildSite = site{name: "lichtbild", deployment: "lichtbild", oneWay: 500 * time.Microsecond, callers: 3 * time.Millisecond}
	allSites      = []site{kelaniSite, lichtbildSite}
)

const (
	// connectDelay is the time that a new connection to a target takes.
	connectDelay = 10 * time.Millisecond
	// replicaLag is the time by which replicas apply late.
	replicaLag = 20 * time.Millisecond
)

// running is a fleet with its accounts.
type running struct {
	*fleet.Fleet
	site   site
	strict workload.Account
	aged   workload.Account
	maxAge time.Duration
}

// start starts the fleet of a site with its tables.
func (e *environment) start(ctx context.Context, at site, adjust func(o *fleet.Options)) (*running, error) {
	options := fleet.Options{
		Directory: filepath.Join(e.options.Examples, at.deployment), Binaries: e.options.Binaries,
		Work: filepath.Join(e.options.Work, e.part+"-"+at.name), Network: e.options.Network,
		ConnectDelay: connectDelay, Lag: replicaLag, OneWayLatency: at.oneWay, CallerLatency: at.callers,
	}
	if adjust != nil {
		adjust(&options)
	}
	started, err := fleet.Start(ctx, options)
	if err != nil {
		return nil, err
	}
	r := &running{Fleet: started, site: at}
	r.strict, r.aged, r.maxAge = workload.Accounts(at.deployment)
	work := workload.New(started, workload.Options{Strict: r.strict, Aged: r.aged, MaxAge: r.maxAge})
	if err := work.Prepare(ctx); err != nil {
		started.Close()
		return nil, err
	}
	return r, nil
}

// figure composes the name of a figure.
func (r *running) figure(part string, words ...string) string {
	return part + "." + r.site.name + "." + strings.Join(words, ".")
}

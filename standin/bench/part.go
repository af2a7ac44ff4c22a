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

// Options configures a run of the benchmark.
type Options struct {
	// ExampleDirectory is the folder of the example deployments, Binaries that of the built programs, and Work that of logs,
	// settings and database files. Each fleet has its own folder in Work.
	ExampleDirectory string
	BinaryDirectory  string
	WorkDirectory    string
	// Network is the number of the loopback network that the fleets share, as they run one at a time.
	Network int
}

// part is a measurement of related figures that can be run alone.
type part struct {
	name string
	run  func(ctx context.Context, e *environment) error
}

var parts = []part{
	{"paths", measurePaths},
	{"memory", measureMemory},
	{"failover", measureFailover},
	{"gates", measureHolderLoss},
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

// Run measures the parts named in only, or all parts if only is empty, and adds the figures to report. It fails for
// an unknown name and stops at the first part that fails.
func Run(ctx context.Context, options Options, report *Report, only []string) error {
	for _, name := range only {
		if !slices.Contains(Names(), name) {
			return fmt.Errorf("unknown part %q; the parts are %s", name, strings.Join(Names(), ", "))
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

// environment has the options of a run and the report to which a part adds its figures.
type environment struct {
	*Report
	options Options
	part    string
}

// site is a deployment with the latencies of its network in each direction: oneWayLatency between availability zones
// and callerLatency between callers and daemons.
type site struct {
	// name is used in the names of figures.
	name          string
	deployment    string
	oneWayLatency time.Duration
	callerLatency time.Duration
}

// The sites that the parts measure.
var (
	zeroSite      = site{name: "zero", deployment: "kelani"}
	kelaniSite    = site{name: "kelani", deployment: "kelani", oneWayLatency: time.Millisecond, callerLatency: time.Millisecond}
	lichtbildSite = site{name: "lichtbild", deployment: "lichtbild", oneWayLatency: 500 * time.Microsecond, callerLatency: 3 * time.Millisecond}
	allSites      = []site{kelaniSite, lichtbildSite}
)

const (
	// connectDelay is the time that setting up a connection to a target takes.
	connectDelay = 10 * time.Millisecond
	// replicaLag is the delay between a commit and its application on a replica.
	replicaLag = 20 * time.Millisecond
)

// runningFleet is the fleet of a site with the accounts of its workload: strict reads the latest writes, aged may
// read values that are up to maxAge old.
type runningFleet struct {
	*fleet.Fleet
	site   site
	strict workload.Account
	aged   workload.Account
	maxAge time.Duration
}

// start starts the fleet of a site and prepares the tables of the workload. adjust changes the options of the fleet
// unless it is nil. The caller closes the fleet.
func (e *environment) start(ctx context.Context, s site, adjust func(o *fleet.Options)) (*runningFleet, error) {
	options := fleet.Options{
		Directory: filepath.Join(e.options.ExampleDirectory, s.deployment), BinaryDirectory: e.options.BinaryDirectory,
		WorkDirectory: filepath.Join(e.options.WorkDirectory, e.part+"-"+s.name), Network: e.options.Network,
		ConnectDelay: connectDelay, Lag: replicaLag, OneWayLatency: s.oneWayLatency, CallerLatency: s.callerLatency,
	}
	if adjust != nil {
		adjust(&options)
	}
	started, err := fleet.Start(ctx, options)
	if err != nil {
		return nil, err
	}
	r := &runningFleet{Fleet: started, site: s}
	r.strict, r.aged, r.maxAge = workload.Accounts(s.deployment)
	work := workload.New(started, workload.Options{Strict: r.strict, Aged: r.aged, MaxAge: r.maxAge})
	if err := work.Prepare(ctx); err != nil {
		started.Close()
		return nil, err
	}
	return r, nil
}

// figure returns the name of a figure: part, site and words, joined by dots.
func (r *runningFleet) figure(part string, words ...string) string {
	return part + "." + r.site.name + "." + strings.Join(words, ".")
}

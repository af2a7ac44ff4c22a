package soak

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/standin/fleet"
	"github.com/papayacove/papayacove/standin/workload"
)

const (
	// quiet bounds the time between two failures.
	shortestQuiet = 600 * time.Millisecond
	longestQuiet  = 1800 * time.Millisecond
	// shortestFault and longestFault bound the time that a failure lasts.
	shortestFault = 700 * time.Millisecond
	longestFault  = 4 * time.Second
	// pairOneIn is the share of failures that come in pairs.
	pairOneIn = 3
)

// Report is the outcome of a run.
type Report struct {
	Seed     int64
	History  *workload.History
	Verdict  workload.Verdict
	Internal int64
}

// String returns the report on one line.
func (r Report) String() string {
	return fmt.Sprintf("soak seed=%d requests=%d acked_writes=%d lost=%d duplicated=%d stale_reads=%d mixed=%d false_not_run=%d violations=%d",
		r.Seed, r.History.Requests, r.History.Acked, r.Verdict.Lost, r.Verdict.Duplicated, r.History.StaleReads,
		r.Verdict.Mixed, r.Verdict.FalseNot, int64(len(r.History.Violations))+r.Internal)
}

// IsClean reports whether every promise was kept.
func (r Report) IsClean() bool {
	v := r.Verdict
	return v.Lost+v.Duplicated+v.Mixed+v.FalseNot == 0 && len(r.History.Violations) == 0 && r.Internal == 0
}

// Run works on a fleet for a time while failures come by seed, heals all and checks.
func Run(ctx context.Context, f *fleet.Fleet, work *workload.Workload, faults []Fault, seed int64, duration time.Duration) (Report, error) {
	if err := work.Prepare(ctx); err != nil {
		return Report{}, err
	}
	watch := watchViolations(f)
	working, stop := context.WithTimeout(ctx, duration)
	defer stop()
	var parts sync.WaitGroup
	parts.Add(1)
	go func() {
		defer parts.Done()
		injectAll(working, f, faults, work.History, rand.New(rand.NewSource(seed)))
	}()
	operators := startOperators(working, f, work.History, seed)
	work.Run(working)
	parts.Wait()
	operators.finish(ctx)
	if err := work.Settle(ctx); err != nil {
		work.History.Violate("not settled: %v", err)
	}
	verdict, err := work.Check(ctx)
	if err != nil {
		work.History.Violate("not checked: %v", err)
	}
	return Report{Seed: seed, History: work.History, Verdict: verdict, Internal: watch.stop()}, nil
}

// injectAll brings failures about until ctx ends, and then heals what is left.
func injectAll[F any](ctx context.Context, f F, faults []FaultOf[F], history *workload.History, random *rand.Rand) {
	for ctx.Err() == nil {
		_ = clock.Sleep(ctx, between(random, shortestQuiet, longestQuiet))
		if ctx.Err() != nil {
			return
		}
		heals := []func(){injectOne(f, faults, history, random)}
		if random.Intn(pairOneIn) == 0 {
			_ = clock.Sleep(ctx, between(random, 0, shortestFault))
			heals = append(heals, injectOne(f, faults, history, random))
		}
		_ = clock.Sleep(ctx, between(random, shortestFault, longestFault))
		for _, heal := range heals {
			heal()
		}
		history.Fault("healed")
	}
}

func injectOne[F any](f F, faults []FaultOf[F], history *workload.History, random *rand.Rand) func() {
	fault := faults[random.Intn(len(faults))]
	what, heal := fault.Inject(f, random)
	history.Fault("FAULT %s: %s", fault.Name, what)
	return heal
}

// violationWatch sums up the violations that the programs found themselves. The counts of a
// process end with it, so they are read again and again.
type violationWatch struct {
	fleet   *fleet.Fleet
	cancel  context.CancelFunc
	done    chan struct{}
	highest map[string]int64
}

// watchInterval is the time between two looks at the counts.
const watchInterval = 300 * time.Millisecond

func watchViolations(f *fleet.Fleet) *violationWatch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &violationWatch{fleet: f, cancel: cancel, done: make(chan struct{}), highest: make(map[string]int64)}
	go func() {
		defer close(w.done)
		for ctx.Err() == nil {
			w.look()
			_ = clock.Sleep(ctx, watchInterval)
		}
	}()
	return w
}

func (w *violationWatch) look() {
	for name, daemon := range w.fleet.Daemons {
		status, err := w.fleet.Status(name)
		if err != nil {
			continue
		}
		for _, counter := range status.Counters {
			if len(counter.Name) > len(violationPrefix) && counter.Name[:len(violationPrefix)] == violationPrefix {
				key := fmt.Sprintf("%s/%d/%s", name, daemon.ID(), counter.Name)
				w.highest[key] = max(w.highest[key], counter.Value)
			}
		}
	}
}

// violationPrefix starts the names of the counters of violated invariants.
const violationPrefix = "invariant_violations."

// stop returns the number of violations.
func (w *violationWatch) stop() int64 {
	w.cancel()
	<-w.done
	w.look()
	sum := int64(0)
	for _, count := range w.highest {
		sum += count
	}
	return sum
}

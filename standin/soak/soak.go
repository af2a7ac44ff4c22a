package soak

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/standin/fleet"
	"github.com/papayacove/papayacove/standin/lines"
	"github.com/papayacove/papayacove/standin/workload"
)

const (
	// shortestPause and longestPause bound the time between the end of a fault and the next fault.
	shortestPause = 600 * time.Millisecond
	longestPause  = 1800 * time.Millisecond
	// shortestFault and longestFault bound the time that a fault lasts.
	shortestFault = 700 * time.Millisecond
	longestFault  = 4 * time.Second
	// pairOneIn sets the share of overlapping faults: with a probability of 1/pairOneIn, a second fault is injected
	// before the first one ends.
	pairOneIn = 3
)

// Report holds the results of a run.
type Report struct {
	Seed    int64
	History *workload.History
	Verdict workload.Verdict
	// InvariantViolations is the number of invariant violations that the daemons counted themselves. RunLines does not
	// read their counters and leaves it at 0.
	InvariantViolations int64
	// Statements holds the breaches of the rules of statements; nil if they were not checked.
	Statements *StatementBreaches
	// Served describes how many of the reads beside each fault were served. Only RunLines counts them.
	Served []string
}

// StatementBreaches describes the breaches of each rule of statements, and counts the statements that were checked.
type StatementBreaches struct {
	Pinned, Route []string
	Stale         lines.StaleReads
	// Unanswered are requests without a whole answer around planned work, OtherCuts those at other times or beside
	// disruptions, which are no breaches. EndedEarly are transactions that a daemon ended in the first half of its grace
	// period.
	Unanswered, OtherCuts, EndedEarly []string
	// Killed is the number of daemons that had not ended at the end of their grace period.
	Killed int
	// Records describes every run and every statement that did not run.
	Records []string
	// Run is the number of runs of callers' statements, Relayed that of those which a daemon sent for another one.
	Run, Relayed int
}

// All returns the descriptions of all breaches.
func (b *StatementBreaches) All() []string {
	var all []string
	if b != nil {
		for name, list := range map[string][]string{
			"PINNED": b.Pinned, "ROUTE": b.Route, "STALE": b.Stale.Breaches, "LOST": b.Unanswered, "DRAIN": b.EndedEarly,
		} {
			for _, breach := range list {
				all = append(all, name+" "+breach)
			}
		}
	}
	return all
}

func (b *StatementBreaches) String() string {
	if b == nil {
		return ""
	}
	return fmt.Sprintf(" pinned=%d route=%d stale=%d stale_told=%d stale_dropped=%d unanswered=%d ended_early=%d other_cuts=%d killed=%d"+
		" run=%d relayed=%d", len(b.Pinned), len(b.Route), len(b.Stale.Breaches),
		len(b.Stale.Told), len(b.Stale.Dropped), len(b.Unanswered), len(b.EndedEarly), len(b.OtherCuts), b.Killed, b.Run, b.Relayed)
}

// String returns the report as one line.
func (r Report) String() string {
	return fmt.Sprintf("soak seed=%d requests=%d acked_writes=%d lost=%d duplicated=%d stale_reads=%d mixed=%d false_not_run=%d violations=%d%v",
		r.Seed, r.History.Requests, r.History.Acked, r.Verdict.Lost, r.Verdict.Duplicated, r.History.StaleReads,
		r.Verdict.Mixed, r.Verdict.FalseNotRun, int64(len(r.History.Violations))+r.InvariantViolations, r.Statements)
}

// IsClean reports whether the run found no violation of any kind.
func (r Report) IsClean() bool {
	v := r.Verdict
	return v.Lost+v.Duplicated+v.Mixed+v.FalseNotRun == 0 && len(r.History.Violations) == 0 && r.InvariantViolations == 0 && len(r.Statements.All()) == 0
}

// Run lets the callers of a workload and two operators work on a fleet for a time while faults are injected as the seed
// draws them. It then ends all faults and checks the results. It returns an error only if the tables cannot be prepared.
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
		work.History.RecordViolation("the workload did not settle after the run: %v", err)
	}
	verdict, err := work.Check(ctx)
	if err != nil {
		work.History.RecordViolation("the rows could not be checked: %v", err)
	}
	return Report{Seed: seed, History: work.History, Verdict: verdict, InvariantViolations: watch.stop()}, nil
}

// injectAll injects faults until ctx ends. It ends each fault, also the last one, before it returns.
func injectAll[F any](ctx context.Context, f F, faults []FaultOf[F], history *workload.History, random *rand.Rand) {
	for ctx.Err() == nil {
		_ = clock.Sleep(ctx, between(random, shortestPause, longestPause))
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
		history.RecordFault("healed")
	}
}

// injectOne injects a random fault and returns the function that ends it.
func injectOne[F any](f F, faults []FaultOf[F], history *workload.History, random *rand.Rand) func() {
	fault := faults[random.Intn(len(faults))]
	what, heal := fault.Inject(f, random)
	history.RecordFault("FAULT %s: %s", fault.Name, what)
	return heal
}

// violationWatch sums up the invariant violations that the daemons count themselves. The counters of a process are lost
// when it exits, so they are read at intervals.
type violationWatch struct {
	fleet  *fleet.Fleet
	cancel context.CancelFunc
	done   chan struct{}
	// highest is the highest value seen of each counter, by daemon/pid/counter.
	highest map[string]int64
}

// watchInterval is the time between two status reads of all daemons.
const watchInterval = 300 * time.Millisecond

func watchViolations(f *fleet.Fleet) *violationWatch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &violationWatch{fleet: f, cancel: cancel, done: make(chan struct{}), highest: make(map[string]int64)}
	go func() {
		defer close(w.done)
		for ctx.Err() == nil {
			w.readCounters()
			_ = clock.Sleep(ctx, watchInterval)
		}
	}()
	return w
}

func (w *violationWatch) readCounters() {
	for name, daemon := range w.fleet.Daemons {
		status, err := w.fleet.Status(name)
		if err != nil {
			continue
		}
		for _, counter := range status.Counters {
			if len(counter.Name) > len(violationPrefix) && counter.Name[:len(violationPrefix)] == violationPrefix {
				key := fmt.Sprintf("%s/%d/%s", name, daemon.PID(), counter.Name)
				w.highest[key] = max(w.highest[key], counter.Value)
			}
		}
	}
}

// violationPrefix is the prefix of the names of the counters of invariant violations.
const violationPrefix = "invariant_violations."

// stop reads the counters a last time and returns the number of violations.
func (w *violationWatch) stop() int64 {
	w.cancel()
	<-w.done
	w.readCounters()
	sum := int64(0)
	for _, count := range w.highest {
		sum += count
	}
	return sum
}

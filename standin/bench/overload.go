package bench

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/standin/fleet"
	"github.com/papayacove/papayacove/standin/workload"
)

const (
	// slowStatement uses a slot for 50 ms, which is long compared with the work of the proxy itself.
	slowStatement = "SELECT pg_sleep(0.05)"
	// overloadStatementTimeout is the statement timeout of the daemons in this part.
	overloadStatementTimeout = 500 * time.Millisecond
	// overloadFactor is the offered load as a multiple of the peak goodput.
	overloadFactor = 10
	// overloadDuration and peakDuration are how long the overload and the peak goodput are measured.
	overloadDuration = 5 * time.Second
	peakDuration     = 3 * time.Second
	// peakCallersPerSlot is the number of callers for each slot of the group while the peak goodput is measured.
	peakCallersPerSlot = 4
	// overloadCallers is the number of callers that offer the overload; modestCallers is that of the callers of the
	// modest workspace, which offer less than the peak at the same time.
	overloadCallers = 500
	modestCallers   = 40
	// modestShare is the load of the modest workspace as a share of the peak goodput.
	modestShare = 0.3
	// goodputPercent is the least goodput of both workspaces under overload in percent of the peak.
	goodputPercent = 90
	// modestPercent is the least percentage of completed requests among the completed and refused requests of the
	// modest workspace.
	modestPercent = 90
	// refusalMs bounds the p99 of the time until a request is refused.
	refusalMs = 100
	// recoveryLimit bounds the time from the end of the overload until requests are fast again.
	recoveryLimit = 5 * time.Second
	// retryAfterPercent is the least percentage of refusals that have a retry hint.
	retryAfterPercent = 100
	// recoveryRequests is the number of requests in a row that must be fast again.
	recoveryRequests = 10
	// recoveryFactor is the time that a fast request may take as a multiple of the p50 without load.
	recoveryFactor = 2
	// recoveryInterval is the pause between two requests of the recovery.
	recoveryInterval = 20 * time.Millisecond
	// modestWorkspace is the name of the second workspace, which must not be starved by the overload of the first.
	modestWorkspace = "modest"
	// cancelledState is the SQLSTATE of a statement that its timeout cancelled.
	cancelledState = "57014"
	// retryHint is the part of a refusal's hint that says when to retry.
	retryHint = "retry after"
)

// measureOverload offers ten times the peak goodput and measures what is admitted and refused, whether another
// workspace is starved, and how long the recovery takes.
func measureOverload(ctx context.Context, e *environment) error {
	for _, s := range allSites {
		r, err := e.start(ctx, s, func(o *fleet.Options) {
			o.AdjustLoad = addModestWorkspace
			o.Adjust = func(settings *api.Settings) {
				settings.Limits.StatementTimeoutMs = overloadStatementTimeout.Milliseconds()
			}
		})
		if err != nil {
			return err
		}
		err = e.overloadSite(ctx, r)
		r.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return nil
}

// addModestWorkspace adds a copy of the deployment's first workspace, called modestWorkspace, and raises the
// connection limits of all workspaces.
func addModestWorkspace(load *fleet.PlatformLoad) error {
	if err := raiseConnectionLimits(load); err != nil {
		return err
	}
	for _, object := range load.Objects {
		if object.Kind == "workspace" {
			object.Name = modestWorkspace
			object.Data = []byte(strings.Replace(string(object.Data), `"name":"`+workspaceName(load)+`"`, `"name":"`+modestWorkspace+`"`, 1))
			load.Objects = append(load.Objects, object)
			return nil
		}
	}
	return nil
}

// workspaceName returns the name of the first workspace of a platform, or an empty string if it has none.
func workspaceName(load *fleet.PlatformLoad) string {
	for _, object := range load.Objects {
		if object.Kind == "workspace" {
			return object.Name
		}
	}
	return ""
}

func (e *environment) overloadSite(ctx context.Context, r *runningFleet) error {
	group := r.Deployment.Groups[0]
	slots := 0
	for _, spec := range group.Targets {
		slots += spec.Slots
	}
	modest := workload.Account{Workspace: modestWorkspace, User: r.strict.User, Password: r.strict.Password}
	baseline := r.offerLoad(ctx, group.Name, r.strict, 1, 0, time.Second)
	peak := r.offerLoad(ctx, group.Name, r.strict, peakCallersPerSlot*slots, 0, peakDuration)
	peakRate := float64(peak.completed.count()) / peakDuration.Seconds()
	e.Add(r.figure(e.part, "peak_goodput"), peakRate, "1/s", Unbounded)

	var overload, modestLoad *loadResult
	var loads sync.WaitGroup
	loads.Go(func() {
		period := time.Duration(overloadCallers / (overloadFactor * peakRate) * float64(time.Second))
		overload = r.offerLoad(ctx, group.Name, r.strict, overloadCallers, period, overloadDuration)
	})
	loads.Go(func() {
		period := time.Duration(modestCallers / (modestShare * peakRate) * float64(time.Second))
		modestLoad = r.offerLoad(ctx, group.Name, modest, modestCallers, period, overloadDuration)
	})
	loads.Wait()
	recovered := r.timeToRecover(ctx, group.Name, recoveryFactor*baseline.completed.percentile(50))
	e.reportOverload(r, peakRate, overload, modestLoad, recovered)
	return nil
}

func (e *environment) reportOverload(r *runningFleet, peakRate float64, overload, modestLoad *loadResult, recovered time.Duration) {
	goodput := float64(overload.completed.count()+modestLoad.completed.count()) / overloadDuration.Seconds()
	sent := overload.completed.count() + overload.refused.count()
	modestSent := max(modestLoad.completed.count()+modestLoad.refused.count(), 1)
	e.Add(r.figure(e.part, "offered"), float64(sent)/overloadDuration.Seconds(), "1/s", AtLeast(overloadFactor*peakRate/2))
	e.Add(r.figure(e.part, "goodput"), 100*goodput/peakRate, "%_of_peak", AtLeast(goodputPercent))
	e.AddDuration(r.figure(e.part, "admitted_p50"), overload.admitted.percentile(50), Unbounded)
	e.AddDuration(r.figure(e.part, "admitted_p99"), overload.admitted.percentile(99), AtMost(milliseconds(overloadStatementTimeout+2*r.site.callerLatency)))
	e.AddDuration(r.figure(e.part, "refused_p50"), overload.refused.percentile(50), Unbounded)
	e.AddDuration(r.figure(e.part, "refused_p99"), overload.refused.percentile(99), AtMost(refusalMs))
	e.Add(r.figure(e.part, "refusals_with_retry_after"), overload.retryHintPercent(), "%", AtLeast(retryAfterPercent))
	if overload.lastError != nil {
		fmt.Fprintf(e.out, "# %s: %v\n", r.site.name, overload.lastError)
	}
	e.Add(r.figure(e.part, "other_errors"), float64(overload.failed+modestLoad.failed), "1", AtMost(0))
	e.Add(r.figure(e.part, "modest_admitted"), 100*float64(modestLoad.completed.count())/float64(modestSent), "%", AtLeast(modestPercent))
	e.AddDuration(r.figure(e.part, "modest_p99"), modestLoad.completed.percentile(99), Unbounded)
	e.AddDuration(r.figure(e.part, "recovery"), recovered, AtMost(milliseconds(recoveryLimit)))
}

// loadResult is the outcome of the requests that offerLoad sent.
type loadResult struct {
	completed *latencies
	refused   *latencies
	// admitted has the completed requests and those that the statement timeout cancelled.
	admitted *latencies

	mu            sync.Mutex
	withRetryHint int64
	failed        int
	lastError     error
}

// offerLoad lets callers, which are distributed evenly over the daemons, send the slow statement for the given
// duration. Each sends one in each period, with an offset that spreads the callers over the period; if period is 0,
// it sends one after the other. The callers start when all connections are open.
func (r *runningFleet) offerLoad(ctx context.Context, group string, account workload.Account, callers int, period, duration time.Duration) *loadResult {
	l := &loadResult{completed: newLatencies(), refused: newLatencies(), admitted: newLatencies()}
	daemons := r.daemonNames()
	var connected, working sync.WaitGroup
	start := make(chan struct{})
	connected.Add(callers)
	for i := range callers {
		working.Go(func() {
			connection, err := connect(ctx, r.url(daemons[i%len(daemons)], group, account))
			connected.Done()
			if err != nil {
				l.recordFailure(err)
				return
			}
			defer func() { _ = connection.PgConn().Conn().Close() }()
			<-start
			_ = clock.Sleep(ctx, period*time.Duration(i)/time.Duration(callers))
			l.send(ctx, connection, period, time.Now().Add(duration))
		})
	}
	connected.Wait()
	close(start)
	working.Wait()
	return l
}

func (l *loadResult) send(ctx context.Context, connection *pgx.Conn, period time.Duration, end time.Time) {
	for next := time.Now(); time.Now().Before(end); next = next.Add(period) {
		if clock.Sleep(ctx, time.Until(next)) != nil {
			return
		}
		began := time.Now()
		_, err := connection.Exec(ctx, slowStatement)
		l.record(time.Since(began), err)
		if connection.IsClosed() {
			return
		}
	}
}

func (l *loadResult) record(took time.Duration, err error) {
	switch {
	case err == nil:
		l.completed.record(took)
		l.admitted.record(took)
	case isCancelled(err):
		l.admitted.record(took)
	case workload.CodeOf(err).IsNotRun():
		l.refused.record(took)
		l.recordHint(err)
	default:
		l.recordFailure(err)
	}
}

// isCancelled reports whether a statement was cancelled by its timeout.
func isCancelled(err error) bool {
	var answer *pgconn.PgError
	return errors.As(err, &answer) && answer.Code == cancelledState
}

func (l *loadResult) recordHint(err error) {
	var answer *pgconn.PgError
	if !errors.As(err, &answer) || !strings.Contains(answer.Hint, retryHint) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.withRetryHint++
}

func (l *loadResult) recordFailure(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed++
	l.lastError = err
}

// retryHintPercent returns the percentage of refusals that say when to retry, or 100 if nothing was refused.
func (l *loadResult) retryHintPercent() float64 {
	if l.refused.count() == 0 {
		return 100
	}
	return 100 * float64(l.withRetryHint) / float64(l.refused.count())
}

// timeToRecover sends requests until recoveryRequests in a row succeed and take at most normal each, or until twice the
// recoveryLimit has passed. It returns the time from its call to the end of the last request that failed or took
// longer; without such a request, the time until its connection was open; and without a connection, longestLatency.
func (r *runningFleet) timeToRecover(ctx context.Context, group string, normal time.Duration) time.Duration {
	began := time.Now()
	connection, err := connect(ctx, r.url(r.daemonNames()[0], group, r.strict))
	if err != nil {
		return longestLatency * time.Microsecond
	}
	defer closeConnection(connection)
	recoveredAt := time.Now()
	for inRow := 0; inRow < recoveryRequests && time.Since(began) < 2*recoveryLimit; {
		sent := time.Now()
		_, err := connection.Exec(ctx, slowStatement)
		inRow++
		if err != nil || time.Since(sent) > normal {
			inRow = 0
			recoveredAt = time.Now()
		}
		_ = clock.Sleep(ctx, recoveryInterval)
	}
	return recoveredAt.Sub(began)
}

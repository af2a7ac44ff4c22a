package bench

import "time"

const (
	// lagThreshold is the highest lag at which the threshold policy sends reads to a replica.
	lagThreshold = 100 * time.Millisecond
	// replicaWaitTimeout is the longest time that a read may wait for a replica before it fails.
	replicaWaitTimeout = 8 * time.Second
)

// policyResult is the result of a simulated policy for the reads of a trace: how many reads a replica served, how many
// of these did not see the last write of their session, how many failed, and how long the others waited.
type policyResult struct {
	byReplica int
	stale     int
	failed    int
	waits     *latencies
}

// policy is a simulated way to route reads. read adds one read to the result, with the time since the last write of
// its session and the lag of the replica.
type policy struct {
	name string
	read func(result *policyResult, sinceWrite, lag time.Duration)
}

// policies are the baselines for the routing of the proxy.
var policies = []policy{
	{name: "all_primary", read: func(result *policyResult, _, _ time.Duration) { result.waits.record(0) }},
	{name: "wait_on_replica", read: waitOnReplica},
	{name: "lag_threshold", read: routeByThreshold},
}

// waitOnReplica reads from the replica once it has applied the last write of the session, and fails if that takes
// longer than replicaWaitTimeout.
func waitOnReplica(result *policyResult, sinceWrite, lag time.Duration) {
	wait := max(lag-sinceWrite, 0)
	if wait > replicaWaitTimeout {
		result.failed++
		return
	}
	result.byReplica++
	result.waits.record(wait)
}

// routeByThreshold reads from the replica while its lag is at most lagThreshold and from the primary otherwise,
// without regard to the writes of the session.
func routeByThreshold(result *policyResult, sinceWrite, lag time.Duration) {
	result.waits.record(0)
	if lag > lagThreshold {
		return
	}
	result.byReplica++
	if sinceWrite < lag {
		result.stale++
	}
}

// simulate runs the baselines over the reads of a trace, with a replica that applies the log with a delay of lag, and
// reports the result of each.
func simulate(e *environment, r *runningFleet, name string, trace []tracedRead, lag time.Duration) {
	total := float64(max(len(trace), 1))
	for _, p := range policies {
		result := &policyResult{waits: newLatencies()}
		for _, read := range trace {
			p.read(result, read.sinceWrite, lag)
		}
		figure := func(what string) string { return r.figure(e.part, "baseline", name, p.name, what) }
		e.Add(figure("replica_share"), 100*float64(result.byReplica)/total, "%", Unbounded)
		e.Add(figure("stale_share"), 100*float64(result.stale)/total, "%", Unbounded)
		e.Add(figure("failed_share"), 100*float64(result.failed)/total, "%", Unbounded)
		e.AddDuration(figure("wait_p99"), result.waits.percentile(99), Unbounded)
	}
}

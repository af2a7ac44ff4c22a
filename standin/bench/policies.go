package bench

import "time"

const (
	// lagThreshold is the lag up to which the threshold policy sends reads to a replica.
	lagThreshold = 100 * time.Millisecond
	// waitLimit is the time after which a read that waits for a replica fails.
	waitLimit = 8 * time.Second
)

// policyResult is what a simulated policy does with the reads of a trace.
type policyResult struct {
	byReplica int
	stale     int
	failed    int
	waited    *latencies
}

// policy decides on one read, whose replica lags by a time.
type policy struct {
	name string
	read func(result *policyResult, sinceWrite, lag time.Duration)
}

// policies are the baselines that the routing of the proxy is compared with.
var policies = []policy{
	{name: "all_primary", read: func(result *policyResult, _, _ time.Duration) { result.waited.record(0) }},
	{name: "wait_on_replica", read: waitOnReplica},
	{name: "lag_threshold", read: routeByThreshold},
}

// waitOnReplica waits until the replica has applied the last write of the session, and fails when
// that takes too long.
func waitOnReplica(result *policyResult, sinceWrite, lag time.Duration) {
	wait := max(lag-sinceWrite, 0)
	if wait > waitLimit {
		result.failed++
		return
	}
	result.byReplica++
	result.waited.record(wait)
}

// routeByThreshold reads at the replica while its lag is low, whatever the session wrote.
func routeByThreshold(result *policyResult, sinceWrite, lag time.Duration) {
	result.waited.record(0)
	if lag > lagThreshold {
		return
	}
	result.byReplica++
	if sinceWrite < lag {
		result.stale++
	}
}

// simulate runs the baselines over the reads of a trace, with a replica that applies late by lag.
func simulate(e *environment, r *running, name string, trace []tracedRead, lag time.Duration) {
	total := float64(max(len(trace), 1))
	for _, p := range policies {
		result := &policyResult{waited: newLatencies()}
		for _, read := range trace {
			p.read(result, read.sinceWrite, lag)
		}
		figure := func(what string) string { return r.figure(e.part, "baseline", name, p.name, what) }
		e.Add(figure("replica_share"), 100*float64(result.byReplica)/total, "%", Unbounded)
		e.Add(figure("stale_share"), 100*float64(result.stale)/total, "%", Unbounded)
		e.Add(figure("failed_share"), 100*float64(result.failed)/total, "%", Unbounded)
		e.AddDuration(figure("wait_p99"), result.waited.at(99), Unbounded)
	}
}

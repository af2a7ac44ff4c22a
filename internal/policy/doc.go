// Package policy groups the decisions of papayacove as pure functions and small state machines.
//
// None of its packages does I/O or reads a clock: the caller passes the time. Most decisions are
// values that carry a typed reason and the figures that they were based on, and return the fields
// of their log line.
//
// There are two sets of packages, because papayacove serves two kinds of targets. PostgreSQL targets, which packages
// gate, router and failover serve, have their commits confirmed by a majority of the group: confirm, placement,
// promotion, readroute, retry and staleness. The targets of package engine acknowledge a commit once one replica has
// received it: leadership, loadbalance, primaryposition and takeover. Both use admission.
package policy

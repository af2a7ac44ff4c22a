// Package bench measures deployments of papayacove on loopback and compares the figures with their
// bounds: what the proxy adds to a statement, the gaps that callers see after failures, the share
// of reads that replicas serve, and the behaviour under overload.
package bench

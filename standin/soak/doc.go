// Package soak injects random faults into a fleet while callers work on it, and then checks that no promise to a caller
// was broken. The faults and their times are drawn from a seed.
package soak

// Package workload runs the requests of simulated crew leads and supervisors against a fleet. After the
// run it compares the outcomes that the callers got with the rows in the databases.
package workload

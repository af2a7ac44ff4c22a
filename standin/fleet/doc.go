// Package fleet starts a deployment as separate processes on loopback addresses: the stand-in of
// the platform, a stand-in database for each target, and the daemons. It kills, freezes and
// restarts them for tests, the demo and benchmarks.
//
// Each availability zone has a loopback network of its own, so that a process is known by its
// address and several fleets run side by side.
package fleet

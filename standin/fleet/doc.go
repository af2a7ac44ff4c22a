// Package fleet starts a deployment as separate processes on loopback addresses: the stand-in for
// the platform, a stand-in database for each target, and the daemons. It kills, freezes and
// restarts them for tests, the demo and benchmarks.
//
// Each fleet has a loopback network of its own, so that several fleets run at the same time. In it,
// each availability zone has one address, so that the address of a process shows its zone.
package fleet

// Package model holds model tests that run the production decisions of confirm, promotion and
// staleness in a simulation of a group with asynchronous replication, concurrent and paused
// promoters, paused gates, crashes, partitions, and messages that are lost, delayed or repeated.
package model

// Package model holds model tests that run the real decisions of confirm, promotion and staleness
// over a small model of a group with asynchronous replication, racing and paused promoters,
// crashes, and messages that are lost, late or repeated.
package model

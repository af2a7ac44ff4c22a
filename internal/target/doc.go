// Package target is the adapter between papayacove and a target. It is the only package that
// knows the queries that read the status of a target, fence it, promote it and make it follow a
// primary.
//
// A target is a database that uses the PostgreSQL protocol. It accepts a limited number of
// connections, its slots, and belongs to a group that has one primary per term: each promotion raises
// the term, and a fenced target refuses all lower ones. docs/TARGET.md lists what is assumed of a
// target.
package target

// Package router is responsible for the way of each statement batch from its session to the gate
// of a target: reads by floor and allowed age, writes to the primary, transactions to where they
// began. It keeps the floor of each session, so that a session reads what it wrote.
package router

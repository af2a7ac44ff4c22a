// Package gate is responsible for the targets that this daemon holds: their scarce connections
// (slots), the queue before them, transactions in progress, and the confirmation of writes.
package gate

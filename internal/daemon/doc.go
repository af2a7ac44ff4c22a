// Package daemon assembles and runs the components of one papayacove process.
package daemon

// Package daemon puts the parts of one papayacove process together.
package daemon

// Package soak brings failures about in a fleet at random times by seed while callers work.
package soak

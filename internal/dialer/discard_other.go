//go:build !linux

package dialer

import "syscall"

// DiscardInput does nothing here.
func DiscardInput(syscall.Conn) {}

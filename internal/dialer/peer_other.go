//go:build !linux

package dialer

import "syscall"

// HasPeerClosed always returns false, since this system has no POLLRDHUP. A close by the peer is noticed only at the
// end of the batch.
func HasPeerClosed(syscall.Conn) bool {
	return false
}

// HasInput always returns true, so that a read with a deadline finds out.
func HasInput(syscall.Conn) bool {
	return true
}

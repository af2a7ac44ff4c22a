package dialer

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// HasPeerClosed reports whether the peer has closed or reset the connection. It detects this also
// while data that the peer sent before is still unread. It does not block.
func HasPeerClosed(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	var events int16
	err = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if _, pollErr := unix.Poll(poll, 0); pollErr == nil {
			events = poll[0].Revents
		}
	})
	return err != nil || events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

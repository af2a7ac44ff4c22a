package dialer

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasPeerClosed reports whether the peer has closed or reset the connection. It detects this also
// while data that the peer sent before is still unread. It does not block.
func HasPeerClosed(conn syscall.Conn) bool {
	events, err := poll(conn, unix.POLLRDHUP)
	return err != nil || events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// HasInput reports whether a read from the connection would return at once: with data, with the end or with an error.
// It does not block.
func HasInput(conn syscall.Conn) bool {
	events, err := poll(conn, unix.POLLIN)
	return err != nil || events != 0
}

// poll returns which of the given events, and of those that are always reported, the connection has.
func poll(conn syscall.Conn, wanted int16) (int16, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var events int16
	var pollErr error
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: wanted}}
		for {
			if _, pollErr = unix.Poll(fds, 0); pollErr != unix.EINTR {
				break
			}
		}
		events = fds[0].Revents
	})
	return events, errors.Join(err, pollErr)
}

package dialer

import "syscall"

const (
	// maxDiscardedBytes bounds what DiscardInput discards, and discardBufferBytes one read of it.
	maxDiscardedBytes  = 1 << 20
	discardBufferBytes = 4096
)

// DiscardInput discards what has arrived on a connection and is unread, without waiting, also while another goroutine
// reads. Closing a connection with unread bytes would reset it, which destroys what is on its way to the other end.
func DiscardInput(conn syscall.Conn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	data := make([]byte, discardBufferBytes)
	// It fails only on a connection that is closed already.
	_ = raw.Control(func(fd uintptr) {
		for discarded := 0; discarded < maxDiscardedBytes; {
			n, _, err := syscall.Recvfrom(int(fd), data, syscall.MSG_DONTWAIT)
			if n <= 0 || err != nil {
				return
			}
			discarded += n
		}
	})
}

package frontend

import (
	"context"
	"crypto/tls"
	"github.com/papayacove/papayacove/internal/dialer"
	"net"
	"sync"
	"syscall"
	"time"
)

// callerWatch cancels a batch whose caller has closed its connection. The session does not read from
// the connection while a batch runs, so without the watch it would detect this only after the answer.
type callerWatch struct {
	conn   syscall.Conn
	cancel context.CancelFunc

	mutex sync.Mutex
	// timer is nil once the watch has been stopped.
	timer *time.Timer
}

// watchCaller starts the watch of one batch; stop has to be called when the batch has ended. Nothing is watched when
// the connection is not one of the operating system.
func (s *session) watchCaller(cancel context.CancelFunc) *callerWatch {
	w := &callerWatch{conn: systemConn(s.conn), cancel: cancel}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.conn != nil {
		w.timer = time.AfterFunc(callerCheckInterval, w.check)
	}
	return w
}

// systemConn returns the connection beneath TLS, or nil when it is not a connection of the operating system.
func systemConn(conn net.Conn) syscall.Conn {
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn()
	}
	system, _ := conn.(syscall.Conn)
	return system
}

// check cancels the batch when the caller has closed its connection, and schedules the next check otherwise.
func (w *callerWatch) check() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.timer == nil {
		return
	}
	if dialer.HasPeerClosed(w.conn) {
		counters.Add("callers_vanished", 1)
		w.cancel()
		return
	}
	w.timer.Reset(callerCheckInterval)
}

func (w *callerWatch) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
	w.timer = nil
}

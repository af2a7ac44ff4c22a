package main

import (
	"io"
	"net"
	"sync"
)

// relayWindow is the receive buffer of the connections of a relay: links have small windows.
const relayWindow = 64 << 10

// relay relays connections to a machine, until the machine is lost.
type relay struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	lost bool
	dark chan struct{}
}

func newRelay(target string) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target, dark: make(chan struct{})}
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

// lose makes the machine dark: open connections go silent, without a reset, and nobody takes their bytes any more. New ones are
// refused.
func (r *relay) lose() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lost {
		r.lost = true
		close(r.dark)
		_ = r.listener.Close()
	}
}

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.relay(conn)
	}
}

func (r *relay) relay(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(relayWindow)
	}
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { r.pump(conn, target) })
	directions.Go(func() { r.pump(target, conn) })
	directions.Wait()
}

// pump passes bytes on until one end closes the connection. Once the machine is lost, it leaves the connection as it is.
func (r *relay) pump(from, to net.Conn) {
	data := make([]byte, 32<<10)
	for {
		n, err := from.Read(data)
		select {
		case <-r.dark:
			<-make(chan struct{})
		default:
		}
		if n > 0 {
			if _, failed := to.Write(data[:n]); failed != nil {
				err = io.ErrClosedPipe
			}
		}
		if err != nil {
			select {
			case <-r.dark:
				<-make(chan struct{})
			default:
			}
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}

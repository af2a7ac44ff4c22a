// Package dialer opens TCP connections from the source address of the VM.
package dialer

import (
	"net"
	"net/netip"
	"time"
)

// KeepAlive ends a connection that a path has lost track of after about 5 s, also while an answer is
// awaited on it.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// New returns a dialer whose connections come from the IP number source; empty leaves the choice
// to the operating system.
func New(source string) *net.Dialer {
	dialer := &net.Dialer{KeepAliveConfig: KeepAlive}
	if address, err := netip.ParseAddr(source); err == nil {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(address, 0))
	}
	return dialer
}

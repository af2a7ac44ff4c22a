// Package dialer opens TCP connections from the source address of the VM and detects that they have failed.
package dialer

import (
	"net"
	"net/netip"
	"time"
)

// KeepAlive makes a connection fail about 5 s after the network path has lost its state (2 s idle and
// 3 probes at intervals of 1 s), also while a reply is awaited on it.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// New returns a dialer with the source IP address source. When source is not a valid address, for
// example empty, the operating system chooses one.
func New(source string) *net.Dialer {
	dialer := &net.Dialer{KeepAliveConfig: KeepAlive}
	if address, err := netip.ParseAddr(source); err == nil {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(address, 0))
	}
	return dialer
}

// Package dialer opens TCP connections from the source address of the VM.
package dialer

import (
	"net"
	"net/netip"
	"time"
)

// KeepAlivePeriod is the interval of TCP keep-alive probes.
const KeepAlivePeriod = 5 * time.Second

// New returns a dialer whose connections come from the IP number source; empty leaves the choice
// to the operating system.
func New(source string) *net.Dialer {
	dialer := &net.Dialer{KeepAlive: KeepAlivePeriod}
	if address, err := netip.ParseAddr(source); err == nil {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(address, 0))
	}
	return dialer
}

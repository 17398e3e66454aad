package process

import (
	"net"
	"net/netip"
)

// LocalAddr returns the local address for outgoing connections of a process that listens on address, an IP:port.
// Peers and firewalls thereby see this address on hosts with several ones. If the IP address is invalid or
// unspecified, LocalAddr returns nil, with which the operating system selects the local address.
func LocalAddr(address string) net.Addr {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Addr().IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: parsed.Addr().AsSlice()}
}

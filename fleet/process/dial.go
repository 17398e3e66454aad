package process

import (
	"net"
	"net/netip"
)

// LocalAddr returns the local address that outgoing connections of a process
// listening on address leave from, so that peers and firewalls see the VM's own
// address on hosts with several; nil lets the host choose.
func LocalAddr(address string) net.Addr {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Addr().IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: parsed.Addr().AsSlice()}
}

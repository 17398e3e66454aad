package process

import (
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
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

// TCPUserTimeout returns a Control hook for net.Dialer and net.ListenConfig that sets how long sent
// data may stay unacknowledged.
func TCPUserTimeout(d time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d/time.Millisecond))
		})
		if err != nil {
			return err
		}
		return optErr
	}
}

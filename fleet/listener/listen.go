package listener

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/process"
)

// Listen opens a listener for client connections. It closes a connection when the client's host acknowledges nothing for
// silenceTimeout; a client that is only slow keeps its connection.
func Listen(ctx context.Context, address ident.Address, silenceTimeout time.Duration) (*Listener, error) {
	c := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: silenceTimeout / 2, Interval: silenceTimeout / 4, Count: 2},
		Control: func(network, addr string, raw syscall.RawConn) error {
			// Accepted connections inherit the option from the listening socket.
			return process.TCPUserTimeout(silenceTimeout)(network, addr, raw)
		},
	}
	l, err := c.Listen(ctx, "tcp", string(address))
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "listen", string(address))
	}
	return &Listener{TCPListener: l.(*net.TCPListener), conns: make(map[*conn]struct{})}, nil
}

// NewServer returns an HTTP server for the connections of l. Its ReadHeaderTimeout must not be changed.
func (l *Listener) NewServer(h http.Handler, headerTimeout time.Duration) *http.Server {
	l.headerTimeout = headerTimeout
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ConnState: trackState, ConnContext: withConnection}
}

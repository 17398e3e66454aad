package gateway

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"cuminfall.example/entry/forward"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// Limits of client connections.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// Listen opens the listener for client connections. It closes a connection when the client's host
// acknowledges nothing for silenceTimeout; a client that is only slow keeps its connection.
func Listen(ctx context.Context, address ident.Address, silenceTimeout time.Duration) (*Listener, error) {
	c := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: silenceTimeout / 2, Interval: silenceTimeout / 4, Count: 2},
		Control: func(network, addr string, raw syscall.RawConn) error {
			// Accepted connections inherit the option from the listening socket.
			return forward.TCPUserTimeout(silenceTimeout)(network, addr, raw)
		},
	}
	l, err := c.Listen(ctx, "tcp", string(address))
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "listen", string(address))
	}
	return &Listener{TCPListener: l.(*net.TCPListener), conns: make(map[*callerConn]struct{})}, nil
}

// NewHTTPServer returns the HTTP server of a gateway.
func NewHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true, ConnState: trackState, ConnContext: withConn,
	}
}

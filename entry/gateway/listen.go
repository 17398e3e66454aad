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

// Limits of callers' connections.
const (
	headerWait = 10 * time.Second
	idleWait   = 2 * time.Minute
	headMost   = 64 << 10
)

// Listen opens the callers' listener. Its connections end when the caller's
// host confirms nothing for the time of silence; a caller that is only slow is kept.
func Listen(ctx context.Context, address ident.Address, silence time.Duration) (*Listener, error) {
	c := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: silence / 2, Interval: silence / 4, Count: 2},
		Control: func(network, addr string, raw syscall.RawConn) error {
			// Accepted connections take the option over from the listening socket.
			return forward.TCPUserTimeout(silence)(network, addr, raw)
		},
	}
	l, err := c.Listen(ctx, "tcp", string(address))
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "listen", string(address))
	}
	return &Listener{TCPListener: l.(*net.TCPListener), open: make(map[*callerConn]struct{})}, nil
}

// Server returns the HTTP server of a gateway.
func Server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerWait, IdleTimeout: idleWait, MaxHeaderBytes: headMost,
		DisableGeneralOptionsHandler: true, ConnState: note, ConnContext: remember,
	}
}

package gateway

import (
	"net/http"
	"time"

	"cuminfall.example/fleet/listener"
)

// Limits of client connections.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// NewHTTPServer returns the HTTP server of a gateway for the connections of l.
func NewHTTPServer(l *listener.Listener, h http.Handler) *http.Server {
	s := l.NewServer(h, headerTimeout)
	s.IdleTimeout, s.MaxHeaderBytes, s.DisableGeneralOptionsHandler = idleTimeout, maxHeaderBytes, true
	return s
}

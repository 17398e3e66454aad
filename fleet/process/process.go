package process

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// LogLevels lists the log levels that settings accept.
var LogLevels = []string{"debug", "info", "warning", "error"}

// NewLogger returns a logger that writes JSON lines at the given level or above; an unknown level means info.
func NewLogger(out io.Writer, level string) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		parsed = logrus.InfoLevel
	}
	log.SetLevel(parsed)
	return log
}

// SignalContext returns a context that is canceled at SIGTERM or SIGINT.
func SignalContext(parent context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(parent, syscall.SIGTERM, os.Interrupt)
}

// Fractions of a process's file descriptors that connections may use. The rest is for files, for connections to other
// processes of the fleet and for those that are being closed.
const (
	callerDescriptors   = 0.5
	upstreamDescriptors = 0.35
)

// ConnectionLimits returns how many connections of callers and to upstreams a process may keep open with a number of file
// descriptors. With 0 descriptors it uses the operating system's limit for this process, and returns 0 if that is
// unknown.
func ConnectionLimits(descriptors int) (callers, upstreams int) {
	if descriptors <= 0 {
		var limit syscall.Rlimit
		if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
			return 0, 0
		}
		descriptors = int(min(limit.Cur, maxDescriptors))
	}
	return int(callerDescriptors * float64(descriptors)), int(upstreamDescriptors * float64(descriptors))
}

// maxDescriptors stands for an unlimited number of file descriptors.
const maxDescriptors = 1 << 20

// AdminHandler returns the HTTP handler of the admin address, which serves /metrics and /health. The latter answers
// with status 503 if healthy returns false.
func AdminHandler(registry metrics.Registry, healthy func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(registry, w)
	})
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		if !healthy() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// Listen opens a TCP listener on an address. An error names the address.
func Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, fault.Wrap(err, fault.Internal, "listen", address)
}

// Serve runs an HTTP server on l until it is shut down, and returns nil in that case.
func Serve(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fault.Wrap(err, fault.Internal, "serve", l.Addr().String())
}

// ListenAndServe opens a TCP listener and runs an HTTP server on it until the server is shut down.
func ListenAndServe(s *http.Server, address ident.Address) error {
	l, err := Listen(string(address))
	if err != nil {
		return err
	}
	return Serve(s, l)
}

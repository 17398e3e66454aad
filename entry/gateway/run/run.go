package run

import (
	"context"
	"encoding/binary"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"cuminfall.example/entry/forward"
	"cuminfall.example/entry/gateway"
	"cuminfall.example/entry/router"
	"cuminfall.example/entry/session"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/listener"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/settings"
)

const usage = `Serve as an entry VM until SIGTERM.

Usage: entry run --settings FILE

Examples:
  entry run --settings /etc/cuminfall/entry.toml
`

// lookupMargin is how long a stopping VM goes on serving after the lookups that name it have
// expired.
const lookupMargin = time.Second

// finalSyncTimeout limits the last calls of a stopping VM to control, which abandon claims and
// return its shares. A stop must not depend on control.
const finalSyncTimeout = time.Second

// Closing of idle client connections during a graceful shutdown.
const (
	sweepInterval = 100 * time.Millisecond
	maxIdleSweeps = 10 // sweeps without a request after which a connection is closed
)

// Options configures the command.
type Options struct {
	SettingsFile string // path of the settings file
	Out          io.Writer
	Err          io.Writer
	Clock        clock.Clock
	Random       io.Reader // random source of the incarnation
}

// Main runs the program with its arguments and returns the exit code.
func Main(ctx context.Context, args []string, o Options) int {
	err := parseArgs(args, &o)
	if errors.Is(err, flag.ErrHelp) {
		_, _ = io.WriteString(o.Out, usage)
		return 0
	}
	if err == nil {
		err = New(o).Run(ctx)
	}
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(o.Err, err)
	var problems *settings.Problems
	if errors.As(err, &problems) {
		return fault.Usage.ExitCode()
	}
	return fault.Of(err).Code.ExitCode()
}

func parseArgs(args []string, o *Options) error {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
		return flag.ErrHelp
	}
	if args[0] != "run" {
		return fault.New(fault.Usage, "command line", "", "unknown command %q, allowed: run", args[0])
	}
	flags := flag.NewFlagSet("entry run", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.StringVar(&o.SettingsFile, "settings", "", "settings file")
	if err := flags.Parse(args[1:]); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return fault.New(fault.Usage, "command line", "", "%v", err)
	}
	if o.SettingsFile == "" || flags.NArg() > 0 {
		return fault.New(fault.Usage, "command line", "", "usage: entry run --settings FILE")
	}
	return nil
}

// Command implements the command "entry run".
type Command struct {
	Options
	settings Settings
	log      *logrus.Logger
	gateway  *gateway.Gateway
	forward  *forward.Client
	session  *session.Session
	registry metrics.Registry
}

// New returns a command with the default settings.
func New(o Options) *Command { return &Command{Options: o, settings: Defaults()} }

// Run serves until ctx ends, and then stops without interrupting a request.
func (c *Command) Run(ctx context.Context) error {
	if err := settings.Load(c.SettingsFile, &c.settings); err != nil {
		return err
	}
	if err := c.build(); err != nil {
		return err
	}
	// The listener, the gateway and the syncs must outlive ctx until the stop is complete.
	workCtx, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	callers, err := listener.Listen(workCtx, ident.Address(c.settings.listenAddress()), c.settings.Silence)
	if err != nil {
		return err
	}
	adminListener, err := process.Listen(c.settings.Admin)
	if err != nil {
		_ = callers.Close()
		return err
	}
	callers.MaxConns, _ = process.ConnectionLimits(0)
	server := gateway.NewHTTPServer(callers, c.gateway)
	adminServer := &http.Server{Handler: process.AdminHandler(c.registry, c.gateway.ConfigFresh), ReadHeaderTimeout: time.Second}
	failed := make(chan error, 2)
	var running sync.WaitGroup
	start := func(f func()) {
		running.Add(1)
		go func() {
			defer running.Done()
			f()
		}()
	}
	syncCtx, stopSync := context.WithCancel(workCtx)
	defer stopSync()
	start(func() { failed <- process.Serve(server, callers) })
	start(func() { failed <- process.Serve(adminServer, adminListener) })
	start(func() { c.gateway.Run(workCtx) })
	start(func() { c.session.Run(syncCtx, c.gateway) })
	c.log.WithField("name", c.settings.Name).WithField("address", c.settings.Address).Info("serving")
	select {
	case <-ctx.Done():
		err = c.stop(workCtx, server, callers, stopSync)
	case err = <-failed:
	}
	stopSync()
	_ = server.Close()
	_ = adminServer.Close()
	cancelWork()
	running.Wait()
	c.forward.Close()
	return err
}

func (c *Command) build() error {
	var randomBytes [8]byte
	if _, err := io.ReadFull(c.Random, randomBytes[:]); err != nil {
		return fault.Wrap(err, fault.Internal, "read random source", "")
	}
	// Setting the lowest bit keeps the incarnation from being 0, which means none in messages.
	incarnation := binary.LittleEndian.Uint64(randomBytes[:]) | 1
	s := c.settings
	c.log = process.NewLogger(c.Err, s.Level)
	c.registry = metrics.NewRegistry()
	control := make([]ident.Address, len(s.Control))
	for i, a := range s.Control {
		control[i] = ident.Address(a)
	}
	_, maxUpstreamConns := process.ConnectionLimits(0)
	c.forward = forward.New(forward.Options{
		ClientID: incarnation, LocalAddr: process.LocalAddr(s.listenAddress()), Clock: c.Clock, SilenceTimeout: s.Silence, DialTimeout: s.Dial,
		MaxConns: maxUpstreamConns,
	})
	c.session = session.New(session.Options{
		LocalAddr: process.LocalAddr(s.listenAddress()),
		Clock:     c.Clock, Log: c.log, ControlAddresses: control, JitterSeed: int64(incarnation), SyncInterval: s.Sync, Timeout: s.Timeout,
	})
	r := router.New(router.Config{
		VM: ident.VM(s.Name), Incarnation: ident.Incarnation(incarnation), Address: ident.Address(s.Address),
		Domain: ident.Domain(s.Domain), MaxViewAge: s.Freshness, LookupLifetime: s.Lifetime, SyncInterval: s.Sync,
	})
	c.gateway = gateway.New(gateway.Options{
		Clock: c.Clock, Log: c.log, Router: r, Forward: c.forward, Control: c.session,
		VM: ident.VM(s.Name), Incarnation: ident.Incarnation(incarnation),
		Address: ident.Address(s.Address), Domain: ident.Domain(s.Domain), Metrics: c.registry,
	})
	c.registerMetrics()
	return nil
}

// stop stops serving without interrupting a request.
func (c *Command) stop(ctx context.Context, server *http.Server, callers *listener.Listener, stopSync func()) error {
	c.log.Info("leaving")
	c.gateway.Leave()
	// Callers may use the lookups that they hold until these expire.
	lookupExpiry := c.Clock.Now().Add(c.gateway.LookupLifetime() + lookupMargin)
	for c.Clock.Now().Before(lookupExpiry) {
		if err := c.closeIdleConns(ctx, callers, maxIdleSweeps); err != nil {
			return err
		}
	}
	// Shutting down the server would reset requests in transit on connections that it closes as
	// idle.
	if err := callers.EndAccepting(ctx); err != nil {
		c.log.WithError(err).Warn("clients that connect while the listener is closed may be reset")
	}
	// Requests in progress have their own deadlines, so this wait needs no timeout.
	if err := callers.Shutdown(ctx, server); err != nil {
		return fault.Wrap(err, fault.Internal, "shut down", c.settings.Address)
	}
	stopSync()
	finalCtx, cancel := context.WithTimeout(ctx, finalSyncTimeout)
	defer cancel()
	c.gateway.Wait(finalCtx)
	// Connections to upstreams count towards this VM's shares, so they are closed before the
	// shares are returned.
	c.forward.Close()
	c.gateway.MarkEnded()
	if err := c.session.FinalSync(finalCtx, c.gateway); err != nil {
		c.log.WithError(err).Warn("could not return this VM's shares; they are released when its lease expires")
	}
	closed, crossed := callers.IdleCloses()
	c.log.WithFields(logrus.Fields{"idle": closed, "crossed": crossed}).Info("stopped")
	return nil
}

// closeIdleConns closes idle client connections and then sleeps for sweepInterval.
func (c *Command) closeIdleConns(ctx context.Context, callers *listener.Listener, idleSweeps int) error {
	callers.CloseIdle(clock.System{}.Now(), idleSweeps)
	return errors.WithStack(clock.Sleep(ctx, c.Clock, sweepInterval))
}

// metricName returns the name of the metric for a field of a group.
func metricName(group, field string) string { return group + "." + strings.ToLower(field) }

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
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/settings"
)

const usage = `Serve as an entry VM until SIGTERM.

Usage: entry run --settings FILE

Examples:
  entry run --settings /etc/cuminfall/entry.toml
`

// afterLifetime is how much longer than a lookup's lifetime a stopping VM serves.
const afterLifetime = time.Second

// farewellWait bounds what a stopping VM still wants from control: giving up
// claims and returning its shares. A stop must not depend on control.
const farewellWait = time.Second

// Closing of callers' idle connections during a planned stop.
const (
	sweepEvery = 100 * time.Millisecond
	quietCalls = 10 // sweeps without a request after which a connection is closed
	endWait    = 500 * time.Millisecond
)

// Options configures the command.
type Options struct {
	Settings string // file
	Out      io.Writer
	Err      io.Writer
	Clock    clock.Clock
	Random   io.Reader // source of the incarnation
}

// Main runs the program with its arguments and returns its exit code.
func Main(ctx context.Context, args []string, o Options) int {
	err := parse(args, &o)
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
	var bad *settings.Problems
	if errors.As(err, &bad) {
		return fault.Usage.ExitCode()
	}
	return fault.Of(err).Code.ExitCode()
}

func parse(args []string, o *Options) error {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
		return flag.ErrHelp
	}
	if args[0] != "run" {
		return fault.New(fault.Usage, "command line", "", "unknown command %q, allowed: run", args[0])
	}
	flags := flag.NewFlagSet("entry run", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.StringVar(&o.Settings, "settings", "", "settings file")
	if err := flags.Parse(args[1:]); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return fault.New(fault.Usage, "command line", "", "%v", err)
	}
	if o.Settings == "" || flags.NArg() > 0 {
		return fault.New(fault.Usage, "command line", "", "usage: entry run --settings FILE")
	}
	return nil
}

// Command is the command "entry run".
type Command struct {
	Options
	settings Settings
	log      *logrus.Logger
	gateway  *gateway.Gateway
	forward  *forward.Client
	session  *session.Session
	registry metrics.Registry
}

// New returns the command.
func New(o Options) *Command { return &Command{Options: o, settings: Defaults()} }

// Run serves until ctx ends, and then stops as planned.
func (c *Command) Run(ctx context.Context) error {
	if err := settings.Load(c.Settings, &c.settings); err != nil {
		return err
	}
	if err := c.build(); err != nil {
		return err
	}
	// What callers and control need outlives ctx until the stop is complete.
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	callers, err := gateway.Listen(work, ident.Address(c.settings.bind()), c.settings.Silence)
	if err != nil {
		return err
	}
	admin, err := process.Listen(c.settings.Admin)
	if err != nil {
		_ = callers.Close()
		return err
	}
	server := gateway.Server(c.gateway)
	adminServer := &http.Server{Handler: process.AdminHandler(c.registry, c.gateway.Fresh), ReadHeaderTimeout: time.Second}
	failed := make(chan error, 2)
	var running sync.WaitGroup
	start := func(f func()) {
		running.Add(1)
		go func() {
			defer running.Done()
			f()
		}()
	}
	syncing, endSync := context.WithCancel(work)
	defer endSync()
	start(func() { failed <- process.Serve(server, callers) })
	start(func() { failed <- process.Serve(adminServer, admin) })
	start(func() { c.gateway.Run(work) })
	start(func() { c.session.Run(syncing, c.gateway) })
	c.log.WithField("name", c.settings.Name).WithField("address", c.settings.Address).Info("serving")
	select {
	case <-ctx.Done():
		err = c.stop(work, server, callers, endSync)
	case err = <-failed:
	}
	endSync()
	_ = server.Close()
	_ = adminServer.Close()
	end()
	running.Wait()
	c.forward.Close()
	return err
}

func (c *Command) build() error {
	var seed [8]byte
	if _, err := io.ReadFull(c.Random, seed[:]); err != nil {
		return fault.Wrap(err, fault.Internal, "read random source", "")
	}
	// 0 means no incarnation in messages.
	incarnation := binary.LittleEndian.Uint64(seed[:]) | 1
	s := c.settings
	c.log = process.NewLogger(c.Err, s.Level)
	c.registry = metrics.NewRegistry()
	control := make([]ident.Address, len(s.Control))
	for i, a := range s.Control {
		control[i] = ident.Address(a)
	}
	c.forward = forward.New(forward.Options{
		Origin: incarnation, LocalAddr: process.LocalAddr(s.bind()), Clock: c.Clock, SilenceTimeout: s.Silence, DialTimeout: s.Dial,
	})
	c.session = session.New(session.Options{
		LocalAddr: process.LocalAddr(s.bind()),
		Clock:     c.Clock, Log: c.log, Control: control, JitterSeed: int64(incarnation), SyncInterval: s.Sync, Timeout: s.Timeout,
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
	c.measure()
	return nil
}

// stop ends service without interrupting a request.
func (c *Command) stop(ctx context.Context, server *http.Server, callers *gateway.Listener, endSync func()) error {
	c.log.Info("leaving")
	c.gateway.Leave()
	// Callers may use the lookups that they hold until these expire.
	until := c.Clock.Now().Add(c.gateway.Lifetime() + afterLifetime)
	for c.Clock.Now().Before(until) {
		if err := c.sweep(ctx, callers, quietCalls); err != nil {
			return err
		}
	}
	// The server would reset what is on its way on connections that it closes as idle.
	last := c.Clock.Now().Add(endWait)
	for callers.CloseIdle(c.Clock.Now(), 1) > 0 && c.Clock.Now().Before(last) {
		if err := clock.Sleep(ctx, c.Clock, sweepEvery/10); err != nil {
			return errors.WithStack(err)
		}
	}
	// In-flight requests have their own deadlines, so the wait needs none.
	if err := c.shutdown(ctx, server, callers); err != nil {
		return fault.Wrap(err, fault.Internal, "shut down", c.settings.Address)
	}
	endSync()
	farewell, stop := context.WithTimeout(ctx, farewellWait)
	defer stop()
	c.gateway.Wait(farewell)
	// Upstreams' connections are shares too, and are closed before they are returned.
	c.forward.Close()
	c.gateway.End()
	if err := c.session.End(farewell, c.gateway); err != nil {
		c.log.WithError(err).Warn("shares are not returned; their lease ends by itself")
	}
	c.log.Info("stopped")
	return nil
}

func (c *Command) sweep(ctx context.Context, callers *gateway.Listener, calls int) error {
	callers.CloseIdle(c.Clock.Now(), calls)
	return errors.WithStack(clock.Sleep(ctx, c.Clock, sweepEvery))
}

// shutdown ends the server. It goes on closing new connections without a
// request, for which the server alone would wait up to 5 s.
func (c *Command) shutdown(ctx context.Context, server *http.Server, callers *gateway.Listener) error {
	done := make(chan error, 1)
	go func() { done <- server.Shutdown(ctx) }()
	for {
		select {
		case err := <-done:
			return err
		case <-c.Clock.After(sweepEvery):
			callers.CloseIdle(c.Clock.Now(), 1)
		}
	}
}

// name turns a field's name into a metric's.
func name(group, field string) string { return group + "." + strings.ToLower(field) }

package runcmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"cuminfall.example/control/ledger"
	"cuminfall.example/control/server"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/settings"
)

// Bounds of a planned stop.
const (
	handoverTime = 3 * time.Second
	drainTime    = 5 * time.Second // exchanges last 1 s at most
)

// Member is a running member of the control group.
type Member interface {
	server.Replica
	// Run takes part in the group until ctx ends.
	Run(ctx context.Context) error
	// Handler serves the other members.
	Handler() http.Handler
	// Handover gives up leadership to a caught-up member.
	Handover(ctx context.Context) error
}

// Environment is what a member is opened with.
type Environment struct {
	Settings *server.Settings
	Ledger   *ledger.Ledger
	Clock    clock.Clock
	Log      logrus.FieldLogger
	Metrics  metrics.Registry
}

// Options are the inputs of the command.
type Options struct {
	Settings string
	Logs     io.Writer
	Clock    clock.Clock
	// Open opens this member's data folder.
	Open func(Environment) (Member, error)
}

// New reads the command line.
func New(args []string, errs io.Writer, c clock.Clock, open func(Environment) (Member, error)) (*Options, error) {
	o := &Options{Logs: errs, Clock: c, Open: open}
	flags := flag.NewFlagSet("control run", flag.ContinueOnError)
	flags.SetOutput(errs)
	flags.StringVar(&o.Settings, "settings", "", "settings `file` (TOML)")
	flags.Usage = func() {
		fmt.Fprint(errs, "Runs one member of the control group until SIGTERM.\n\n"+
			"Example:\n  control run --settings control.toml\n\n")
		flags.PrintDefaults()
	}
	if err := flags.Parse(args); err != nil {
		return nil, fault.New(fault.Usage, "control run", "", "%v", err)
	}
	if o.Settings == "" || flags.NArg() > 0 {
		return nil, fault.New(fault.Usage, "control run", "", "--settings is required, and nothing else")
	}
	return o, nil
}

// Run serves until ctx ends, then hands over leadership and finishes exchanges.
func (o *Options) Run(ctx context.Context) error {
	s := server.DefaultSettings()
	if err := settings.Load(o.Settings, s); err != nil {
		return err
	}
	log := process.NewLogger(o.Logs, s.Level)
	env := Environment{
		Settings: s, Ledger: ledger.New(), Clock: o.Clock,
		Log: log.WithField("member", s.Name), Metrics: metrics.NewRegistry(),
	}
	member, err := o.Open(env)
	if err != nil {
		return err
	}
	srv := server.New(server.Options{
		Replica: member, Ledger: env.Ledger, Clock: o.Clock, Log: env.Log, Metrics: env.Metrics, Timings: s.Timings(),
	})
	return o.serve(ctx, env, member, srv)
}

func (o *Options) serve(ctx context.Context, env Environment, member Member, srv *server.Server) error {
	s := env.Settings
	public, err := process.Listen(s.Bind())
	if err != nil {
		return err
	}
	admin, err := process.Listen(string(s.Admin))
	if err != nil {
		return fault.Wrap(public.Close(), fault.Internal, "listen", string(s.Admin))
	}
	mux := http.NewServeMux()
	mux.Handle("/", member.Handler())
	srv.Register(mux)
	main := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	side := &http.Server{Handler: process.AdminHandler(env.Metrics, func() bool { return !member.Group().GetCut() }), ReadHeaderTimeout: time.Second}

	// The member and its servers outlive ctx, because a handover needs them.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return process.Serve(main, public) })
	group.Go(func() error { return process.Serve(side, admin) })
	group.Go(func() error { return member.Run(work) })
	group.Go(func() error { return srv.Run(work) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			env.Log.Info("stopping")
		case <-work.Done():
		}
		defer stop()
		return shutdown(work, env.Log, member, main, side)
	})
	env.Log.WithField("address", s.Address).Info("serving")
	return group.Wait()
}

// shutdown hands over leadership and lets exchanges end.
func shutdown(work context.Context, log logrus.FieldLogger, member Member, servers ...*http.Server) error {
	if _, _, leads := member.Leadership(); leads {
		ctx, cancel := context.WithTimeout(work, handoverTime)
		if err := member.Handover(ctx); err != nil {
			log.WithError(err).Warning("no member took over leadership")
		}
		cancel()
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(work), drainTime)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			return fault.Wrap(err, fault.Internal, "shut down", s.Addr)
		}
	}
	return nil
}

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
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/listener"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/settings"
)

// Time limits of the steps of a graceful shutdown.
const (
	handoverTimeout = 3 * time.Second
	drainTimeout    = 5 * time.Second // requests take at most 1 s
)

// Member is a running member of the control group.
type Member interface {
	server.Replica
	// Run takes part in the control group until ctx ends.
	Run(ctx context.Context) error
	// Handler returns the handler for requests of other members.
	Handler() http.Handler
	// Handover transfers leadership to a member whose log is up to date.
	Handover(ctx context.Context) error
}

// Environment holds the settings and dependencies with which a member is opened.
type Environment struct {
	Settings *server.Settings
	Ledger   *ledger.Ledger
	Clock    clock.Clock
	Log      logrus.FieldLogger
	Metrics  metrics.Registry
}

// Options are the flags and dependencies of the command.
type Options struct {
	SettingsFile string
	Logs         io.Writer
	Clock        clock.Clock
	// Open opens the member whose data folder the settings name.
	Open func(Environment) (Member, error)
}

// New parses the arguments of the command line. Errors have the code fault.Usage.
func New(args []string, stderr io.Writer, c clock.Clock, open func(Environment) (Member, error)) (*Options, error) {
	o := &Options{Logs: stderr, Clock: c, Open: open}
	flags := flag.NewFlagSet("control run", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.StringVar(&o.SettingsFile, "settings", "", "settings `file` (TOML)")
	flags.Usage = func() {
		fmt.Fprint(stderr, "Runs one member of the control group until SIGTERM.\n\n"+
			"Example:\n  control run --settings control.toml\n\n")
		flags.PrintDefaults()
	}
	if err := flags.Parse(args); err != nil {
		return nil, fault.New(fault.Usage, "control run", "", "%v", err)
	}
	if o.SettingsFile == "" || flags.NArg() > 0 {
		return nil, fault.New(fault.Usage, "control run", "", "--settings is required and no other arguments are allowed")
	}
	return o, nil
}

// Run serves until ctx ends, then hands over leadership and finishes the requests in progress.
func (o *Options) Run(ctx context.Context) error {
	s := server.DefaultSettings()
	if err := settings.Load(o.SettingsFile, s); err != nil {
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
	mux := http.NewServeMux()
	mux.Handle("/", member.Handler())
	srv.Register(mux)
	public, err := listener.Open(ctx, ident.Address(s.ListenAddress()), mux)
	if err != nil {
		return err
	}
	admin, err := listener.Open(ctx, ident.Address(s.Admin), process.AdminHandler(env.Metrics, func() bool { return !member.GroupStatus().GetCut() }))
	if err != nil {
		public.Close()
		return err
	}

	// The member and its servers keep running after ctx ends, because a handover needs them.
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serveCtx := errgroup.WithContext(serveCtx)
	group.Go(public.Serve)
	group.Go(admin.Serve)
	group.Go(func() error { return member.Run(serveCtx) })
	group.Go(func() error { return srv.Run(serveCtx) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			env.Log.Info("stopping")
		case <-serveCtx.Done():
		}
		defer stop()
		return shutdown(serveCtx, env.Log, member, public, admin)
	})
	env.Log.WithField("address", s.Address).Info("serving")
	return group.Wait()
}

// shutdown hands over leadership and waits for the requests in progress.
func shutdown(serveCtx context.Context, log logrus.FieldLogger, member Member, servers ...*listener.Server) error {
	if _, _, leads := member.Leadership(); leads {
		ctx, cancel := context.WithTimeout(serveCtx, handoverTimeout)
		if err := member.Handover(ctx); err != nil {
			log.WithError(err).Warning("handover failed: no member took over leadership")
		}
		cancel()
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(serveCtx), drainTimeout)
	defer cancel()
	var stops errgroup.Group
	for _, s := range servers {
		stops.Go(func() error { return fault.Wrap(s.Stop(ctx), fault.Internal, "shut down", "") })
	}
	return stops.Wait()
}

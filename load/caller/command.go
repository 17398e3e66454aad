package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/settings"
	"cuminfall.example/load/command"
)

// Options holds the flags of the command load call.
type Options struct {
	SettingsFile string
	Seed         uint64
	Duration     time.Duration
	Direct       bool
	JSON         bool
	CheckOnly    bool
}

// Command returns the command load call, which sends traffic and reports on it.
func Command() command.Command {
	return command.Command{Name: "call", Summary: "send open-loop traffic of workspaces and report on it", Run: run}
}

func run(c command.Console, args []string) error {
	var o Options
	set := command.Flags(c, "call", "--settings FILE [--seed N] [--duration D] [--direct] [--json]",
		"load call --settings call.toml",
		"load call --settings call.toml --duration 10s --seed 7 --json",
		"load call --settings call.toml --direct")
	set.StringVar(&o.SettingsFile, "settings", "", "TOML `file` with services, workspaces and entry VMs")
	set.Uint64Var(&o.Seed, "seed", 0, "seed of the arrivals; 0 means the seed in the settings")
	set.DurationVar(&o.Duration, "duration", 0, "length of the measurement; 0 means the length in the settings")
	set.BoolVar(&o.Direct, "direct", false, "call the stand-ins without entry VMs")
	set.BoolVar(&o.JSON, "json", false, "write the report as JSON")
	set.BoolVar(&o.CheckOnly, "check", false, "check the settings and exit")
	if err := command.Parse(set, args, "settings"); err != nil {
		return err
	}
	s := Defaults()
	if err := settings.Load(o.SettingsFile, &s); err != nil || o.CheckOnly {
		return err
	}
	if o.Seed != 0 {
		s.Seed = o.Seed
	}
	if o.Duration != 0 {
		s.Duration = o.Duration
	}
	ctx, cancel := process.SignalContext(context.Background())
	defer cancel()
	return o.run(ctx, c, &s)
}

func (o *Options) run(ctx context.Context, c command.Console, s *Settings) error {
	name := "entry"
	var path Path = NewDirectPath(c.Clock)
	if o.Direct {
		name = "direct"
	} else {
		if len(s.EntryAddresses) == 0 {
			return fault.New(fault.Usage, "read settings", o.SettingsFile, "entries: got none, expected at least one entry VM or --direct")
		}
		path = NewEntryPath(s, c.Clock)
	}
	stop, err := ServeAdmin(s.Admin)
	if err != nil {
		return err
	}
	defer stop()
	runner := &Runner{Settings: s, Path: path, Clock: c.Clock, IDPrefix: NewIDPrefix(c.Clock)}
	out, _, err := runner.Measure(ctx)
	if err != nil {
		return err
	}
	out.Name, out.Path = "call", name
	return out.Print(c.Out, o.JSON)
}

// ServeAdmin serves the metrics of the Go runtime on the admin address until stop is called. It returns an
// error if it can't listen on the address.
func ServeAdmin(address string) (stop func(), err error) {
	l, err := process.Listen(address)
	if err != nil {
		return nil, err
	}
	registry := metrics.NewRegistry()
	metrics.RegisterRuntimeMemStats(registry)
	server := &http.Server{Handler: process.AdminHandler(registry, func() bool { return true })}
	go process.Serve(server, l)
	return func() { server.Close() }, nil
}

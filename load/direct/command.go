package direct

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/settings"
	"cuminfall.example/load/caller"
	"cuminfall.example/load/command"
)

// Options are the flags of load direct.
type Options struct {
	Settings string
	Mode     string
	Workers  int
	Duration time.Duration
	JSON     bool
}

// Command returns the command load direct.
func Command() command.Command {
	return command.Command{Name: "direct", Summary: "compare an entry VM with calling stand-ins, or measure its throughput", Run: run}
}

func run(c command.Console, args []string) error {
	var o Options
	set := command.Flags(c, "direct", "--settings FILE [--mode paired|requests|lookups] [--json]",
		"load direct --settings call.toml",
		"load direct --settings call.toml --mode lookups --workers 64 --duration 5s",
		"load direct --settings call.toml --mode requests --workers 64 --json")
	set.StringVar(&o.Settings, "settings", "", "TOML `file` of load call; services name their endpoints under direct")
	set.StringVar(&o.Mode, "mode", "paired", "paired comparison, or closed loop of requests or lookups at the first entry VM")
	set.IntVar(&o.Workers, "workers", 32, "workers of a closed loop")
	set.DurationVar(&o.Duration, "duration", 0, "length of the measurement; 0 means the one in the settings")
	set.BoolVar(&o.JSON, "json", false, "write the figures as JSON")
	if err := command.Parse(set, args, "settings"); err != nil {
		return err
	}
	if o.Workers < 1 || o.Workers > 4096 {
		return fault.New(fault.Usage, "read flags", "", "--workers is 1 to 4096")
	}
	s := caller.Defaults()
	if err := settings.Load(o.Settings, &s); err != nil {
		return err
	}
	if len(s.EntryAddresses) == 0 {
		return fault.New(fault.Usage, "read settings", o.Settings, "entries are required")
	}
	if o.Duration != 0 {
		s.Duration = o.Duration
	}
	ctx, cancel := process.SignalContext(context.Background())
	defer cancel()
	return o.run(ctx, c, &s)
}

func (o *Options) run(ctx context.Context, c command.Console, s *caller.Settings) error {
	l := loop{clock: c.Clock, workers: o.Workers, span: s.Duration}
	switch o.Mode {
	case "paired":
		path := &alternating{entry: caller.NewEntryPath(s, c.Clock), direct: caller.NewDirectPath(c.Clock)}
		runner := &caller.Runner{Settings: s, Path: path, Clock: c.Clock, IDPrefix: caller.NewIDPrefix(c.Clock)}
		list := Compare(runner.Send(ctx), s.Warmup)
		if o.JSON {
			return writeJSON(c.Out, list)
		}
		return printComparisons(c.Out, list)
	case "requests":
		l.do = requests(s, c.Clock, caller.NewIDPrefix(c.Clock))
	case "lookups":
		l.do = lookups(s)
	default:
		return fault.New(fault.Usage, "read flags", "", "--mode is paired, requests or lookups")
	}
	t := l.run(ctx)
	t.Mode = o.Mode
	t.VM = ident.Address(s.EntryAddresses[0])
	if o.JSON {
		return writeJSON(c.Out, t)
	}
	_, err := fmt.Fprintf(c.Out, "%s at %s: %.0f per second, %d done, %d failed, %d workers, p50 %s, p99 %s\n",
		t.Mode, t.VM, float64(t.Rate), t.Done, t.Failed, t.Workers, t.P50, t.P99)
	return fault.Wrap(err, fault.Internal, "write figures", "")
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return fault.Wrap(encoder.Encode(value), fault.Internal, "write figures", "")
}

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

// Options holds the flags of load direct.
type Options struct {
	SettingsFile string
	Mode         string
	Workers      int
	Duration     time.Duration
	JSON         bool
}

// Command returns the load direct command.
func Command() command.Command {
	return command.Command{Name: "direct", Summary: "compare calls through an entry VM with direct calls of stand-ins, or measure its throughput", Run: run}
}

func run(c command.Console, args []string) error {
	var o Options
	flags := command.Flags(c, "direct", "--settings FILE [--mode paired|requests|lookups] [--json]",
		"load direct --settings call.toml",
		"load direct --settings call.toml --mode lookups --workers 64 --duration 5s",
		"load direct --settings call.toml --mode requests --workers 64 --json")
	flags.StringVar(&o.SettingsFile, "settings", "", "TOML `file` with the settings of load call; each service lists its endpoints under direct")
	flags.StringVar(&o.Mode, "mode", "paired", "paired for a comparison, or requests or lookups for a closed loop at the first entry VM")
	flags.IntVar(&o.Workers, "workers", 32, "number of workers of a closed loop")
	flags.DurationVar(&o.Duration, "duration", 0, "duration of the measurement; 0 uses the one in the settings")
	flags.BoolVar(&o.JSON, "json", false, "write the figures as JSON")
	if err := command.Parse(flags, args, "settings"); err != nil {
		return err
	}
	if o.Workers < 1 || o.Workers > 4096 {
		return fault.New(fault.Usage, "read flags", "", "--workers must be 1 to 4096")
	}
	s := caller.Defaults()
	if err := settings.Load(o.SettingsFile, &s); err != nil {
		return err
	}
	if len(s.EntryAddresses) == 0 {
		return fault.New(fault.Usage, "read settings", o.SettingsFile, "entries must list at least one entry VM")
	}
	if o.Duration != 0 {
		s.Duration = o.Duration
	}
	ctx, cancel := process.SignalContext(context.Background())
	defer cancel()
	return o.run(ctx, c, &s)
}

func (o *Options) run(ctx context.Context, c command.Console, s *caller.Settings) error {
	loop := closedLoop{clock: c.Clock, workers: o.Workers, duration: s.Duration}
	switch o.Mode {
	case "paired":
		path := &alternatingPath{entry: caller.NewEntryPath(s, c.Clock), direct: caller.NewDirectPath(c.Clock)}
		runner := &caller.Runner{Settings: s, Path: path, Clock: c.Clock, IDPrefix: caller.NewIDPrefix(c.Clock)}
		list := Compare(runner.Send(ctx), s.Warmup)
		if o.JSON {
			return writeJSON(c.Out, list)
		}
		return printComparisons(c.Out, list)
	case "requests":
		loop.operation = requestOperation(s, c.Clock, caller.NewIDPrefix(c.Clock))
	case "lookups":
		loop.operation = lookupOperation(s)
	default:
		return fault.New(fault.Usage, "read flags", "", "--mode must be paired, requests or lookups")
	}
	throughput := loop.run(ctx)
	throughput.Mode = o.Mode
	throughput.VM = ident.Address(s.EntryAddresses[0])
	if o.JSON {
		return writeJSON(c.Out, throughput)
	}
	_, err := fmt.Fprintf(c.Out, "%s at %s: %.0f per second, %d done, %d failed, %d workers, p50 %s, p99 %s\n",
		throughput.Mode, throughput.VM, float64(throughput.RequestRate), throughput.Done, throughput.Failed, throughput.Workers, throughput.P50, throughput.P99)
	return fault.Wrap(err, fault.Internal, "write figures", "")
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return fault.Wrap(encoder.Encode(value), fault.Internal, "write figures", "")
}

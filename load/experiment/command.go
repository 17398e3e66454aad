package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/settings"
	"cuminfall.example/load/baseline"
	"cuminfall.example/load/caller"
	"cuminfall.example/load/command"
	"cuminfall.example/load/deployment"
	"cuminfall.example/load/report"
)

// Options holds the name of an experiment and the flags of the command load experiment.
type Options struct {
	Name         string
	SettingsFile string
	Deployment   string
	Path         string
	SamplesFile  string
	Seed         uint64
	Short        bool
	JSON         bool
}

// Command returns the command load experiment, which runs one experiment and reports its figures.
func Command() command.Command {
	return command.Command{Name: "experiment", Summary: "run a load experiment against the fleet or a baseline", Run: runCommand}
}

func runCommand(c command.Console, args []string) error {
	o := Options{}
	if len(args) > 0 && !strings.HasPrefix(args[0], "-") {
		o.Name = args[0]
		args = args[1:]
	}
	set := command.Flags(c, "experiment", "NAME --deployment D --settings FILE [--seed N] [--short] [--path P] [--json]",
		append(helpLines(),
			"load experiment steady --deployment revontuli --settings experiment.toml --seed 1",
			"load experiment burst --deployment emberdeck --settings experiment.toml --short --json",
			"load experiment reports --deployment revontuli --settings experiment.toml --path least-load")...)
	set.StringVar(&o.SettingsFile, "settings", "", "TOML `file` with the addresses of the processes")
	set.StringVar(&o.Deployment, "deployment", "", "revontuli or emberdeck")
	set.StringVar(&o.Path, "path", throughEntry, "entry, or a baseline: "+strings.Join(baseline.Names, ", "))
	set.StringVar(&o.SamplesFile, "samples", "", "write each request that was not answered to this `file`, one JSON object per line")
	set.Uint64Var(&o.Seed, "seed", 1, "seed of the arrivals")
	set.BoolVar(&o.Short, "short", false, "run for 10 seconds instead of 38")
	set.BoolVar(&o.JSON, "json", false, "write the report as JSON")
	if err := command.Parse(set, args, "settings", "deployment"); err != nil {
		return err
	}
	return o.run(c)
}

// helpLines returns a line of help for each experiment, and an empty line.
func helpLines() []string {
	var lines []string
	for _, e := range All() {
		lines = append(lines, fmt.Sprintf("%-11s %s", e.Name, e.Summary))
	}
	return append(lines, "")
}

func (o *Options) run(c command.Console) error {
	e, ok := findExperiment(o.Name)
	if !ok {
		return fault.New(fault.Usage, "choose experiment", "", "unknown experiment %q, expected one of %s", o.Name, strings.Join(Names(), ", "))
	}
	if err := o.checkPath(e); err != nil {
		return err
	}
	shape, err := deployment.Find(o.Deployment)
	if err != nil {
		return err
	}
	s := Defaults()
	if err := settings.Load(o.SettingsFile, &s); err != nil {
		return err
	}
	s.Call.Seed = o.Seed
	s.Call.Warmup, s.Call.Duration = longWarmup, longDuration
	if o.Short {
		s.Call.Warmup, s.Call.Duration = shortWarmup, shortDuration
	}
	ctx, cancel := process.SignalContext(context.Background())
	defer cancel()
	r := &run{
		Experiment: e, settings: &s, deployment: shape, path: o.Path, clock: c.Clock, ctx: ctx,
		client: &http.Client{Timeout: 10 * time.Second}, idPrefix: caller.NewIDPrefix(c.Clock),
	}
	out, err := r.perform()
	if restoreErr := r.restoreStandIns(); err == nil {
		err = restoreErr
	}
	if err == nil && o.SamplesFile != "" {
		err = writeUnanswered(o.SamplesFile, r.samples)
	}
	if err != nil {
		return err
	}
	return out.Print(c.Out, o.JSON)
}

// writeUnanswered writes the samples of the requests that were not answered, one JSON object per line.
func writeUnanswered(path string, samples []report.Sample) error {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	for i := range samples {
		if samples[i].Kind == report.Answered {
			continue
		}
		if err := encoder.Encode(&samples[i]); err != nil {
			return fault.Wrap(err, fault.Internal, "write samples", path)
		}
	}
	return fault.Wrap(os.WriteFile(path, b.Bytes(), 0o644), fault.Internal, "write samples", path)
}

func (o *Options) checkPath(e Experiment) error {
	if o.Path == throughEntry {
		return nil
	}
	for _, name := range baseline.Names {
		if name != o.Path {
			continue
		}
		if e.NeedsFleet {
			return fault.New(fault.Usage, "choose path", "", "experiment %s acts on the fleet, so it cannot run on a baseline", e.Name)
		}
		return nil
	}
	return fault.New(fault.Usage, "choose path", "", "unknown path %q, expected one of entry, %s", o.Path, strings.Join(baseline.Names, ", "))
}

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

// Options are the flags of load experiment.
type Options struct {
	Name       string
	Settings   string
	Deployment string
	Path       string
	Samples    string
	Seed       uint64
	Short      bool
	JSON       bool
}

// Command returns the command load experiment.
func Command() command.Command {
	return command.Command{Name: "experiment", Summary: "run one of the experiments by which the fleet is judged", Run: start}
}

func start(c command.Console, args []string) error {
	o := Options{}
	if len(args) > 0 && !strings.HasPrefix(args[0], "-") {
		o.Name = args[0]
		args = args[1:]
	}
	set := command.Flags(c, "experiment", "NAME --deployment D --settings FILE [--seed N] [--short] [--path P] [--json]",
		append(list(),
			"load experiment steady --deployment revontuli --settings experiment.toml --seed 1",
			"load experiment burst --deployment emberdeck --settings experiment.toml --short --json",
			"load experiment reports --deployment revontuli --settings experiment.toml --path least-load")...)
	set.StringVar(&o.Settings, "settings", "", "TOML `file` with the addresses of the processes")
	set.StringVar(&o.Deployment, "deployment", "", "revontuli or emberdeck")
	set.StringVar(&o.Path, "path", throughEntry, "entry, or a baseline: "+strings.Join(baseline.Names, ", "))
	set.StringVar(&o.Samples, "samples", "", "write each request that was not answered to this `file`, one JSON object a line")
	set.Uint64Var(&o.Seed, "seed", 1, "seed of the arrivals")
	set.BoolVar(&o.Short, "short", false, "ten seconds in place of 38")
	set.BoolVar(&o.JSON, "json", false, "write the report as JSON")
	if err := command.Parse(set, args, "settings", "deployment"); err != nil {
		return err
	}
	return o.run(c)
}

// list returns a line of help for each experiment.
func list() []string {
	var lines []string
	for _, e := range All() {
		lines = append(lines, fmt.Sprintf("%-11s %s", e.Name, e.Summary))
	}
	return append(lines, "")
}

func (o *Options) run(c command.Console) error {
	e, ok := find(o.Name)
	if !ok {
		return fault.New(fault.Usage, "choose experiment", "", "unknown experiment %q: %s", o.Name, strings.Join(Names(), ", "))
	}
	if err := o.check(e); err != nil {
		return err
	}
	shape, err := deployment.Find(o.Deployment)
	if err != nil {
		return err
	}
	s := Defaults()
	if err := settings.Load(o.Settings, &s); err != nil {
		return err
	}
	s.Call.Seed = o.Seed
	s.Call.Warmup, s.Call.Duration = longWarmup, longSpan
	if o.Short {
		s.Call.Warmup, s.Call.Duration = shortWarmup, shortSpan
	}
	ctx, cancel := process.SignalContext(context.Background())
	defer cancel()
	r := &run{
		Experiment: e, set: &s, shape: shape, path: o.Path, clock: c.Clock, ctx: ctx,
		client: &http.Client{Timeout: 10 * time.Second}, tag: caller.NewTag(c.Clock),
	}
	out, err := r.perform()
	if restoreErr := r.restore(); err == nil {
		err = restoreErr
	}
	if err == nil && o.Samples != "" {
		err = writeFailures(o.Samples, r.samples)
	}
	if err != nil {
		return err
	}
	return out.Print(c.Out, o.JSON)
}

// writeFailures writes the samples of requests that got no answer.
func writeFailures(path string, samples []report.Sample) error {
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

func (o *Options) check(e Experiment) error {
	if o.Path == throughEntry {
		return nil
	}
	for _, name := range baseline.Names {
		if name != o.Path {
			continue
		}
		if e.Fleet {
			return fault.New(fault.Usage, "choose path", "", "experiment %s acts on the fleet, so baselines cannot run it", e.Name)
		}
		return nil
	}
	return fault.New(fault.Usage, "choose path", "", "unknown path %q: entry, %s", o.Path, strings.Join(baseline.Names, ", "))
}

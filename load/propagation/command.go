package propagation

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/settings"
	"cuminfall.example/load/command"
	"cuminfall.example/load/experiment"
)

// Options holds the flags of the command load inforce.
type Options struct {
	SettingsFile string
	Changes      int
	JSON         bool
}

// Command returns the command load inforce, which measures how long changes take to be in force.
func Command() command.Command {
	return command.Command{Name: "inforce", Summary: "measure how long granted and withdrawn keys take to be in force on all entry VMs", Run: run}
}

func run(c command.Console, args []string) error {
	var o Options
	set := command.Flags(c, "inforce", "--settings FILE [--changes N] [--json]",
		"load inforce --settings experiment.toml",
		"load inforce --settings experiment.toml --changes 100 --json")
	set.StringVar(&o.SettingsFile, "settings", "", "TOML `file` of load experiment")
	set.IntVar(&o.Changes, "changes", 60, "number of changes, 2 to 1000; they alternately grant and withdraw a key")
	set.BoolVar(&o.JSON, "json", false, "write the figures as JSON")
	if err := command.Parse(set, args, "settings"); err != nil {
		return err
	}
	if o.Changes < 2 || o.Changes > 1000 {
		return fault.New(fault.Usage, "read flags", "", "--changes: expected 2 to 1000")
	}
	s := experiment.Defaults()
	if err := settings.Load(o.SettingsFile, &s); err != nil {
		return err
	}
	if len(s.ControlAddresses) == 0 || len(s.Call.EntryAddresses) == 0 {
		return fault.New(fault.Usage, "read settings", o.SettingsFile, "control, call.entries: expected at least one address in each")
	}
	ctx, cancel := process.SignalContext(context.Background())
	defer cancel()
	m := &measurement{settings: &s, clock: c.Clock, client: &http.Client{
		Timeout: exchangeTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4},
	}}
	out, err := m.run(ctx, o.Changes)
	if err != nil {
		return err
	}
	if o.JSON {
		encoder := json.NewEncoder(c.Out)
		encoder.SetIndent("", "  ")
		return fault.Wrap(encoder.Encode(out), fault.Internal, "write figures", "")
	}
	for _, f := range []struct {
		name string
		Figures
	}{{"granted", out.Granted}, {"withdrawn", out.Withdrawn}} {
		_, err := fmt.Fprintf(c.Out, "%s: %d changes on %d VMs: p50 %s, p99 %s, worst %s after acceptance; worst %s after the first send\n",
			f.name, f.Count, out.VMs, f.P50, f.P99, f.Max, f.MaxSinceSend.Round(time.Millisecond))
		if err != nil {
			return fault.Wrap(err, fault.Internal, "write figures", "")
		}
	}
	return nil
}

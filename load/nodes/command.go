package nodes

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"sort"
	"strings"
	"time"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/process"
	"cuminfall.example/load/command"
)

// Bounds of a run. They keep one machine usable for others: each session has a connection of its own.
const (
	mostSessions   = 600
	mostSpan       = 55 * time.Second
	mostBlocks     = 200_000
	mostWorkspaces = 5_000
	mostUpstreams  = 4_000
	mostCarried    = 2_000_000 // blocks times sessions, some 50 bytes each that one change sends
)

// Options are the flags of load nodes.
type Options struct {
	Control    []string
	Admin      []string
	Processes  []string
	Count      int
	Seconds    float64
	Warm       time.Duration
	Period     time.Duration
	Changes    float64
	Operator   string
	Credential string
	Regions    int
	Blocks     int
	Workspaces int
	Upstreams  int
	Demands    int
	JSON       bool
}

// Command returns the command load nodes.
func Command() command.Command {
	return command.Command{Name: "nodes", Summary: "run stand-in entry sessions against a control group and measure its cost", Run: run}
}

func run(c command.Console, args []string) error {
	var o Options
	var control, admin, processes, credential string
	set := command.Flags(c, "nodes", "--control ADDRESSES --count N --seconds S [--json]",
		"load nodes --control 127.0.0.1:7601,127.0.0.1:7602,127.0.0.1:7603 --count 100 --seconds 10",
		"load nodes --control 127.0.0.1:7601 --admin 127.0.0.1:7651 --processes 4711 --count 300 --seconds 10 \\",
		"  --operator admin --credential group/credential --workspaces 8 --changes 2 --json")
	set.StringVar(&control, "control", "", "`addresses` of control members, with commas")
	set.StringVar(&admin, "admin", "", "admin `addresses` of control members, for their metrics")
	set.StringVar(&processes, "processes", "", "`ids` of processes whose CPU time and memory are read")
	set.IntVar(&o.Count, "count", 100, "sessions, 1 to 600")
	set.Float64Var(&o.Seconds, "seconds", 10, "length of the measurement, up to 55")
	set.DurationVar(&o.Warm, "warm", 4*time.Second, "time between the first exchange of all sessions and the measurement")
	set.DurationVar(&o.Period, "period", 200*time.Millisecond, "time between syncs of a session")
	set.Float64Var(&o.Changes, "changes", 0, "changes per second to section drains while measuring")
	set.StringVar(&o.Operator, "operator", "", "operator that makes changes")
	set.StringVar(&credential, "credential", "", "`file` with the operator's credential")
	set.IntVar(&o.Regions, "regions", 3, "regions written to section places, two failure domains each")
	set.IntVar(&o.Blocks, "blocks", 0, "client blocks written to section places")
	set.IntVar(&o.Workspaces, "workspaces", 0, "workspaces with one key each written to section workspaces")
	set.IntVar(&o.Upstreams, "upstreams", 0, "upstreams announced and renewed by the sessions")
	set.IntVar(&o.Demands, "demands", 0, "workspaces of which each session wants a share")
	set.BoolVar(&o.JSON, "json", false, "write the figures as JSON")
	if err := command.Parse(set, args, "control"); err != nil {
		return err
	}
	o.Control, o.Admin, o.Processes = list(control), list(admin), list(processes)
	if credential != "" {
		text, err := os.ReadFile(credential)
		if err != nil {
			return fault.New(fault.Usage, "read credential", credential, "%v", err)
		}
		o.Credential = strings.TrimSpace(string(text))
	}
	if err := o.check(); err != nil {
		return err
	}
	ctx, cancel := process.SignalContext(context.Background())
	defer cancel()
	r, err := newRunner(&o, c.Clock).run(ctx)
	if err != nil {
		return err
	}
	if !o.JSON {
		return r.print(c.Out)
	}
	encoder := json.NewEncoder(c.Out)
	encoder.SetIndent("", "  ")
	return fault.Wrap(encoder.Encode(r), fault.Internal, "write figures", "")
}

func list(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// check reports all flags that are out of range at once.
func (o *Options) check() error {
	var faults []string
	fail := func(flag, got, allowed string) {
		faults = append(faults, fmt.Sprintf("--%s: got %q, allowed: %s", flag, got, allowed))
	}
	within := func(flag string, value, low, high float64) {
		if !(value >= low && value <= high) {
			fail(flag, fmt.Sprint(value), fmt.Sprintf("%g to %g", low, high))
		}
	}
	for flag, addresses := range map[string][]string{"control": o.Control, "admin": o.Admin} {
		for _, a := range addresses {
			if p, err := netip.ParseAddrPort(a); err != nil || !p.Addr().IsLoopback() {
				fail(flag, a, "loopback IP:port, with commas")
			}
		}
	}
	for _, p := range o.Processes {
		if p == "" || strings.Trim(p, "0123456789") != "" {
			fail("processes", p, "process ids with commas")
		}
	}
	within("count", float64(o.Count), 1, mostSessions)
	within("seconds", o.Seconds, 0.1, mostSpan.Seconds())
	within("changes", o.Changes, 0, 100)
	within("regions", float64(o.Regions), 1, 100)
	within("blocks", float64(o.Blocks), 0, mostBlocks)
	within("blocks times count", float64(o.Blocks*o.Count), 0, mostCarried)
	within("workspaces", float64(o.Workspaces), 0, mostWorkspaces)
	within("upstreams", float64(o.Upstreams), 0, mostUpstreams)
	within("demands", float64(o.Demands), 0, float64(o.Workspaces))
	within("warm seconds", o.Warm.Seconds(), 0, 30)
	within("period seconds", o.Period.Seconds(), 0.01, 10)
	if o.writes() && (o.Operator == "" || o.Credential == "") {
		fail("operator", o.Operator, "an operator with --credential, where sections are written")
	}
	if len(faults) == 0 {
		return nil
	}
	sort.Strings(faults)
	return fault.New(fault.Usage, "read flags", "", "%s", strings.Join(faults, "; "))
}

// writes reports whether the run changes the document.
func (o *Options) writes() bool {
	return o.Changes > 0 || o.Blocks > 0 || o.Workspaces > 0 || o.Upstreams > 0
}

func (o *Options) vm(i int) ident.VM { return ident.VM(fmt.Sprintf("node%04d", i)) }

func (o *Options) domain(i int) ident.Domain {
	return ident.Domain(fmt.Sprintf("r%d-%c", i/2%o.Regions, 'a'+i%2))
}

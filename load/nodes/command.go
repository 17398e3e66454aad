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

// Limits of a run. They keep the host usable for other processes, since each session has its own connection.
const (
	maxSessions        = 600
	maxDuration        = 55 * time.Second
	maxBlocks          = 200_000
	maxWorkspaces      = 5_000
	maxUpstreams       = 4_000
	maxBlockDeliveries = 2_000_000 // maximum of blocks times sessions: a change sends about 50 bytes per block to each session
)

// Options holds the flags of the command load nodes.
type Options struct {
	ControlAddresses  []string
	AdminAddresses    []string
	ProcessIDs        []string
	Sessions          int
	Seconds           float64
	WarmUp            time.Duration
	SyncInterval      time.Duration
	ChangeRate        float64
	Operator          string
	Credential        string
	Regions           int
	Blocks            int
	Workspaces        int
	Upstreams         int
	DemandsPerSession int
	JSON              bool
}

// Command returns the command load nodes, which runs simulated sessions and reports their cost.
func Command() command.Command {
	return command.Command{Name: "nodes", Summary: "run simulated entry sessions against a control group and measure their cost", Run: run}
}

func run(c command.Console, args []string) error {
	var o Options
	var control, admin, processes, credential string
	set := command.Flags(c, "nodes", "--control ADDRESSES --count N --seconds S [--json]",
		"load nodes --control 127.0.0.1:7601,127.0.0.1:7602,127.0.0.1:7603 --count 100 --seconds 10",
		"load nodes --control 127.0.0.1:7601 --admin 127.0.0.1:7651 --processes 4711 --count 300 --seconds 10 \\",
		"  --operator admin --credential group/credential --workspaces 8 --changes 2 --json")
	set.StringVar(&control, "control", "", "`addresses` of control members, separated by commas")
	set.StringVar(&admin, "admin", "", "admin `addresses` of control members whose metrics are read, separated by commas")
	set.StringVar(&processes, "processes", "", "`ids` of processes whose CPU time and memory are read, separated by commas")
	set.IntVar(&o.Sessions, "count", 100, "number of sessions, 1 to 600")
	set.Float64Var(&o.Seconds, "seconds", 10, "length of the measurement in seconds, up to 55")
	set.DurationVar(&o.WarmUp, "warm", 4*time.Second, "time between the first exchange of all sessions and the measurement")
	set.DurationVar(&o.SyncInterval, "period", 200*time.Millisecond, "time between syncs of a session")
	set.Float64Var(&o.ChangeRate, "changes", 0, "changes per second to section drains during the measurement")
	set.StringVar(&o.Operator, "operator", "", "name of the operator that changes the document")
	set.StringVar(&credential, "credential", "", "`file` with the operator's credential")
	set.IntVar(&o.Regions, "regions", 3, "number of regions in section places, with two failure domains each")
	set.IntVar(&o.Blocks, "blocks", 0, "number of client address blocks in section places")
	set.IntVar(&o.Workspaces, "workspaces", 0, "number of workspaces in section workspaces, with one key each")
	set.IntVar(&o.Upstreams, "upstreams", 0, "number of upstreams that are announced and that the sessions renew")
	set.IntVar(&o.DemandsPerSession, "demands", 0, "number of workspaces of which each session requests a share")
	set.BoolVar(&o.JSON, "json", false, "write the figures as JSON")
	if err := command.Parse(set, args, "control"); err != nil {
		return err
	}
	o.ControlAddresses, o.AdminAddresses, o.ProcessIDs = splitList(control), splitList(admin), splitList(processes)
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

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// check returns one error that lists all invalid flags.
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
	for flag, addresses := range map[string][]string{"control": o.ControlAddresses, "admin": o.AdminAddresses} {
		for _, a := range addresses {
			if p, err := netip.ParseAddrPort(a); err != nil || !p.Addr().IsLoopback() {
				fail(flag, a, "loopback IP:port, separated by commas")
			}
		}
	}
	for _, p := range o.ProcessIDs {
		if p == "" || strings.Trim(p, "0123456789") != "" {
			fail("processes", p, "process ids, separated by commas")
		}
	}
	within("count", float64(o.Sessions), 1, maxSessions)
	within("seconds", o.Seconds, 0.1, maxDuration.Seconds())
	within("changes", o.ChangeRate, 0, 100)
	within("regions", float64(o.Regions), 1, 100)
	within("blocks", float64(o.Blocks), 0, maxBlocks)
	within("blocks times count", float64(o.Blocks*o.Sessions), 0, maxBlockDeliveries)
	within("workspaces", float64(o.Workspaces), 0, maxWorkspaces)
	within("upstreams", float64(o.Upstreams), 0, maxUpstreams)
	within("demands", float64(o.DemandsPerSession), 0, float64(o.Workspaces))
	within("warm seconds", o.WarmUp.Seconds(), 0, 30)
	within("period seconds", o.SyncInterval.Seconds(), 0.01, 10)
	if o.changesDocument() && (o.Operator == "" || o.Credential == "") {
		fail("operator", o.Operator, "an operator with --credential, since the document is changed")
	}
	if len(faults) == 0 {
		return nil
	}
	sort.Strings(faults)
	return fault.New(fault.Usage, "read flags", "", "%s", strings.Join(faults, "; "))
}

// changesDocument reports whether the run changes the document, which requires an operator.
func (o *Options) changesDocument() bool {
	return o.ChangeRate > 0 || o.Blocks > 0 || o.Workspaces > 0 || o.Upstreams > 0
}

func (o *Options) vmName(i int) ident.VM { return ident.VM(fmt.Sprintf("node%04d", i)) }

func (o *Options) domainName(i int) ident.Domain {
	return ident.Domain(fmt.Sprintf("r%d-%c", i/2%o.Regions, 'a'+i%2))
}

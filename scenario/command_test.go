package scenario

import (
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"cuminfall.example/load/command"
	"cuminfall.example/load/relay"
)

// params are the key=value arguments of a script command.
type params map[string]string

// parseParams parses the arguments of a command and fails the script on one that is not key=value.
func parseParams(ts *testscript.TestScript, args []string) params {
	p := params{}
	for _, a := range args {
		name, value, ok := strings.Cut(a, "=")
		if !ok {
			ts.Fatalf("argument %q is not key=value", a)
		}
		p[name] = value
	}
	return p
}

// textOr returns the value of a parameter, or fallback if it is not given.
func (p params) textOr(name, fallback string) string {
	if v, ok := p[name]; ok {
		return v
	}
	return fallback
}

// intOr returns a parameter as a number, or fallback if it is not given. It panics on any other text.
func (p params) intOr(name string, fallback int) int {
	n, err := strconv.Atoi(p.textOr(name, strconv.Itoa(fallback)))
	if err != nil {
		panic(err)
	}
	return n
}

// durationOr returns a parameter as a duration, or fallback if it is not given. It panics on any other text.
func (p params) durationOr(name string, fallback time.Duration) time.Duration {
	d, err := time.ParseDuration(p.textOr(name, fallback.String()))
	if err != nil {
		panic(err)
	}
	return d
}

// fleetOf returns the fleet of the running script.
func fleetOf(ts *testscript.TestScript) *fleet { return ts.Value("fleet").(*fleet) }

// forEachProcess returns a command that calls act for each process named in its arguments.
func forEachProcess(act func(*fleet, string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, name := range args {
			ts.Check(act(fleetOf(ts), name))
		}
	}
}

// forEachLink returns a command that calls act for the links, in both directions, between the process named first
// and each process named after it. Without such names it means all other control members and entry VMs.
func forEachLink(act func(*relay.Link)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		f := fleetOf(ts)
		others := args[1:]
		if len(others) == 0 {
			others = f.processOrder
		}
		for _, other := range others {
			if other == args[0] || other == "upstream" {
				continue
			}
			list, err := f.links(args[0], other)
			ts.Check(err)
			for _, l := range list {
				act(l)
			}
		}
	}
}

func cutLink(l *relay.Link)     { l.SetState(relay.LinkState{Cut: relay.CutBoth}) }
func healLink(l *relay.Link)    { l.SetState(relay.LinkState{}) }
func silenceLink(l *relay.Link) { l.SilenceConnections() }

// cmdSlow delays both directions between two processes: slow A B 50ms.
func cmdSlow(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[2])
	ts.Check(err)
	list, err := fleetOf(ts).links(args[0], args[1])
	ts.Check(err)
	for _, l := range list {
		l.SetState(relay.LinkState{Delay: command.TextDuration{Duration: d}})
	}
}

// cmdFleet deploys a fleet, sets $KEY to a key of workspace acme and repeats a request to each entry VM until it is
// served. With warm=no it sends requests to entry1 only, so that the others have no shares of slots yet.
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	p := parseParams(ts, args)
	ts.Check(f.deploy(p))
	cmdKey(ts, false, []string{"KEY", "acme"})
	for _, name := range f.processOrder {
		if strings.HasPrefix(name, "entry") && (name == "entry1" || p["warm"] != "no") {
			cmdUntil(ts, false, []string{"10s", "entry=" + name, "path=/read/first", "key=" + ts.Getenv("KEY"), "want=200"})
		}
	}
}

// cmdKey creates a key of a workspace: key KEY acme sets $KEY to the key and $KEY_ID to its id.
func cmdKey(ts *testscript.TestScript, _ bool, args []string) {
	c := exec.Command(filepath.Join(bin, "cuminfall"), "key", "create", "--workspace", args[1])
	c.Dir = ts.Getenv("WORK")
	for _, name := range []string{"CUMINFALL_CONTROL", "CUMINFALL_OPERATOR", "CUMINFALL_CREDENTIAL"} {
		c.Env = append(c.Env, name+"="+ts.Getenv(name))
	}
	out, err := c.Output()
	ts.Check(err)
	key := strings.TrimSpace(string(out))
	ts.Setenv(args[0], key)
	ts.Setenv(args[0]+"_ID", strings.Split(key, "_")[1])
}

// cmdSleep pauses the script: sleep 500ms.
func cmdSleep(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// cmdSend sends one request and checks its response: send entry=entry1 path=/read/x key=$KEY want=200.
func cmdSend(ts *testscript.TestScript, negated bool, args []string) {
	p := parseParams(ts, args)
	a := fleetOf(ts).send(p)
	ts.Logf("%s", a)
	if mismatch := a.mismatch(p); (mismatch != "") != negated {
		ts.Fatalf("send: %s: %s", a, mismatch)
	}
}

// cmdUntil repeats a request until its response is as expected, or fails at the timeout: until 5s entry=... want=401.
func cmdUntil(ts *testscript.TestScript, _ bool, args []string) {
	timeout, err := time.ParseDuration(args[0])
	ts.Check(err)
	p := parseParams(ts, args[1:])
	startedAt := time.Now()
	for {
		a := fleetOf(ts).send(p)
		mismatch := a.mismatch(p)
		if mismatch == "" {
			ts.Logf("after %s: %s", time.Since(startedAt).Round(time.Millisecond), a)
			return
		}
		if time.Since(startedAt) > timeout {
			ts.Fatalf("until %s: %s: %s", timeout, a, mismatch)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// cmdAwait runs a program repeatedly until its output matches a regular expression, or fails at the timeout:
// await 10s PATTERN cuminfall status.
func cmdAwait(ts *testscript.TestScript, _ bool, args []string) {
	timeout, err := time.ParseDuration(args[0])
	ts.Check(err)
	pattern, err := regexp.Compile(args[1])
	ts.Check(err)
	startedAt := time.Now()
	for {
		err := ts.Exec(args[2], args[3:]...)
		out := ts.ReadFile("stdout") + ts.ReadFile("stderr")
		if pattern.MatchString(out) {
			ts.Logf("after %s: matched", time.Since(startedAt).Round(time.Millisecond))
			return
		}
		if time.Since(startedAt) > timeout {
			ts.Fatalf("await %s: no match for %s (%v):\n%s", timeout, pattern, err, out)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// cmdChanges makes n changes, which must all be accepted: changes 60 creates the workspaces w1 to w60.
func cmdChanges(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	for i := 1; i <= n; i++ {
		ts.Check(fleetOf(ts).runProgram("cuminfall", "workspace", "create", "w"+strconv.Itoa(i), "--rate", "1", "--burst", "1"))
	}
}

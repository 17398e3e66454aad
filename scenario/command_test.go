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

// params are the key=value arguments of a command.
type params map[string]string

func parse(ts *testscript.TestScript, args []string) params {
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

func (p params) text(name, fallback string) string {
	if v, ok := p[name]; ok {
		return v
	}
	return fallback
}

func (p params) count(name string, fallback int) int {
	n, err := strconv.Atoi(p.text(name, strconv.Itoa(fallback)))
	if err != nil {
		panic(err)
	}
	return n
}

func (p params) span(name string, fallback time.Duration) time.Duration {
	d, err := time.ParseDuration(p.text(name, fallback.String()))
	if err != nil {
		panic(err)
	}
	return d
}

func fleetOf(ts *testscript.TestScript) *fleet { return ts.Value("fleet").(*fleet) }

// each makes a command that acts on the processes it names.
func each(act func(*fleet, string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, name := range args {
			ts.Check(act(fleetOf(ts), name))
		}
	}
}

// link makes a command that acts on the links from and to one process; without others it means all of its links.
func link(act func(*relay.Link)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		f := fleetOf(ts)
		others := args[1:]
		if len(others) == 0 {
			others = f.order
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

func cut(l *relay.Link)     { l.SetState(relay.LinkState{Cut: relay.CutBoth}) }
func heal(l *relay.Link)    { l.SetState(relay.LinkState{}) }
func silence(l *relay.Link) { l.SilenceConnections() }

// cmdSlow delays each direction between two processes: slow A B 50ms.
func cmdSlow(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[2])
	ts.Check(err)
	list, err := fleetOf(ts).links(args[0], args[1])
	ts.Check(err)
	for _, l := range list {
		l.SetState(relay.LinkState{Delay: command.TextDuration{Duration: d}})
	}
}

// cmdFleet deploys a fleet and gives the script a key of workspace acme in $KEY.
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	p := parse(ts, args)
	ts.Check(f.deploy(p))
	cmdKey(ts, false, []string{"KEY", "acme"})
	for _, name := range f.order {
		if strings.HasPrefix(name, "entry") && (name == "entry1" || p["warm"] != "no") {
			cmdUntil(ts, false, []string{"10s", "entry=" + name, "path=/read/first", "key=" + ts.Getenv("KEY"), "want=200"})
		}
	}
}

// cmdKey creates a key and sets variables to it and its id: key KEY acme sets $KEY and $KEY_ID.
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

func cmdSleep(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// cmdSend sends one request: send entry=entry1 path=/read/x key=$KEY want=200.
func cmdSend(ts *testscript.TestScript, neg bool, args []string) {
	p := parse(ts, args)
	a := fleetOf(ts).send(p)
	ts.Logf("%s", a)
	if why := a.differs(p); (why != "") != neg {
		ts.Fatalf("send: %s: %s", a, why)
	}
}

// cmdUntil repeats a request until it is answered as wanted: until 5s entry=... want=401.
func cmdUntil(ts *testscript.TestScript, _ bool, args []string) {
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	p := parse(ts, args[1:])
	began := time.Now()
	for {
		a := fleetOf(ts).send(p)
		why := a.differs(p)
		if why == "" {
			ts.Logf("after %s: %s", time.Since(began).Round(time.Millisecond), a)
			return
		}
		if time.Since(began) > limit {
			ts.Fatalf("until %s: %s: %s", limit, a, why)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// cmdAwait repeats a program until its output matches: await 10s PATTERN cuminfall status.
func cmdAwait(ts *testscript.TestScript, _ bool, args []string) {
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	pattern, err := regexp.Compile(args[1])
	ts.Check(err)
	began := time.Now()
	for {
		err := ts.Exec(args[2], args[3:]...)
		out := ts.ReadFile("stdout") + ts.ReadFile("stderr")
		if pattern.MatchString(out) {
			ts.Logf("after %s: matched", time.Since(began).Round(time.Millisecond))
			return
		}
		if time.Since(began) > limit {
			ts.Fatalf("await %s: no match for %s (%v):\n%s", limit, pattern, err, out)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// cmdChanges makes n accepted changes: each creates a workspace.
func cmdChanges(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	for i := 1; i <= n; i++ {
		ts.Check(fleetOf(ts).program("cuminfall", "workspace", "create", "w"+strconv.Itoa(i), "--rate", "1", "--burst", "1"))
	}
}

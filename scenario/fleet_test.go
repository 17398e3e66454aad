package scenario

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/load/relay"
	"cuminfall.example/load/upstream"
)

// Last octets and ports of a script's network.
const (
	firstNet     = 20
	firstControl = 10
	firstEntry   = 30
	upstreamHost = 60
	frontPort    = 7100 // where others connect
	listenPort   = 7109 // where the process listens, behind its front
	adminPort    = 7110
)

const credential = "scenario-credential"

// domains are the failure domains of a scenario fleet, two in each of three regions.
var domains = []string{"north-a", "south-a", "west-a", "north-b", "south-b", "west-b"}

// process is one program of a fleet.
type process struct {
	name string
	host string
	args []string
	cmd  *exec.Cmd
	done chan struct{} // closed when the program has ended
	code int
}

// fleet is a deployment on a loopback network of its own.
type fleet struct {
	dir      string
	net      int
	guard    net.Listener // keeps the network reserved
	procs    map[string]*process
	order    []string
	fronts   map[string]*relay.HostRelay
	traffics map[string]*traffic
	client   *http.Client
	before   map[ident.Address]upstream.Status // at the last check of the record
}

func newFleet(dir string) (*fleet, error) {
	n, guard, err := network()
	if err != nil {
		return nil, err
	}
	return &fleet{
		dir: dir, net: n, guard: guard, procs: map[string]*process{}, fronts: map[string]*relay.HostRelay{},
		traffics: map[string]*traffic{}, client: &http.Client{Timeout: 30 * time.Second},
	}, nil
}

func (f *fleet) host(last int) string { return fmt.Sprintf("127.%d.0.%d", firstNet+f.net, last) }

func (f *fleet) controls() string {
	list := make([]string, 3)
	for i := range list {
		list[i] = fmt.Sprintf("%s:%d", f.host(firstControl+i+1), frontPort)
	}
	return strings.Join(list, ",")
}

func quote(list string) string { return `["` + strings.ReplaceAll(list, ",", `", "`) + `"]` }

func (f *fleet) write(name, format string, args ...any) error {
	return os.WriteFile(filepath.Join(f.dir, name), fmt.Appendf(nil, format, args...), 0o600)
}

// deploy starts control members, entry VMs and stand-in upstreams and applies a document.
func (f *fleet) deploy(p params) error {
	if err := f.write("credential", credential); err != nil {
		return err
	}
	hash := fmt.Sprintf("%x", sha256.Sum256([]byte(credential)))
	owners := "[[operator]]\nname = \"admin\"\nhash = %q\nsections = [\"places\", \"services\", \"workspaces\", \"drains\", \"shifts\", \"owners\"]\n" +
		"[[operator]]\nname = \"drainer\"\nhash = %q\nsections = [\"drains\"]\n[[monitor]]\nname = \"monitor\"\nhash = %q\n"
	if err := f.write("owners.toml", owners, hash, hash, hash); err != nil {
		return err
	}
	for i := 1; i <= 3; i++ {
		if err := f.add("control", i, firstControl+i, fmt.Sprintf("data = %q\npeers = %s\n%s", filepath.Join(f.dir, fmt.Sprintf("control%d", i)), quote(f.controls()), strings.ReplaceAll(p["control"], ";", "\n"))); err != nil {
			return err
		}
	}
	if err := f.program("control", "init", "--settings", "control1.toml", "--owners", "owners.toml"); err != nil {
		return err
	}
	for i := 1; i <= 3; i++ {
		if err := f.start(fmt.Sprintf("control%d", i)); err != nil {
			return err
		}
	}
	if err := f.formed(); err != nil {
		return err
	}
	if err := f.document(p); err != nil {
		return err
	}
	for i := 1; i <= p.count("entry", 3); i++ {
		extra := fmt.Sprintf("domain = %q\ncontrol = %s\n%s", domains[(i-1)%len(domains)], quote(f.controls()), p["settings"])
		if err := f.add("entry", i, firstEntry+i, extra); err != nil {
			return err
		}
		if err := f.start(fmt.Sprintf("entry%d", i)); err != nil {
			return err
		}
	}
	return f.upstreams(p)
}

// formed waits until the group has three voters; before that the loss of one can stop it.
func (f *fleet) formed() error {
	var out []byte
	for range 200 {
		c := exec.Command(filepath.Join(bin, "cuminfall"), "status", "--control", f.controls())
		out, _ = c.CombinedOutput()
		if strings.Contains(string(out), "  leader ") && strings.Count(string(out), "  follower ") == 2 {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.Errorf("the control group has not formed: %s", out)
}

// add makes the settings and the front of one process.
func (f *fleet) add(kind string, i, last int, extra string) error {
	name := fmt.Sprintf("%s%d", kind, i)
	host := f.host(last)
	front := relay.NewHostRelay(fmt.Sprintf("%s:%d", host, frontPort), fmt.Sprintf("%s:%d", host, listenPort), clock.System{}, quiet())
	if err := front.Start(); err != nil {
		return err
	}
	f.fronts[name] = front
	f.procs[name] = &process{name: name, host: host, args: []string{kind, "run", "--settings", name + ".toml"}}
	f.order = append(f.order, name)
	return f.write(name+".toml", "name = %q\naddress = \"%s:%d\"\nlisten = \"%s:%d\"\nadmin = \"%s:%d\"\nlevel = \"info\"\n%s",
		name, host, frontPort, host, listenPort, host, adminPort, extra)
}

func quiet() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

func (f *fleet) document(p params) error {
	places := ""
	for _, d := range domains {
		if strings.HasSuffix(d, "-a") {
			places += fmt.Sprintf("[[region]]\nname = %q\ncapacity = %d\n", strings.TrimSuffix(d, "-a"), p.count("capacity", 0))
		}
	}
	for _, d := range domains {
		places += fmt.Sprintf("[[domain]]\nname = %q\nregion = %q\n", d, d[:len(d)-2])
	}
	services := "[[service]]\nname = \"read\"\nprefix = \"/read/\"\n[[service]]\nname = \"claims\"\nprefix = \"/claims/\"\nonce = true\n" +
		"[[service]]\nname = \"files\"\nprefix = \"/files/\"\nbody = 100000000\nlongest = \"1h\"\n"
	workspaces := fmt.Sprintf("[[workspace]]\nname = \"acme\"\nrate = %d\nburst = %d\n", p.count("rate", 500), p.count("burst", 500)) +
		"[[workspace]]\nname = \"other\"\nrate = 50\nburst = 50\n"
	for name, text := range map[string]string{"places": places, "services": services, "workspaces": workspaces} {
		if err := f.write(name+".toml", "%s", text); err != nil {
			return err
		}
	}
	for _, name := range []string{"places", "services", "workspaces"} {
		if err := f.program("cuminfall", "document", "apply", "--section", name, name+".toml"); err != nil {
			return err
		}
	}
	return nil
}

// upstreams starts one process with stand-in endpoints of each service.
func (f *fleet) upstreams(p params) error {
	host := f.host(upstreamHost)
	var entries []string
	for _, name := range f.order {
		if strings.HasPrefix(name, "entry") {
			entries = append(entries, fmt.Sprintf("%s:%d", f.procs[name].host, frontPort))
		}
	}
	text := fmt.Sprintf("admin = \"%s:%d\"\nentries = %s\n", host, adminPort, quote(strings.Join(entries, ",")))
	port := 7300
	for _, service := range []string{"read", "claims", "files"} {
		for i := range p.count("endpoints", 3) {
			port++
			text += fmt.Sprintf("[[endpoint]]\nservice = %q\naddress = \"%s:%d\"\ndomain = %q\nslots = %d\nconnections = 200\nmedian = %q\nanswer = 300\n",
				service, host, port, domains[i%len(domains)], p.count("slots", 8), p.text("median", "2ms"))
		}
	}
	if err := f.write("upstream.toml", "%s", text); err != nil {
		return err
	}
	f.procs["upstream"] = &process{name: "upstream", host: host, args: []string{"load", "upstream", "--settings", "upstream.toml"}}
	f.order = append(f.order, "upstream")
	return f.start("upstream")
}

// program runs a program to its end; its output is in the error.
func (f *fleet) program(name string, args ...string) error {
	c := exec.Command(filepath.Join(bin, name), args...)
	c.Dir = f.dir
	c.Env = append(os.Environ(), "CUMINFALL_CONTROL="+f.controls(), "CUMINFALL_OPERATOR=admin", "CUMINFALL_CREDENTIAL="+filepath.Join(f.dir, "credential"))
	out, err := c.CombinedOutput()
	return errors.Wrapf(err, "%s %s: %s", name, strings.Join(args, " "), out)
}

func (f *fleet) proc(name string) (*process, error) {
	p := f.procs[name]
	if p == nil {
		return nil, errors.Errorf("no process %q", name)
	}
	return p, nil
}

// start runs a process in the background and waits until it is up.
func (f *fleet) start(name string) error {
	p, err := f.proc(name)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(filepath.Join(bin, p.args[0]), p.args[1:]...)
	p.cmd.Dir = f.dir
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.done = done
	go func(c *exec.Cmd) {
		c.Wait()
		p.code = c.ProcessState.ExitCode()
		close(done)
	}(p.cmd)
	return f.up(p)
}

// up waits until a process serves its admin address.
func (f *fleet) up(p *process) error {
	for range 200 {
		reply, err := f.client.Get(fmt.Sprintf("http://%s:%d/metrics", p.host, adminPort))
		if err == nil {
			reply.Body.Close()
			return nil
		}
		select {
		case <-p.done:
			text, _ := os.ReadFile(filepath.Join(f.dir, p.name+".log"))
			return errors.Errorf("%s ended with code %d: %s", p.name, p.code, text)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return errors.Errorf("%s is not up after 10 s", p.name)
}

func (f *fleet) signal(name string, s syscall.Signal) (*process, error) {
	p, err := f.proc(name)
	if err != nil {
		return nil, err
	}
	return p, errors.Wrap(p.cmd.Process.Signal(s), name)
}

func (f *fleet) kill(name string) error {
	p, err := f.signal(name, syscall.SIGKILL)
	if err == nil {
		<-p.done
	}
	return err
}

// stop ends a process as planned and requires exit code 0.
func (f *fleet) stop(name string) error {
	p, err := f.signal(name, syscall.SIGTERM)
	if err != nil {
		return err
	}
	select {
	case <-p.done:
	case <-time.After(40 * time.Second):
		return errors.Errorf("%s does not stop", name)
	}
	if p.code != 0 {
		return errors.Errorf("%s ended with code %d", name, p.code)
	}
	return nil
}

func (f *fleet) freeze(name string) error {
	_, err := f.signal(name, syscall.SIGSTOP)
	return err
}

func (f *fleet) thaw(name string) error {
	_, err := f.signal(name, syscall.SIGCONT)
	return err
}

// lose kills a control member and takes its disk away.
func (f *fleet) lose(name string) error {
	if err := f.kill(name); err != nil {
		return err
	}
	return os.RemoveAll(filepath.Join(f.dir, name))
}

func (f *fleet) close() {
	for i := len(f.order) - 1; i >= 0; i-- {
		p := f.procs[f.order[i]]
		if p.cmd == nil {
			continue
		}
		select {
		case <-p.done:
		default:
			p.cmd.Process.Signal(syscall.SIGCONT)
			p.cmd.Process.Kill()
			<-p.done
		}
	}
	for _, front := range f.fronts {
		front.Stop()
	}
	f.guard.Close()
}

// links returns the links between two processes in both directions.
func (f *fleet) links(a, b string) ([]*relay.Link, error) {
	var list []*relay.Link
	for _, ends := range [][2]string{{a, b}, {b, a}} {
		front, ok := f.fronts[ends[1]]
		if !ok {
			continue
		}
		host := "127.0.0.1" // callers
		if ends[0] != "caller" {
			p, err := f.proc(ends[0])
			if err != nil {
				return nil, err
			}
			host = p.host
		}
		list = append(list, front.LinkFor(host))
	}
	if len(list) == 0 {
		return nil, errors.Errorf("no link between %q and %q", a, b)
	}
	return list, nil
}

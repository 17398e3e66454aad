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

// Addresses and ports of a fleet. All its processes have addresses in one loopback network, 127.N.0.0.
const (
	firstNetworkOctet = 20   // second octet of the first network
	controlOctet      = 10   // control member n has the last octet controlOctet+n
	entryOctet        = 30   // entry VM n has the last octet entryOctet+n
	upstreamOctet     = 60   // last octet of all stand-in upstreams
	proxyPort         = 7100 // of the proxy in front of a process, to which all others connect
	listenPort        = 7109 // of the process itself, behind its proxy
	adminPort         = 7110
)

// operatorCredential is the credential of all operators and of the monitoring group.
const operatorCredential = "scenario-credential"

// domains are the failure domains of a scenario fleet, two in each of three regions.
var domains = []string{"north-a", "south-a", "west-a", "north-b", "south-b", "west-b"}

// process is one process of a fleet.
type process struct {
	name     string
	host     string
	args     []string
	cmd      *exec.Cmd
	done     chan struct{} // closed when the process has ended
	exitCode int
}

// fleet is a deployment of real processes on a loopback network of its own. Connections to its control members and
// entry VMs pass through proxies, which inject network faults.
type fleet struct {
	dir               string
	network           int
	networkLock       net.Listener // open while the network is reserved for this fleet
	processes         map[string]*process
	processOrder      []string
	proxies           map[string]*relay.HostRelay
	trafficByName     map[string]*traffic
	client            *http.Client
	previousEndpoints map[ident.Address]upstream.Status // state of the endpoints at the last cmdRuns
}

// newFleet reserves a network for a fleet whose files are in dir; deploy starts its processes.
func newFleet(dir string) (*fleet, error) {
	n, lock, err := reserveNetwork()
	if err != nil {
		return nil, err
	}
	return &fleet{
		dir: dir, network: n, networkLock: lock, processes: map[string]*process{}, proxies: map[string]*relay.HostRelay{},
		trafficByName: map[string]*traffic{}, client: &http.Client{Timeout: 30 * time.Second},
	}, nil
}

// host returns the address in the fleet's network with the given last octet.
func (f *fleet) host(octet int) string {
	return fmt.Sprintf("127.%d.0.%d", firstNetworkOctet+f.network, octet)
}

// controlAddresses returns the addresses of the control members' proxies, separated by commas.
func (f *fleet) controlAddresses() string {
	list := make([]string, 3)
	for i := range list {
		list[i] = fmt.Sprintf("%s:%d", f.host(controlOctet+i+1), proxyPort)
	}
	return strings.Join(list, ",")
}

// tomlArray returns a comma-separated list as a TOML array of strings.
func tomlArray(list string) string { return `["` + strings.ReplaceAll(list, ",", `", "`) + `"]` }

// writeFile writes a formatted text to a file in the fleet's folder.
func (f *fleet) writeFile(name, format string, args ...any) error {
	return os.WriteFile(filepath.Join(f.dir, name), fmt.Appendf(nil, format, args...), 0o600)
}

// deploy starts three control members, applies a document and starts entry VMs and stand-in upstreams. p sets their
// numbers, sizes and settings.
func (f *fleet) deploy(p params) error {
	if err := f.writeFile("credential", operatorCredential); err != nil {
		return err
	}
	hash := fmt.Sprintf("%x", sha256.Sum256([]byte(operatorCredential)))
	owners := "[[operator]]\nname = \"admin\"\nhash = %q\nsections = [\"places\", \"services\", \"workspaces\", \"drains\", \"shifts\", \"owners\"]\n" +
		"[[operator]]\nname = \"drainer\"\nhash = %q\nsections = [\"drains\"]\n[[monitor]]\nname = \"monitor\"\nhash = %q\n"
	if err := f.writeFile("owners.toml", owners, hash, hash, hash); err != nil {
		return err
	}
	for i := 1; i <= 3; i++ {
		if err := f.addProcess("control", i, controlOctet+i, fmt.Sprintf("data = %q\npeers = %s\n%s", filepath.Join(f.dir, fmt.Sprintf("control%d", i)), tomlArray(f.controlAddresses()), strings.ReplaceAll(p["control"], ";", "\n"))); err != nil {
			return err
		}
	}
	if err := f.runProgram("control", "init", "--settings", "control1.toml", "--owners", "owners.toml"); err != nil {
		return err
	}
	for i := 1; i <= 3; i++ {
		if err := f.start(fmt.Sprintf("control%d", i)); err != nil {
			return err
		}
	}
	if err := f.awaitGroup(); err != nil {
		return err
	}
	if err := f.applyDocument(p); err != nil {
		return err
	}
	for i := 1; i <= p.intOr("entry", 3); i++ {
		extraSettings := fmt.Sprintf("domain = %q\ncontrol = %s\n%s", domains[(i-1)%len(domains)], tomlArray(f.controlAddresses()), p["settings"])
		if err := f.addProcess("entry", i, entryOctet+i, extraSettings); err != nil {
			return err
		}
		if err := f.start(fmt.Sprintf("entry%d", i)); err != nil {
			return err
		}
	}
	return f.startUpstreams(p)
}

// awaitGroup waits until all three control members vote. With fewer voters the loss of one member can leave the
// group without a majority.
func (f *fleet) awaitGroup() error {
	var out []byte
	for range 200 {
		c := exec.Command(filepath.Join(bin, "cuminfall"), "status", "--control", f.controlAddresses())
		out, _ = c.CombinedOutput()
		if strings.Contains(string(out), "  leader ") && strings.Count(string(out), "  follower ") == 2 {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.Errorf("the control group has no leader with two followers after 10 s: %s", out)
}

// addProcess writes the settings of a process and starts its proxy, but not the process itself.
func (f *fleet) addProcess(kind string, number, octet int, extraSettings string) error {
	name := fmt.Sprintf("%s%d", kind, number)
	host := f.host(octet)
	proxy := relay.NewHostRelay(fmt.Sprintf("%s:%d", host, proxyPort), fmt.Sprintf("%s:%d", host, listenPort), clock.System{}, discardLogger())
	if err := proxy.Start(); err != nil {
		return err
	}
	f.proxies[name] = proxy
	f.processes[name] = &process{name: name, host: host, args: []string{kind, "run", "--settings", name + ".toml"}}
	f.processOrder = append(f.processOrder, name)
	return f.writeFile(name+".toml", "name = %q\naddress = \"%s:%d\"\nlisten = \"%s:%d\"\nadmin = \"%s:%d\"\nlevel = \"info\"\n%s",
		name, host, proxyPort, host, listenPort, host, adminPort, extraSettings)
}

// discardLogger returns a logger without output.
func discardLogger() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// applyDocument applies the sections places, services and workspaces.
func (f *fleet) applyDocument(p params) error {
	topology := ""
	for _, d := range domains {
		if strings.HasSuffix(d, "-a") {
			topology += fmt.Sprintf("[[region]]\nname = %q\ncapacity = %d\n", strings.TrimSuffix(d, "-a"), p.intOr("capacity", 0))
		}
	}
	for _, d := range domains {
		topology += fmt.Sprintf("[[domain]]\nname = %q\nregion = %q\n", d, d[:len(d)-2])
	}
	services := "[[service]]\nname = \"read\"\nprefix = \"/read/\"\n[[service]]\nname = \"claims\"\nprefix = \"/claims/\"\nonce = true\n" +
		"[[service]]\nname = \"files\"\nprefix = \"/files/\"\nbody = 100000000\nlongest = \"1h\"\n"
	workspaces := fmt.Sprintf("[[workspace]]\nname = \"acme\"\nrate = %d\nburst = %d\n", p.intOr("rate", 500), p.intOr("burst", 500)) +
		"[[workspace]]\nname = \"other\"\nrate = 50\nburst = 50\n"
	for name, text := range map[string]string{"places": topology, "services": services, "workspaces": workspaces} {
		if err := f.writeFile(name+".toml", "%s", text); err != nil {
			return err
		}
	}
	for _, name := range []string{"places", "services", "workspaces"} {
		if err := f.runProgram("cuminfall", "document", "apply", "--section", name, name+".toml"); err != nil {
			return err
		}
	}
	return nil
}

// startUpstreams starts one process that serves the stand-in endpoints of all services.
func (f *fleet) startUpstreams(p params) error {
	host := f.host(upstreamOctet)
	var entries []string
	for _, name := range f.processOrder {
		if strings.HasPrefix(name, "entry") {
			entries = append(entries, fmt.Sprintf("%s:%d", f.processes[name].host, proxyPort))
		}
	}
	text := fmt.Sprintf("admin = \"%s:%d\"\nentries = %s\n", host, adminPort, tomlArray(strings.Join(entries, ",")))
	port := 7300
	for _, service := range []string{"read", "claims", "files"} {
		for i := range p.intOr("endpoints", 3) {
			port++
			text += fmt.Sprintf("[[endpoint]]\nservice = %q\naddress = \"%s:%d\"\ndomain = %q\nslots = %d\nconnections = 200\nmedian = %q\nanswer = 300\n",
				service, host, port, domains[i%len(domains)], p.intOr("slots", 8), p.textOr("median", "2ms"))
		}
	}
	if err := f.writeFile("upstream.toml", "%s", text); err != nil {
		return err
	}
	f.processes["upstream"] = &process{name: "upstream", host: host, args: []string{"load", "upstream", "--settings", "upstream.toml"}}
	f.processOrder = append(f.processOrder, "upstream")
	return f.start("upstream")
}

// runProgram runs one of the programs under test and waits for it. If it fails, the error contains its output.
func (f *fleet) runProgram(name string, args ...string) error {
	c := exec.Command(filepath.Join(bin, name), args...)
	c.Dir = f.dir
	c.Env = append(os.Environ(), "CUMINFALL_CONTROL="+f.controlAddresses(), "CUMINFALL_OPERATOR=admin", "CUMINFALL_CREDENTIAL="+filepath.Join(f.dir, "credential"))
	out, err := c.CombinedOutput()
	return errors.Wrapf(err, "%s %s: %s", name, strings.Join(args, " "), out)
}

// process returns the process with the given name, or an error if there is none.
func (f *fleet) process(name string) (*process, error) {
	p := f.processes[name]
	if p == nil {
		return nil, errors.Errorf("no process %q", name)
	}
	return p, nil
}

// start starts a process in the background and waits until it serves its admin address.
func (f *fleet) start(name string) error {
	p, err := f.process(name)
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
		p.exitCode = c.ProcessState.ExitCode()
		close(done)
	}(p.cmd)
	return f.awaitAdmin(p)
}

// awaitAdmin waits until a process serves its admin address. It returns an error if the process ends before.
func (f *fleet) awaitAdmin(p *process) error {
	for range 200 {
		reply, err := f.client.Get(fmt.Sprintf("http://%s:%d/metrics", p.host, adminPort))
		if err == nil {
			reply.Body.Close()
			return nil
		}
		select {
		case <-p.done:
			text, _ := os.ReadFile(filepath.Join(f.dir, p.name+".log"))
			return errors.Errorf("%s ended with code %d: %s", p.name, p.exitCode, text)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return errors.Errorf("%s does not serve its admin address after 10 s", p.name)
}

// signal sends a signal to a process and returns the process.
func (f *fleet) signal(name string, s syscall.Signal) (*process, error) {
	p, err := f.process(name)
	if err != nil {
		return nil, err
	}
	return p, errors.Wrap(p.cmd.Process.Signal(s), name)
}

// kill kills a process and waits for its end.
func (f *fleet) kill(name string) error {
	p, err := f.signal(name, syscall.SIGKILL)
	if err == nil {
		<-p.done
	}
	return err
}

// stop shuts a process down with SIGTERM. It returns an error unless the process exits with code 0 within 40 s.
func (f *fleet) stop(name string) error {
	p, err := f.signal(name, syscall.SIGTERM)
	if err != nil {
		return err
	}
	select {
	case <-p.done:
	case <-time.After(40 * time.Second):
		return errors.Errorf("%s did not stop within 40 s of SIGTERM", name)
	}
	if p.exitCode != 0 {
		return errors.Errorf("%s ended with code %d", name, p.exitCode)
	}
	return nil
}

// freeze suspends a process with SIGSTOP.
func (f *fleet) freeze(name string) error {
	_, err := f.signal(name, syscall.SIGSTOP)
	return err
}

// resume resumes a process that freeze suspended.
func (f *fleet) resume(name string) error {
	_, err := f.signal(name, syscall.SIGCONT)
	return err
}

// killAndRemoveData kills a control member and deletes its data folder, as the loss of its disk would.
func (f *fleet) killAndRemoveData(name string) error {
	if err := f.kill(name); err != nil {
		return err
	}
	return os.RemoveAll(filepath.Join(f.dir, name))
}

// close kills all processes, stops the proxies and frees the network.
func (f *fleet) close() {
	for i := len(f.processOrder) - 1; i >= 0; i-- {
		p := f.processes[f.processOrder[i]]
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
	for _, proxy := range f.proxies {
		proxy.Stop()
	}
	f.networkLock.Close()
}

// links returns the proxies' links between two processes in both directions. A process without a proxy, such as
// "caller", has a link in one direction only.
func (f *fleet) links(a, b string) ([]*relay.Link, error) {
	var list []*relay.Link
	for _, direction := range [][2]string{{a, b}, {b, a}} {
		proxy, ok := f.proxies[direction[1]]
		if !ok {
			continue
		}
		host := "127.0.0.1" // address of the callers, which are this test process
		if direction[0] != "caller" {
			p, err := f.process(direction[0])
			if err != nil {
				return nil, err
			}
			host = p.host
		}
		list = append(list, proxy.LinkFor(host))
	}
	if len(list) == 0 {
		return nil, errors.Errorf("no link between %q and %q", a, b)
	}
	return list, nil
}

package deployment

import (
	"os"
	"path/filepath"
	"strings"

	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/load/caller"
	"cuminfall.example/load/command"
)

// Options holds the flags of load deployment.
type Options struct {
	Name    string
	Folder  string
	Entries string
	Control string
	Admin   string
	Host    string
	Port    int
}

// Command returns the load deployment command.
func Command() command.Command {
	return command.Command{Name: "deployment", Summary: "write the settings files and document sections of a deployment", Run: run}
}

func run(c command.Console, args []string) error {
	var o Options
	flags := command.Flags(c, "deployment", "--deployment D --folder F [--entries LIST] [--control LIST]",
		"load deployment --deployment revontuli --folder deployment/revontuli --entries 127.0.0.1:8001,127.0.0.1:8002",
		"load deployment --deployment emberdeck --folder deployment/emberdeck --port 20000")
	flags.StringVar(&o.Name, "deployment", "", "revontuli or emberdeck")
	flags.StringVar(&o.Folder, "folder", "", "`folder` for the files, created if it doesn't exist")
	flags.StringVar(&o.Entries, "entries", "", "comma-separated addresses of entry VMs")
	flags.StringVar(&o.Control, "control", "", "comma-separated addresses of control members")
	flags.StringVar(&o.Admin, "admin", "127.0.0.1:7900", "admin address of the stand-in upstreams")
	flags.StringVar(&o.Host, "host", "127.0.0.1", "IP address of the stand-in upstreams")
	flags.IntVar(&o.Port, "port", 19000, "first port of the stand-in upstreams")
	if err := command.Parse(flags, args, "deployment", "folder"); err != nil {
		return err
	}
	if o.Port < 1 || o.Port > 65000 {
		return fault.New(fault.Usage, "read flags", "", "--port must be 1 to 65000")
	}
	return o.run()
}

func splitAddresses(list string) []string {
	if list == "" {
		return []string{}
	}
	return strings.Split(list, ",")
}

// experimentSettings is the part of the settings of load experiment that depends on the deployment.
type experimentSettings struct {
	Control    []string         `toml:"control"`
	Operator   string           `toml:"operator"`
	Credential string           `toml:"credential"`
	Call       *caller.Settings `toml:"call"`
}

func (o *Options) run() error {
	d, err := Find(o.Name)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(o.Folder, 0o755); err != nil {
		return fault.Wrap(err, fault.Internal, "make folder", o.Folder)
	}
	entries := splitAddresses(o.Entries)
	upstreams := d.UpstreamSettings(o.Admin, entries, o.Host, o.Port)
	callers := d.CallerSettings(entries, []string{o.Admin}, upstreams.Endpoints)
	experiment := &experimentSettings{Control: splitAddresses(o.Control), Operator: Operator, Credential: Credential, Call: callers}
	for _, file := range []struct {
		name    string
		content any
	}{{"upstream", upstreams}, {"call", callers}, {"experiment", experiment}} {
		text, err := EncodeTOML(file.content)
		if err != nil {
			return err
		}
		if err := o.writeFile(file.name, text); err != nil {
			return err
		}
	}
	for name, content := range d.Sections() {
		text, err := document.Format(content)
		if err != nil {
			return err
		}
		if err := o.writeFile(string(name), []byte(text)); err != nil {
			return err
		}
	}
	return nil
}

func (o *Options) writeFile(name string, text []byte) error {
	path := filepath.Join(o.Folder, name+".toml")
	return fault.Wrap(os.WriteFile(path, text, 0o644), fault.Internal, "write file", path)
}

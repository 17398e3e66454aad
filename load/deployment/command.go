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

// Options are the flags of load deployment.
type Options struct {
	Deployment string
	Folder     string
	Entries    string
	Control    string
	Admin      string
	Host       string
	Port       int
}

// Command returns the command load deployment.
func Command() command.Command {
	return command.Command{Name: "deployment", Summary: "write the settings and document sections of a deployment", Run: run}
}

func run(c command.Console, args []string) error {
	var o Options
	set := command.Flags(c, "deployment", "--deployment D --folder F [--entries LIST] [--control LIST]",
		"load deployment --deployment revontuli --folder deployment/revontuli --entries 127.0.0.1:8001,127.0.0.1:8002",
		"load deployment --deployment emberdeck --folder deployment/emberdeck --port 20000")
	set.StringVar(&o.Deployment, "deployment", "", "revontuli or emberdeck")
	set.StringVar(&o.Folder, "folder", "", "`folder` for the files, made where it is missing")
	set.StringVar(&o.Entries, "entries", "", "comma-separated addresses of entry VMs")
	set.StringVar(&o.Control, "control", "", "comma-separated addresses of control members")
	set.StringVar(&o.Admin, "admin", "127.0.0.1:7900", "admin address of the stand-ins")
	set.StringVar(&o.Host, "host", "127.0.0.1", "address of the stand-ins")
	set.IntVar(&o.Port, "port", 19000, "first port of the stand-ins")
	if err := command.Parse(set, args, "deployment", "folder"); err != nil {
		return err
	}
	if o.Port < 1 || o.Port > 65000 {
		return fault.New(fault.Usage, "read flags", "", "--port is 1 to 65000")
	}
	return o.run()
}

func split(list string) []string {
	if list == "" {
		return []string{}
	}
	return strings.Split(list, ",")
}

// experimentFile is the part of the experiments' settings that a deployment decides.
type experimentFile struct {
	Control    []string         `toml:"control"`
	Operator   string           `toml:"operator"`
	Credential string           `toml:"credential"`
	Call       *caller.Settings `toml:"call"`
}

func (o *Options) run() error {
	shape, err := Find(o.Deployment)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(o.Folder, 0o755); err != nil {
		return fault.Wrap(err, fault.Internal, "make folder", o.Folder)
	}
	entries := split(o.Entries)
	stands := shape.Upstream(o.Admin, entries, o.Host, o.Port)
	calls := shape.Caller(entries, []string{o.Admin}, stands.Endpoints)
	experiment := &experimentFile{Control: split(o.Control), Operator: Operator, Credential: Credential, Call: calls}
	for _, file := range []struct {
		name    string
		content any
	}{{"upstream", stands}, {"call", calls}, {"experiment", experiment}} {
		text, err := Encode(file.content)
		if err != nil {
			return err
		}
		if err := o.write(file.name, text); err != nil {
			return err
		}
	}
	for name, part := range shape.Sections() {
		text, err := document.Format(part)
		if err != nil {
			return err
		}
		if err := o.write(string(name), []byte(text)); err != nil {
			return err
		}
	}
	return nil
}

func (o *Options) write(name string, text []byte) error {
	path := filepath.Join(o.Folder, name+".toml")
	return fault.Wrap(os.WriteFile(path, text, 0o644), fault.Internal, "write file", path)
}

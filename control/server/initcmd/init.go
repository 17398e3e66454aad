package initcmd

import (
	"flag"
	"fmt"
	"io"
	"os"

	"cuminfall.example/control/ledger"
	"cuminfall.example/control/ledger/wire"
	"cuminfall.example/control/replica"
	"cuminfall.example/control/server"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/settings"
)

// Options are the flags and dependencies of the command.
type Options struct {
	SettingsFile string
	OwnersFile   string
	Out          io.Writer
	// Init creates the data folder of the first member with the given log entries.
	Init func(folder, name string, address ident.Address, first [][]byte) error
}

// New parses the arguments of the command line. Errors have the code fault.Usage.
func New(args []string, stdout, stderr io.Writer, init func(string, string, ident.Address, [][]byte) error) (*Options, error) {
	o := &Options{Out: stdout, Init: init}
	flags := flag.NewFlagSet("control init", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.StringVar(&o.SettingsFile, "settings", "", "settings `file` (TOML)")
	flags.StringVar(&o.OwnersFile, "owners", "", "`file` with the owners section (TOML)")
	flags.Usage = func() {
		fmt.Fprint(stderr, "Writes the first member of a new control group into an empty data folder.\n\n"+
			"Example:\n  control init --settings control.toml --owners owners.toml\n\n")
		flags.PrintDefaults()
	}
	if err := flags.Parse(args); err != nil {
		return nil, fault.New(fault.Usage, "control init", "", "%v", err)
	}
	if o.SettingsFile == "" || o.OwnersFile == "" || flags.NArg() > 0 {
		return nil, fault.New(fault.Usage, "control init", "", "--settings and --owners are required and no other arguments are allowed")
	}
	return o, nil
}

// Run creates the data folder and prints its path.
func (o *Options) Run() error {
	s := server.DefaultSettings()
	if err := settings.Load(o.SettingsFile, s); err != nil {
		return err
	}
	text, err := os.ReadFile(o.OwnersFile)
	if err != nil {
		return fault.New(fault.Usage, "read owners", o.OwnersFile, "%v", err)
	}
	entry, err := bootstrapEntry(string(text))
	if err != nil {
		return err
	}
	if err := o.Init(s.Data, s.Name, s.Address, [][]byte{entry}); err != nil {
		return fault.Wrap(err, fault.Internal, "init", s.Data)
	}
	fmt.Fprintf(o.Out, "created member %s of a new control group in %s\n", s.Name, s.Data)
	return nil
}

// bootstrapEntry returns the first log entry of a group. It applies the entry to an empty ledger first,
// so that an invalid owners section is reported here.
func bootstrapEntry(owners string) ([]byte, error) {
	if problems, _ := document.Ambiguities(document.OwnersSection, owners); len(problems) > 0 { // the ledger reports other errors
		return nil, fault.New(fault.Invalid, "check owners", string(document.OwnersSection), "%s", problems[0])
	}
	data, err := ledger.Encode(ledger.Bootstrap{Found: &wire.Found{Owners: owners}})
	if err != nil {
		return nil, err
	}
	if f, ok := ledger.New().Apply(replica.Entry{Index: 1, Data: data}).(*fault.Error); ok {
		return nil, fault.New(f.Code, "check owners", string(document.OwnersSection), "%s", f.Message)
	}
	return data, nil
}

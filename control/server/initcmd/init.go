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

// Options are the inputs of the command.
type Options struct {
	Settings string
	Owners   string
	Out      io.Writer
	// Init writes the first member's folder.
	Init func(folder, name string, address ident.Address, first [][]byte) error
}

// New reads the command line.
func New(args []string, out, errs io.Writer, init func(string, string, ident.Address, [][]byte) error) (*Options, error) {
	o := &Options{Out: out, Init: init}
	flags := flag.NewFlagSet("control init", flag.ContinueOnError)
	flags.SetOutput(errs)
	flags.StringVar(&o.Settings, "settings", "", "settings `file` (TOML)")
	flags.StringVar(&o.Owners, "owners", "", "`file` with the owners section (TOML)")
	flags.Usage = func() {
		fmt.Fprint(errs, "Writes the first member of a new control group into an empty data folder.\n\n"+
			"Example:\n  control init --settings control.toml --owners owners.toml\n\n")
		flags.PrintDefaults()
	}
	if err := flags.Parse(args); err != nil {
		return nil, fault.New(fault.Usage, "control init", "", "%v", err)
	}
	if o.Settings == "" || o.Owners == "" || flags.NArg() > 0 {
		return nil, fault.New(fault.Usage, "control init", "", "--settings and --owners are required, and nothing else")
	}
	return o, nil
}

// Run performs the command.
func (o *Options) Run() error {
	s := server.DefaultSettings()
	if err := settings.Load(o.Settings, s); err != nil {
		return err
	}
	text, err := os.ReadFile(o.Owners)
	if err != nil {
		return fault.New(fault.Usage, "read owners", o.Owners, "%v", err)
	}
	first, err := firstEntry(string(text))
	if err != nil {
		return err
	}
	if err := o.Init(s.Data, s.Name, s.Address, [][]byte{first}); err != nil {
		return fault.Wrap(err, fault.Internal, "init", s.Data)
	}
	fmt.Fprintf(o.Out, "member %s of a new group is in %s\n", s.Name, s.Data)
	return nil
}

// firstEntry returns the entry that founds the group, after a dry run of it.
func firstEntry(owners string) ([]byte, error) {
	data, err := ledger.Encode(ledger.Bootstrap{Found: &wire.Found{Owners: owners}})
	if err != nil {
		return nil, err
	}
	if f, ok := ledger.New().Apply(replica.Entry{Index: 1, Data: data}).(*fault.Error); ok {
		return nil, fault.New(f.Code, "check owners", string(document.OwnersSection), "%s", f.Message)
	}
	return data, nil
}

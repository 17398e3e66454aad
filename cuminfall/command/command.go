package command

import (
	"context"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"

	"cuminfall.example/cuminfall/client"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
)

// Streams are the standard input, output and error of a command.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// Factory holds the dependencies of the commands, which tests replace.
type Factory struct {
	Streams
	Clock   clock.Clock
	Connect func(c clock.Clock, addresses []string) client.ControlGroup
	Getenv  func(name string) string
	Random  io.Reader
}

// Command is one command, selected by a noun and a verb, such as "key create".
type Command struct {
	Noun, Verb string
	Short      string // one-line description in the list of commands
	Args       string // placeholders of the positional arguments, separated by spaces, such as "NAME"
	Example    string
	Flags      *flag.FlagSet
	// Run executes the command with its positional arguments, whose number has been checked against Args.
	Run func(ctx context.Context, args []string) error
}

// Name returns the noun and the verb, or the noun alone if the command has no verb.
func (c *Command) Name() string { return strings.TrimSpace(c.Noun + " " + c.Verb) }

// Usage writes the command's help.
func (c *Command) Usage(out io.Writer) {
	fmt.Fprintf(out, "%s\n\nUsage:\n  cuminfall %s\n", c.Short, strings.TrimSpace(c.Name()+" "+c.Args+" [flags]"))
	fmt.Fprintf(out, "\nExample:\n  %s\n\nFlags:\n", strings.ReplaceAll(strings.TrimSpace(c.Example), "\n", "\n  "))
	c.Flags.SetOutput(out)
	c.Flags.PrintDefaults()
}

// Execute parses the arguments and runs the command. Flags may stand before, between and after positional
// arguments. With --help it prints the usage to out instead.
func (c *Command) Execute(ctx context.Context, out io.Writer, args []string) error {
	c.Flags.SetOutput(io.Discard)
	c.Flags.Usage = func() {}
	var positional []string
	for len(args) > 0 {
		if err := c.Flags.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				c.Usage(out)
				return nil
			}
			return fault.New(fault.Usage, c.Name(), "", "%v; see 'cuminfall %s --help'", err, c.Name())
		}
		args = c.Flags.Args()
		if len(args) > 0 {
			positional = append(positional, args[0])
			args = args[1:]
		}
	}
	if want := len(strings.Fields(c.Args)); len(positional) != want {
		return fault.New(fault.Usage, c.Name(), "", "takes %d arguments, got %d; see 'cuminfall %s --help'",
			want, len(positional), c.Name())
	}
	return c.Run(ctx, positional)
}

// CommonFlags are the flags of all commands that call the control group.
type CommonFlags struct {
	Control string // addresses of control members, separated by commas
	JSON    bool   // print JSON instead of a table
}

// Register adds the flags to fs. The control addresses default to CUMINFALL_CONTROL.
func (o *CommonFlags) Register(f *Factory, fs *flag.FlagSet) {
	fs.StringVar(&o.Control, "control", f.Getenv("CUMINFALL_CONTROL"), "control `addresses`, separated by commas (CUMINFALL_CONTROL)")
	fs.BoolVar(&o.JSON, "json", false, "print JSON")
}

// Connect returns a client of the control group at the given addresses, or a usage error if there are none.
func (o *CommonFlags) Connect(f *Factory) (client.ControlGroup, error) {
	if o.Control == "" {
		return nil, fault.New(fault.Usage, "read flags", "", "no control address: use --control or CUMINFALL_CONTROL")
	}
	return f.Connect(f.Clock, strings.Split(o.Control, ",")), nil
}

// OperatorFlags are the flags of commands that change something and therefore need an operator's credential.
type OperatorFlags struct {
	Operator       string
	CredentialFile string // path of the file with the operator's credential
	ChangeID       string // identifies repeats of the same change; empty until one is given or generated
}

// Register adds the flags to fs. Operator and credential default to CUMINFALL_OPERATOR and CUMINFALL_CREDENTIAL.
func (a *OperatorFlags) Register(f *Factory, fs *flag.FlagSet) {
	fs.StringVar(&a.Operator, "operator", f.Getenv("CUMINFALL_OPERATOR"), "operator `name` (CUMINFALL_OPERATOR)")
	fs.StringVar(&a.CredentialFile, "credential", f.Getenv("CUMINFALL_CREDENTIAL"), "`file` with the operator's credential (CUMINFALL_CREDENTIAL)")
	fs.StringVar(&a.ChangeID, "id", "", "`id` of this change; a repeat with the same id returns the outcome of the first (default random)")
}

// ReadCredential reads the operator's credential from its file. It returns a usage error if the operator or
// the file is missing.
func (a *OperatorFlags) ReadCredential() (string, error) {
	if a.Operator == "" || a.CredentialFile == "" {
		return "", fault.New(fault.Usage, "read flags", "", "no operator or credential: use --operator and --credential, or CUMINFALL_OPERATOR and CUMINFALL_CREDENTIAL")
	}
	text, err := os.ReadFile(a.CredentialFile)
	if err != nil {
		return "", fault.New(fault.Usage, "read credential", a.CredentialFile, "%v", err)
	}
	return strings.TrimSpace(string(text)), nil
}

// EnsureChangeID returns the given change id, or generates and keeps a random one.
func (a *OperatorFlags) EnsureChangeID(f *Factory) (string, error) {
	if a.ChangeID != "" {
		return a.ChangeID, nil
	}
	id, err := RandomHex(f.Random, 8)
	a.ChangeID = id
	return id, err
}

// RandomHex reads n bytes from random and returns them in hexadecimal.
func RandomHex(random io.Reader, n int) (string, error) {
	b := make([]byte, n)
	if _, err := io.ReadFull(random, b); err != nil {
		return "", fault.New(fault.Internal, "read random source", "", "%v", err)
	}
	return hex.EncodeToString(b), nil
}

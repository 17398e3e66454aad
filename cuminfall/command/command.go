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

// Streams are the command's input and outputs.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// Factory holds what commands depend on.
type Factory struct {
	Streams
	Clock   clock.Clock
	Connect func(c clock.Clock, addresses []string) client.Fleet
	Getenv  func(name string) string
	Random  io.Reader
}

// Command is one noun and verb.
type Command struct {
	Noun, Verb string
	Short      string // one line for the list of commands
	Args       string // positional arguments, such as "NAME"
	Example    string
	Flags      *flag.FlagSet
	// Run acts on the positional arguments, whose number has been checked.
	Run func(ctx context.Context, args []string) error
}

// Name returns the words that select the command.
func (c *Command) Name() string { return strings.TrimSpace(c.Noun + " " + c.Verb) }

// Usage writes the command's help.
func (c *Command) Usage(out io.Writer) {
	fmt.Fprintf(out, "%s\n\nUsage:\n  cuminfall %s\n", c.Short, strings.TrimSpace(c.Name()+" "+c.Args+" [flags]"))
	fmt.Fprintf(out, "\nExample:\n  %s\n\nFlags:\n", strings.ReplaceAll(strings.TrimSpace(c.Example), "\n", "\n  "))
	c.Flags.SetOutput(out)
	c.Flags.PrintDefaults()
}

// Execute parses the arguments, flags before or after positional ones, and runs the command.
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

// Common are the flags of every command.
type Common struct {
	Control string
	JSON    bool
}

// Register adds the flags to fs; the control addresses default to CUMINFALL_CONTROL.
func (o *Common) Register(f *Factory, fs *flag.FlagSet) {
	fs.StringVar(&o.Control, "control", f.Getenv("CUMINFALL_CONTROL"), "control `addresses`, separated by commas (CUMINFALL_CONTROL)")
	fs.BoolVar(&o.JSON, "json", false, "print JSON")
}

// Fleet connects to the control group.
func (o *Common) Fleet(f *Factory) (client.Fleet, error) {
	if o.Control == "" {
		return nil, fault.New(fault.Usage, "read flags", "", "no control address: use --control or CUMINFALL_CONTROL")
	}
	return f.Connect(f.Clock, strings.Split(o.Control, ",")), nil
}

// Account are the flags of commands that change something.
type Account struct {
	Operator   string
	Credential string // file that holds it
	ID         string
}

// Register adds the flags to fs with defaults from the environment.
func (a *Account) Register(f *Factory, fs *flag.FlagSet) {
	fs.StringVar(&a.Operator, "operator", f.Getenv("CUMINFALL_OPERATOR"), "operator `name` (CUMINFALL_OPERATOR)")
	fs.StringVar(&a.Credential, "credential", f.Getenv("CUMINFALL_CREDENTIAL"), "`file` with the operator's credential (CUMINFALL_CREDENTIAL)")
	fs.StringVar(&a.ID, "id", "", "`id` of this change; the same id again gets the first outcome (default random)")
}

// Secret reads the operator's credential.
func (a *Account) Secret() (string, error) {
	if a.Operator == "" || a.Credential == "" {
		return "", fault.New(fault.Usage, "read flags", "", "a change needs --operator and --credential")
	}
	text, err := os.ReadFile(a.Credential)
	if err != nil {
		return "", fault.New(fault.Usage, "read credential", a.Credential, "%v", err)
	}
	return strings.TrimSpace(string(text)), nil
}

// ChangeID returns the given id or a random one.
func (a *Account) ChangeID(f *Factory) (string, error) {
	if a.ID != "" {
		return a.ID, nil
	}
	id, err := Token(f.Random, 8)
	a.ID = id
	return id, err
}

// Token returns n random bytes in hex.
func Token(random io.Reader, n int) (string, error) {
	b := make([]byte, n)
	if _, err := io.ReadFull(random, b); err != nil {
		return "", fault.New(fault.Internal, "read random source", "", "%v", err)
	}
	return hex.EncodeToString(b), nil
}

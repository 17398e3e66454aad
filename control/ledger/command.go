package ledger

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"cuminfall.example/control/ledger/wire"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/rpc"
)

// Command is the content of one log entry.
type Command interface{ command() }

// Commands of the ledger.
type (
	// Found sets the first owners section.
	Found struct{ *wire.Found }
	// Change replaces one section of the document.
	Change struct{ *wire.Change }
	// Claim reserves the right to run a non-idempotent request.
	Claim struct{ *rpc.ClaimRequest }
	// Complete stores the outcome of a claim.
	Complete struct{ *rpc.CompleteRequest }
	// Abandon deletes a claim that did not run.
	Abandon struct{ *rpc.AbandonRequest }
	// Announce registers, replaces or withdraws an upstream.
	Announce struct{ *rpc.Upstream }
	// Suspect changes the state of upstreams by their renewals.
	Suspect struct{ *wire.Suspect }
	// Judge records a verdict.
	Judge struct{ *wire.Judge }
	// Enter registers an entry VM.
	Enter struct{ *wire.Enter }
	// Lend moves shares of limits.
	Lend struct{ *wire.Lend }
	// Remove authorizes and records the removal of a control member.
	Remove struct{ *wire.Remove }
)

func (Found) command()    {}
func (Change) command()   {}
func (Claim) command()    {}
func (Complete) command() {}
func (Abandon) command()  {}
func (Announce) command() {}
func (Suspect) command()  {}
func (Judge) command()    {}
func (Enter) command()    {}
func (Lend) command()     {}
func (Remove) command()   {}

// Encode returns the entry data of a command.
func Encode(c Command) ([]byte, error) {
	w := new(wire.Command)
	switch c := c.(type) {
	case Found:
		w.Body = &wire.Command_Found{Found: c.Found}
	case Change:
		w.Body = &wire.Command_Change{Change: c.Change}
	case Claim:
		w.Body = &wire.Command_Claim{Claim: c.ClaimRequest}
	case Complete:
		w.Body = &wire.Command_Complete{Complete: c.CompleteRequest}
	case Abandon:
		w.Body = &wire.Command_Abandon{Abandon: c.AbandonRequest}
	case Announce:
		w.Body = &wire.Command_Announce{Announce: c.Upstream}
	case Suspect:
		w.Body = &wire.Command_Suspect{Suspect: c.Suspect}
	case Judge:
		w.Body = &wire.Command_Judge{Judge: c.Judge}
	case Enter:
		w.Body = &wire.Command_Enter{Enter: c.Enter}
	case Lend:
		w.Body = &wire.Command_Lend{Lend: c.Lend}
	case Remove:
		w.Body = &wire.Command_Remove{Remove: c.Remove}
	}
	data, err := proto.Marshal(w)
	return data, errors.WithStack(fault.Wrap(err, fault.Invalid, "encode entry", ""))
}

// Decode reads the entry data of a command.
func Decode(data []byte) (Command, error) {
	w := new(wire.Command)
	if err := proto.Unmarshal(data, w); err != nil {
		return nil, fault.New(fault.Internal, "decode entry", "", "%v", err)
	}
	switch b := w.GetBody().(type) {
	case *wire.Command_Found:
		return Found{b.Found}, nil
	case *wire.Command_Change:
		return Change{b.Change}, nil
	case *wire.Command_Claim:
		return Claim{b.Claim}, nil
	case *wire.Command_Complete:
		return Complete{b.Complete}, nil
	case *wire.Command_Abandon:
		return Abandon{b.Abandon}, nil
	case *wire.Command_Announce:
		return Announce{b.Announce}, nil
	case *wire.Command_Suspect:
		return Suspect{b.Suspect}, nil
	case *wire.Command_Judge:
		return Judge{b.Judge}, nil
	case *wire.Command_Enter:
		return Enter{b.Enter}, nil
	case *wire.Command_Lend:
		return Lend{b.Lend}, nil
	case *wire.Command_Remove:
		return Remove{b.Remove}, nil
	}
	return nil, fault.New(fault.Internal, "decode entry", "", "unknown command")
}

package ledger

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"cuminfall.example/control/ledger/wire"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/rpc"
)

// Command is a change of the ledger that one log entry holds.
type Command interface{ command() }

// Commands of the ledger.
type (
	// Bootstrap sets the first owners section of a new control group.
	Bootstrap struct{ *wire.Found }
	// Change replaces one section of the document.
	Change struct{ *wire.Change }
	// Claim reserves the right to execute a non-idempotent request.
	Claim struct{ *rpc.ClaimRequest }
	// Complete stores the outcome of a claim.
	Complete struct{ *rpc.CompleteRequest }
	// Abandon deletes a claim whose request was not executed.
	Abandon struct{ *rpc.AbandonRequest }
	// Announce registers, replaces or withdraws an upstream.
	Announce struct{ *rpc.Upstream }
	// UpdateUpstreamStates marks upstreams as suspected or healthy, or removes them, by their renewals.
	UpdateUpstreamStates struct{ *wire.Suspect }
	// SetVerdict records a monitor's verdict that a target is down or up.
	SetVerdict struct{ *wire.Judge }
	// RegisterEntryVM registers an entry VM or updates its registration.
	RegisterEntryVM struct{ *wire.Enter }
	// SetShares releases holders, confirms lowered shares and sets new shares of limits.
	SetShares struct{ *wire.Lend }
	// Remove checks that an operator may remove a control member, and records the removal.
	Remove struct{ *wire.Remove }
)

func (Bootstrap) command()            {}
func (Change) command()               {}
func (Claim) command()                {}
func (Complete) command()             {}
func (Abandon) command()              {}
func (Announce) command()             {}
func (UpdateUpstreamStates) command() {}
func (SetVerdict) command()           {}
func (RegisterEntryVM) command()      {}
func (SetShares) command()            {}
func (Remove) command()               {}

// Encode returns the log entry data of a command.
func Encode(c Command) ([]byte, error) {
	w := new(wire.Command)
	switch c := c.(type) {
	case Bootstrap:
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
	case UpdateUpstreamStates:
		w.Body = &wire.Command_Suspect{Suspect: c.Suspect}
	case SetVerdict:
		w.Body = &wire.Command_Judge{Judge: c.Judge}
	case RegisterEntryVM:
		w.Body = &wire.Command_Enter{Enter: c.Enter}
	case SetShares:
		w.Body = &wire.Command_Lend{Lend: c.Lend}
	case Remove:
		w.Body = &wire.Command_Remove{Remove: c.Remove}
	}
	data, err := proto.Marshal(w)
	return data, errors.WithStack(fault.Wrap(err, fault.Invalid, "encode entry", ""))
}

// Decode returns the command in the data of a log entry.
func Decode(data []byte) (Command, error) {
	w := new(wire.Command)
	if err := proto.Unmarshal(data, w); err != nil {
		return nil, fault.New(fault.Internal, "decode entry", "", "%v", err)
	}
	switch b := w.GetBody().(type) {
	case *wire.Command_Found:
		return Bootstrap{b.Found}, nil
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
		return UpdateUpstreamStates{b.Suspect}, nil
	case *wire.Command_Judge:
		return SetVerdict{b.Judge}, nil
	case *wire.Command_Enter:
		return RegisterEntryVM{b.Enter}, nil
	case *wire.Command_Lend:
		return SetShares{b.Lend}, nil
	case *wire.Command_Remove:
		return Remove{b.Remove}, nil
	}
	return nil, fault.New(fault.Internal, "decode entry", "", "log entry holds no known command")
}

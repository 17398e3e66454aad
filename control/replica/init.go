package replica

import (
	"crypto/rand"

	"cuminfall.example/control/consensus/wire"
	"cuminfall.example/control/journal"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// Init writes the identity, a membership of this one member and the first data entries into an empty
// folder. The other members start with empty folders and join.
func Init(folder, name string, address ident.Address, first [][]byte) error {
	const step = "init"
	if name == "" || address == "" {
		return fault.New(fault.Invalid, step, folder, "a name and an address are needed")
	}
	disk, err := journal.OpenFolder(folder)
	if err != nil {
		return fault.Wrap(err, fault.Internal, step, folder)
	}
	defer func() { _ = disk.Close() }()
	j, contents, err := journal.Open(disk)
	if err != nil {
		return fault.Wrap(err, fault.Internal, step, folder)
	}
	defer func() { _ = j.Close() }()
	if contents.State != nil {
		return fault.New(fault.Conflict, step, folder, "the folder already belongs to member %s", contents.State.Id)
	}
	state := &wire.HardState{Id: newID(), Term: 1}
	state.Vote = state.Id
	entries := []*wire.Entry{{Index: 1, Term: 1, Kind: wire.EntryKind_ENTRY_KIND_MEMBERS,
		Members: &wire.Membership{Members: []*wire.Member{
			{Id: state.Id, Name: name, Address: string(address), Voter: true}}}}}
	for i, data := range first {
		entries = append(entries, &wire.Entry{Index: uint64(i) + 2, Term: 1,
			Kind: wire.EntryKind_ENTRY_KIND_DATA, Data: data})
	}
	return fault.Wrap(j.Save(state, nil, entries), fault.Internal, step, folder)
}

// newID returns the identity of a new data folder.
func newID() string { return rand.Text() }

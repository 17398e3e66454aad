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
	j, contents, closeAll, err := openFolder(folder, step)
	if err != nil {
		return err
	}
	defer closeAll()
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

// Bootstrap writes, into an empty folder, the identity of the founder with an address and a membership of all
// founders as voters. Each founder writes the same first entry, so whichever majority of them meets first
// forms the one group. A folder that is in use is left as it is.
func Bootstrap(folder string, address ident.Address, founders []ident.Address) error {
	const step = "found"
	j, contents, closeAll, err := openFolder(folder, step)
	if err != nil {
		return err
	}
	defer closeAll()
	state := &wire.HardState{Id: founderID(address), Term: 1}
	if contents.Snapshot != nil || len(contents.Entries) > 0 || contents.State != nil && contents.State.Id != state.Id {
		return nil
	}
	if contents.State != nil {
		state = contents.State // a crash fell between the two writes of an earlier call
	}
	set := &wire.Membership{}
	for _, f := range founders {
		set.Members = append(set.Members, &wire.Member{Id: founderID(f), Name: string(f), Address: string(f), Voter: true})
	}
	first := &wire.Entry{Index: 1, Term: 1, Kind: wire.EntryKind_ENTRY_KIND_MEMBERS, Members: set}
	return fault.Wrap(j.Save(state, nil, []*wire.Entry{first}), fault.Internal, step, folder)
}

// openFolder opens the journal of a folder that no member runs on.
func openFolder(folder, step string) (*journal.Journal, journal.Contents, func(), error) {
	disk, err := journal.OpenFolder(folder)
	if err != nil {
		return nil, journal.Contents{}, nil, fault.Wrap(err, fault.Internal, step, folder)
	}
	j, contents, err := journal.Open(disk)
	if err != nil {
		_ = disk.Close()
		return nil, journal.Contents{}, nil, fault.Wrap(err, fault.Internal, step, folder)
	}
	return j, contents, func() { _, _ = j.Close(), disk.Close() }, nil
}

// founderID is the same for all founders, who know only each other's addresses.
func founderID(address ident.Address) string { return "founder-" + string(address) }

// newID returns the identity of a new data folder.
func newID() string { return rand.Text() }

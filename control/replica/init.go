package replica

import (
	"crypto/rand"

	"cuminfall.example/control/consensus/wire"
	"cuminfall.example/control/journal"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// Init makes an empty data folder that of the only member of a new group: it writes an identity, the
// membership and the first data entries. The other members start with empty folders and join. Init
// returns an error if the folder already belongs to a member.
func Init(folder, name string, address ident.Address, initialEntries [][]byte) error {
	const step = "init"
	if name == "" || address == "" {
		return fault.New(fault.Invalid, step, folder, "the member needs a name and an address")
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
	for i, data := range initialEntries {
		entries = append(entries, &wire.Entry{Index: uint64(i) + 2, Term: 1,
			Kind: wire.EntryKind_ENTRY_KIND_DATA, Data: data})
	}
	return fault.Wrap(j.Save(state, nil, entries), fault.Internal, step, folder)
}

// Bootstrap writes the identity of the initial member with an address, and a membership of all initial
// members as voters, to an empty data folder. All initial members write the same first entry, so any
// majority of them can elect the first leader, and only one group forms. A folder that already holds a
// member's data is left unchanged.
func Bootstrap(folder string, address ident.Address, initialMembers []ident.Address) error {
	const step = "found"
	j, contents, closeAll, err := openFolder(folder, step)
	if err != nil {
		return err
	}
	defer closeAll()
	state := &wire.HardState{Id: bootstrapID(address), Term: 1}
	if contents.Snapshot != nil || len(contents.Entries) > 0 || contents.State != nil && contents.State.Id != state.Id {
		return nil
	}
	if contents.State != nil {
		state = contents.State // an earlier call crashed between its two writes
	}
	membership := &wire.Membership{}
	for _, memberAddress := range initialMembers {
		membership.Members = append(membership.Members, &wire.Member{Id: bootstrapID(memberAddress), Name: string(memberAddress), Address: string(memberAddress), Voter: true})
	}
	firstEntry := &wire.Entry{Index: 1, Term: 1, Kind: wire.EntryKind_ENTRY_KIND_MEMBERS, Members: membership}
	return fault.Wrap(j.Save(state, nil, []*wire.Entry{firstEntry}), fault.Internal, step, folder)
}

// openFolder opens the journal in a data folder. The returned function closes the journal and unlocks the
// folder. It is an error if a running member uses the folder.
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

// bootstrapID returns the identity of an initial member. It depends only on the address, because the
// initial members know nothing else about each other.
func bootstrapID(address ident.Address) string { return "founder-" + string(address) }

// newID returns a random identity for a new data folder.
func newID() string { return rand.Text() }

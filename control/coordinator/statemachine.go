package coordinator

import (
	"encoding/json"
	"sync"

	"github.com/sirupsen/logrus"

	"cuminfall.example/control/replica"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

// maxEntries is how many commands a member keeps for followers, enough for several minutes of a busy day. A follower
// that is further behind gets the whole state.
const maxEntries = 4096

// maxEntryBytes limits the length of these commands. A command may contain a whole catalog.
const maxEntryBytes = ident.Bytes(4 << 20)

// StateMachine holds the replicated registry and its most recent commands.
type StateMachine struct {
	log *process.EventLog

	mu           sync.Mutex
	registry     *registry.Registry
	entries      []protocol.LogEntry // consecutive commands, oldest first
	entryBytes   ident.Bytes         // length of entries
	base         ident.Index         // followers at or after this index can be served from entries
	changed      chan struct{}       // closed and replaced at each change
	cached       cachedState
	drainedAt    map[ident.Domain]ident.Index // last command about a domain's drain
	drainedFloor ident.Index                  // drainedAt of domains that it does not hold
}

// cachedState is the encoded registry at an index, cached because all VMs request it at once after a common restart.
type cachedState struct {
	index ident.Index
	data  json.RawMessage
}

// snapshotThreshold is the total length of commands above which a follower gets the whole state instead, if that is
// shorter. After a day of changes the commands contain many catalogs, which a VM with a slow link and a fraction of a
// core takes seconds to process.
const snapshotThreshold = ident.Bytes(64 << 10)

// NewStateMachine returns a state machine with an empty registry.
func NewStateMachine(log *process.EventLog) *StateMachine {
	return &StateMachine{log: log, registry: registry.New(), changed: make(chan struct{}), drainedAt: map[ident.Domain]ident.Index{}}
}

// Apply implements replica.StateMachine.
func (m *StateMachine) Apply(e replica.Entry) any {
	c, err := registry.Decode(e.Data) // takes tens of milliseconds for a large catalog
	m.mu.Lock()
	defer m.mu.Unlock()
	var result registry.Result
	if err != nil {
		// All members fail in the same way on the same bytes, so their registries stay identical.
		m.registry.Index = e.Index
		result = registry.Result{Code: fault.Internal, Reason: err.Error()}
	} else {
		result = m.registry.Apply(e.Index, c)
		if c.Drain != nil {
			m.drainedAt[c.Drain.Domain] = e.Index
		}
	}
	m.keepEntry(protocol.LogEntry{Index: e.Index, Command: e.Data})
	m.logCommand(e.Index, c, result)
	m.notifyFollowers()
	return result
}

// keepEntry keeps a command for followers and drops the oldest ones beyond the limits. The caller holds m.mu.
func (m *StateMachine) keepEntry(e protocol.LogEntry) {
	m.entries = append(m.entries, e)
	m.entryBytes += ident.Bytes(len(e.Command))
	dropped := 0
	for len(m.entries)-dropped > maxEntries || m.entryBytes > maxEntryBytes {
		m.entryBytes -= ident.Bytes(len(m.entries[dropped].Command))
		m.base = m.entries[dropped].Index
		dropped++
	}
	clear(m.entries[:dropped]) // the array behind the slice is kept for long
	m.entries = m.entries[dropped:]
}

// logCommand logs a command and its result.
func (m *StateMachine) logCommand(index ident.Index, c registry.Command, result registry.Result) {
	fields := logrus.Fields{"index": index, "code": string(result.Code), "why": result.Reason}
	switch {
	case c.Change != nil:
		fields["event"], fields["base"], fields["version"], fields["digest"] = "change", c.Change.Base, c.Change.Version, c.Change.Digest
	case c.Drain != nil:
		fields["event"], fields["domain"], fields["on"] = "drain", c.Drain.Domain, c.Drain.Active
	case c.Join != nil:
		fields["event"], fields["upstream"], fields["service"], fields["state"] = "upstream", c.Join.ID, c.Join.Service, c.Join.State
		fields["born"], fields["sequence"], fields["address"] = c.Join.StartedAt, c.Join.Sequence, c.Join.Address
	case c.Leave != nil:
		fields["event"], fields["upstream"], fields["lost"] = "upstream_gone", c.Leave.ID, c.Leave.TimedOut
	case c.VM != nil:
		fields["event"], fields["vm"], fields["up"], fields["incarnation"] = "vm", c.VM.Name, c.VM.Up, c.VM.Incarnation
	case c.Keep != nil:
		fields["event"], fields["added"], fields["forgotten"] = "keep", len(c.Keep.Add), len(c.Keep.Forget)
	default:
		fields["event"] = "mark"
	}
	m.log.Event(logrus.InfoLevel, "register", fields, "registry changed")
}

// notifyFollowers wakes all followers that wait for a change. The caller holds m.mu.
func (m *StateMachine) notifyFollowers() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// MemberJoined implements replica.StateMachine.
func (m *StateMachine) MemberJoined(e replica.Entry, name string, address ident.Address) {
	m.log.Event(logrus.InfoLevel, "member", logrus.Fields{"event": "member", "member": name, "address": address, "index": e.Index},
		"member joined the control group")
}

// Snapshot implements replica.StateMachine.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registry.Encode()
}

// Restore implements replica.StateMachine.
func (m *StateMachine) Restore(state []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.registry.Restore(state); err != nil {
		return err
	}
	m.entries, m.entryBytes, m.base = nil, 0, m.registry.Index
	m.cached = cachedState{}
	m.drainedAt, m.drainedFloor = map[ident.Domain]ident.Index{}, m.registry.Index
	m.notifyFollowers()
	return nil
}

// encodedState returns the encoded registry. The caller holds m.mu.
func (m *StateMachine) encodedState() (json.RawMessage, error) {
	if m.cached.data == nil || m.cached.index != m.registry.Index {
		data, err := m.registry.Encode()
		if err != nil {
			return nil, err
		}
		m.cached = cachedState{m.registry.Index, data}
	}
	return m.cached.data, nil
}

// entriesAfter returns the commands after an index, or the whole state where that is needed or shorter.
func (m *StateMachine) entriesAfter(index ident.Index) (protocol.FollowReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := protocol.FollowReply{Index: m.registry.Index}
	i := len(m.entries)
	pendingBytes := ident.Bytes(0)
	for i > 0 && m.entries[i-1].Index > index {
		i--
		pendingBytes += ident.Bytes(len(m.entries[i].Command))
	}
	if index < m.base || pendingBytes > snapshotThreshold {
		data, err := m.encodedState()
		if err != nil {
			return reply, err
		}
		if index < m.base || pendingBytes > ident.Bytes(len(data)) {
			reply.State = data
			return reply, nil
		}
	}
	reply.Entries = m.entries[i:]
	return reply, nil
}

// watch returns the index of the last applied command and a channel that is closed at the next one.
func (m *StateMachine) watch() (ident.Index, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registry.Index, m.changed
}

// index returns the index of the last applied command.
func (m *StateMachine) index() ident.Index {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registry.Index
}

// drainState returns whether a failure domain is drained, and the index of the last command about that. After a restart the
// index may be too high.
func (m *StateMachine) drainState(domain ident.Domain) (drained bool, index ident.Index) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registry.Drained[domain], max(m.drainedAt[domain], m.drainedFloor)
}

// view calls f with the registry, which f must neither keep nor change.
func (m *StateMachine) view(f func(*registry.Registry)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.registry)
}

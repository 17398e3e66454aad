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

// keptEntries is how many commands a member keeps for followers; one that is further behind gets the whole
// state. Several minutes of a busy day.
const keptEntries = 4096

// StateMachine is the replicated register with its latest commands.
type StateMachine struct {
	log *process.EventLog

	mu       sync.Mutex
	register *registry.Registry
	entries  []protocol.LogEntry // without gaps in commands, oldest first
	base     ident.Index         // followers at or after it can be served from entries
	changed  chan struct{}
	state    state
}

// state is the encoded register as of an index; all VMs that start anew ask for it at once.
type state struct {
	index ident.Index
	data  json.RawMessage
}

// bulky is the length of commands from which the whole state is sent in their place, where that is shorter: after a day
// of changes the commands carry many catalogs, which a VM on a small link and a part of a core takes seconds for.
const bulky = ident.Bytes(64 << 10)

// NewStateMachine returns a machine with an empty register.
func NewStateMachine(log *process.EventLog) *StateMachine {
	return &StateMachine{log: log, register: registry.New(), changed: make(chan struct{})}
}

// Apply implements replica.StateMachine.
func (m *StateMachine) Apply(e replica.Entry) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, err := registry.Decode(e.Data)
	var result registry.Result
	if err != nil {
		// All members fail alike on the same bytes, so the group stays in agreement.
		m.register.Index = e.Index
		result = registry.Result{Code: fault.Internal, Reason: err.Error()}
	} else {
		result = m.register.Apply(e.Index, c)
	}
	m.entries = append(m.entries, protocol.LogEntry{Index: e.Index, Command: e.Data})
	if over := len(m.entries) - keptEntries; over > 0 {
		m.base = m.entries[over-1].Index
		m.entries = m.entries[over:]
	}
	m.note(e.Index, c, result)
	m.wake()
	return result
}

// note writes the line on a command.
func (m *StateMachine) note(index ident.Index, c registry.Command, result registry.Result) {
	fields := logrus.Fields{"index": index, "code": string(result.Code), "why": result.Reason}
	switch {
	case c.Change != nil:
		fields["event"], fields["base"], fields["version"], fields["digest"] = "change", c.Change.Base, c.Change.Version, c.Change.Digest
	case c.Drain != nil:
		fields["event"], fields["domain"], fields["on"] = "drain", c.Drain.Domain, c.Drain.On
	case c.Join != nil:
		fields["event"], fields["upstream"], fields["service"], fields["state"] = "upstream", c.Join.ID, c.Join.Service, c.Join.State
		fields["born"], fields["sequence"], fields["address"] = c.Join.StartedAt, c.Join.Sequence, c.Join.Address
	case c.Leave != nil:
		fields["event"], fields["upstream"], fields["lost"] = "upstream_gone", c.Leave.ID, c.Leave.TimedOut
	case c.VM != nil:
		fields["event"], fields["vm"], fields["up"], fields["incarnation"] = "vm", c.VM.Name, c.VM.Up, c.VM.Incarnation
	}
	m.log.Event(logrus.InfoLevel, "register", fields, "register changed")
}

func (m *StateMachine) wake() {
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
	return m.register.Encode()
}

// Restore implements replica.StateMachine.
func (m *StateMachine) Restore(state []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.register.Restore(state); err != nil {
		return err
	}
	m.entries, m.base = nil, m.register.Index
	m.wake()
	return nil
}

// encoded returns the whole state; m.mu is held.
func (m *StateMachine) encoded() (json.RawMessage, error) {
	if m.state.data == nil || m.state.index != m.register.Index {
		data, err := m.register.Encode()
		if err != nil {
			return nil, err
		}
		m.state = state{m.register.Index, data}
	}
	return m.state.data, nil
}

// after returns what a follower at an index lacks, and a channel that closes with the next change.
func (m *StateMachine) after(index ident.Index) (protocol.FollowReply, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := protocol.FollowReply{Index: m.register.Index}
	i := len(m.entries)
	lacks := ident.Bytes(0)
	for i > 0 && m.entries[i-1].Index > index {
		i--
		lacks += ident.Bytes(len(m.entries[i].Command))
	}
	if index < m.base || lacks > bulky {
		data, err := m.encoded()
		if err != nil {
			return reply, nil, err
		}
		if index < m.base || lacks > ident.Bytes(len(data)) {
			reply.State = data
			return reply, m.changed, nil
		}
	}
	reply.Entries = m.entries[i:]
	return reply, m.changed, nil
}

// index returns how far the register is.
func (m *StateMachine) index() ident.Index {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.register.Index
}

// view runs f with the register, which it must not keep or change.
func (m *StateMachine) view(f func(*registry.Registry)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.register)
}

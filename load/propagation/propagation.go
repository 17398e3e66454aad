package propagation

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/rpc"
	"cuminfall.example/load/experiment"
	"cuminfall.example/load/report"
)

// Timeouts and intervals of the measurement.
const (
	exchangeTimeout     = time.Second
	pollInterval        = 5 * time.Millisecond
	pauseBetweenChanges = 250 * time.Millisecond // not a multiple of the sync interval of 200 ms, so that changes are made at all phases of it
	overallTimeout      = 15 * time.Second       // about twice the guaranteed maximum of 7 s
)

// ID and secret of the key that is granted and withdrawn.
const (
	keyID     = "inforce"
	keySecret = "secret-of-the-measurement"
)

// Figures summarizes the times from the acceptance of a change until it was in force on the last VM, in nanoseconds.
type Figures struct {
	Count        int           `json:"count"`
	P50          time.Duration `json:"p50"`
	P99          time.Duration `json:"p99"`
	Max          time.Duration `json:"worst"`
	MaxSinceSend time.Duration `json:"sent"` // maximum time since the change was first sent
}

// Report is the result of a measurement, with separate figures for granting and withdrawing the key.
type Report struct {
	VMs        int     `json:"vms"`
	Granted    Figures `json:"granted"`
	Withdrawn  Figures `json:"withdrawn"`
	Reversions int     `json:"reverted"` // cases in which a VM returned to the state before the change
}

// measurement applies changes through the control members and polls the entry VMs.
type measurement struct {
	settings   *experiment.Settings
	clock      clock.Clock
	client     *http.Client
	lastMember int // index of the control member that answered last, which is tried first
}

// run applies the changes one after another. Each waits until the previous one is in force on all VMs.
func (m *measurement) run(ctx context.Context, changes int) (*Report, error) {
	out := &Report{VMs: len(m.settings.Call.EntryAddresses)}
	times := map[bool][]time.Duration{}
	maxSinceSend := map[bool]time.Duration{}
	for i := range changes {
		granted := i%2 == 0
		sent := m.clock.Now()
		if err := m.applyChange(ctx, fmt.Sprintf("inforce-%x-%d", sent.UnixNano(), i), granted); err != nil {
			return nil, err
		}
		accepted := m.clock.Now()
		last, err := m.awaitAll(ctx, granted)
		if err != nil {
			return nil, err
		}
		times[granted] = append(times[granted], max(0, last.Sub(accepted)))
		maxSinceSend[granted] = max(maxSinceSend[granted], last.Sub(sent))
		if err := clock.Sleep(ctx, m.clock, pauseBetweenChanges); err != nil {
			return nil, fault.Wrap(err, fault.Deadline, "measure", "")
		}
		for _, vm := range m.settings.Call.EntryAddresses {
			if state, _ := m.poll(ctx, vm); state == oppositeState(granted) {
				out.Reversions++
			}
		}
	}
	out.Granted = figures(times[true], maxSinceSend[true])
	out.Withdrawn = figures(times[false], maxSinceSend[false])
	return out, nil
}

func figures(times []time.Duration, maxSinceSend time.Duration) Figures {
	f := Figures{Count: len(times), MaxSinceSend: maxSinceSend}
	h := report.NewHistogram()
	for _, t := range times {
		h.RecordValue(max(1, t.Microseconds()))
		f.Max = max(f.Max, t)
	}
	f.P50, f.P99 = report.Quantile(h, 50), report.Quantile(h, 99)
	return f
}

// awaitAll waits until the change is in force on all VMs and returns the time at which the last one had it.
func (m *measurement) awaitAll(ctx context.Context, granted bool) (time.Time, error) {
	var mu sync.Mutex
	var last time.Time
	var failed error
	var polling sync.WaitGroup
	for _, vm := range m.settings.Call.EntryAddresses {
		polling.Go(func() {
			at, err := m.await(ctx, vm, granted)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
			}
			if at.After(last) {
				last = at
			}
		})
	}
	polling.Wait()
	return last, failed
}

// await polls one VM until the change is in force there, for at most overallTimeout.
func (m *measurement) await(ctx context.Context, vm string, granted bool) (time.Time, error) {
	start := m.clock.Now()
	for m.clock.Now().Sub(start) < overallTimeout {
		state, err := m.poll(ctx, vm)
		// A VM with a stale view refuses all requests with a key, so a withdrawn key doesn't work there either.
		if err == nil && (state == expectedState(granted) || !granted && state == viewStale) {
			return m.clock.Now(), nil
		}
		if clock.Sleep(ctx, m.clock, pollInterval) != nil {
			break
		}
	}
	return time.Time{}, fault.New(fault.Deadline, "await change", vm, "change is not in force %s after it was accepted", overallTimeout)
}

// keyState is the state of the key on a VM, as far as a response shows it.
type keyState int

const (
	keyStateOther keyState = iota // the response doesn't show the state
	keyKnown
	keyUnknown
	viewStale // the VM refuses all keys until it has a fresh view of the document
)

func expectedState(granted bool) keyState {
	if granted {
		return keyKnown
	}
	return keyUnknown
}

func oppositeState(granted bool) keyState { return expectedState(!granted) }

// poll sends a request with the key to a VM and returns the state that the response shows. The timeout of the request
// is too short for it to run.
func (m *measurement) poll(ctx context.Context, vm string) (keyState, error) {
	target := "http://" + vm + m.settings.Call.Services[0].Prefix + "inforce"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return keyStateOther, fault.Wrap(err, fault.Internal, "poll", vm)
	}
	request.Header.Set("Authorization", "Bearer ck_"+keyID+"_"+keySecret)
	request.Header.Set("Request-Timeout", "10ms")
	response, err := m.client.Do(request)
	if err != nil {
		return keyStateOther, fault.Wrap(err, fault.Unreachable, "poll", vm)
	}
	defer response.Body.Close()
	var f fault.Error
	if json.NewDecoder(response.Body).Decode(&f) != nil {
		return keyKnown, nil // the answer of an upstream, so the VM accepted the key
	}
	return keyStateFromCode(f.Code), nil
}

// keyStateFromCode returns the state of the key that the code of a refusal implies.
func keyStateFromCode(code fault.Code) keyState {
	switch code {
	case fault.InvalidKey:
		return keyUnknown
	case fault.Stale:
		return viewStale
	case fault.RateExceeded, fault.Busy, fault.Deadline, fault.Upstream:
		return keyKnown // these refusals occur only after the key was accepted
	}
	return keyStateOther
}

// applyChange grants or withdraws the key. If it sends the change again, the content is the same, since the first
// send may have been accepted although its reply was lost.
func (m *measurement) applyChange(ctx context.Context, id string, granted bool) error {
	var request *rpc.ApplyRequest
	err := m.callMembers(ctx, func(client rpc.Operations, address string) error {
		var err error
		request, err = m.editKey(ctx, client, address, granted)
		return err
	})
	if err != nil {
		return err
	}
	request.Id = id
	return m.callMembers(ctx, func(client rpc.Operations, address string) error {
		reply, err := client.Apply(ctx, request)
		if err != nil {
			return fault.Of(err)
		}
		if reply.State != rpc.ApplyState_APPLY_STATE_ACCEPTED {
			return fault.New(fault.Conflict, "change document", address, "%s: %s", reply.State, reply.Reason)
		}
		return nil
	})
}

// callMembers calls the control members in turn until a call succeeds, starting at the one that answered last.
func (m *measurement) callMembers(ctx context.Context, call func(client rpc.Operations, address string) error) error {
	var last error
	start := m.clock.Now()
	for m.clock.Now().Sub(start) < overallTimeout {
		address := m.settings.ControlAddresses[m.lastMember%len(m.settings.ControlAddresses)]
		if last = call(rpc.NewOperationsProtobufClient("http://"+address, m.client), address); last == nil {
			return nil
		}
		m.lastMember++
		if clock.Sleep(ctx, m.clock, 10*time.Millisecond) != nil {
			break
		}
	}
	return last
}

// editKey reads the workspaces section and returns a change that grants or withdraws the key in it.
func (m *measurement) editKey(ctx context.Context, client rpc.Operations, address string, granted bool) (*rpc.ApplyRequest, error) {
	reply, err := client.Show(ctx, &rpc.ShowRequest{Section: string(document.WorkspacesSection)})
	if err != nil {
		return nil, fault.Of(err)
	}
	if len(reply.Sections) != 1 {
		return nil, fault.New(fault.Upstream, "read document", address, "got %d sections, expected 1", len(reply.Sections))
	}
	content, err := document.Parse(document.WorkspacesSection, reply.Sections[0].Text)
	if err != nil {
		return nil, err
	}
	setKey(content.(*document.Workspaces), granted)
	text, err := document.Format(content)
	if err != nil {
		return nil, err
	}
	return &rpc.ApplyRequest{
		Section: string(document.WorkspacesSection), Base: reply.Sections[0].Revision,
		Operator: string(m.settings.Operator), Credential: m.settings.Credential, Text: text,
	}, nil
}

// setKey adds the key to the last workspace if granted is set, and removes it otherwise.
func setKey(w *document.Workspaces, granted bool) {
	workspace := &w.Workspaces[len(w.Workspaces)-1]
	kept := workspace.Keys[:0:0]
	for _, k := range workspace.Keys {
		if k.ID != keyID {
			kept = append(kept, k)
		}
	}
	if granted {
		sum := sha256.Sum256([]byte(keySecret))
		kept = append(kept, document.Key{ID: keyID, Hash: hex.EncodeToString(sum[:])})
	}
	workspace.Keys = kept
}

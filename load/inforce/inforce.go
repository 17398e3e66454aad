package inforce

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

// Times of the measurement.
const (
	exchangeWait = time.Second
	pollEvery    = 5 * time.Millisecond
	pause        = 250 * time.Millisecond // between changes, so that they meet all phases of the exchange of 200 ms
	giveUp       = 15 * time.Second       // twice the worst case of 7 s
)

// Secret and id of the key that is granted and withdrawn.
const (
	keyID  = "inforce"
	secret = "secret-of-the-measurement"
)

// Figures are times from the acceptance of a change until the last VM had it in force, in nanoseconds.
type Figures struct {
	Count int           `json:"count"`
	P50   time.Duration `json:"p50"`
	P99   time.Duration `json:"p99"`
	Worst time.Duration `json:"worst"`
	Sent  time.Duration `json:"sent"` // worst time from the first send of the change
}

// Report is the outcome of a measurement.
type Report struct {
	VMs       int     `json:"vms"`
	Granted   Figures `json:"granted"`
	Withdrawn Figures `json:"withdrawn"`
	Reverted  int     `json:"reverted"` // VMs that did not have a change in force any more before the next one
}

type measure struct {
	set    *experiment.Settings
	clock  clock.Clock
	client *http.Client
	leader int // index of the control member that answered last
}

// run makes the changes one after another; each waits until all VMs have the one before in force.
func (m *measure) run(ctx context.Context, changes int) (*Report, error) {
	out := &Report{VMs: len(m.set.Call.Entries)}
	times := map[bool][]time.Duration{}
	worstSent := map[bool]time.Duration{}
	for i := range changes {
		granted := i%2 == 0
		sent := m.clock.Now()
		if err := m.change(ctx, fmt.Sprintf("inforce-%x-%d", sent.UnixNano(), i), granted); err != nil {
			return nil, err
		}
		accepted := m.clock.Now()
		last, err := m.everywhere(ctx, granted)
		if err != nil {
			return nil, err
		}
		times[granted] = append(times[granted], max(0, last.Sub(accepted)))
		worstSent[granted] = max(worstSent[granted], last.Sub(sent))
		if err := clock.Sleep(ctx, m.clock, pause); err != nil {
			return nil, fault.Wrap(err, fault.Deadline, "measure", "")
		}
		for _, vm := range m.set.Call.Entries {
			if state, _ := m.poll(ctx, vm); state == opposite(granted) {
				out.Reverted++
			}
		}
	}
	out.Granted = figures(times[true], worstSent[true])
	out.Withdrawn = figures(times[false], worstSent[false])
	return out, nil
}

func figures(times []time.Duration, sent time.Duration) Figures {
	f := Figures{Count: len(times), Sent: sent}
	h := report.NewHistogram()
	for _, t := range times {
		h.RecordValue(max(1, t.Microseconds()))
		f.Worst = max(f.Worst, t)
	}
	f.P50, f.P99 = report.Quantile(h, 50), report.Quantile(h, 99)
	return f
}

// everywhere returns when the last VM had the change in force.
func (m *measure) everywhere(ctx context.Context, granted bool) (time.Time, error) {
	var mu sync.Mutex
	var last time.Time
	var failed error
	var polling sync.WaitGroup
	for _, vm := range m.set.Call.Entries {
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

// await polls one VM until it has the change in force.
func (m *measure) await(ctx context.Context, vm string, granted bool) (time.Time, error) {
	start := m.clock.Now()
	for m.clock.Now().Sub(start) < giveUp {
		state, err := m.poll(ctx, vm)
		// A VM with a stale view refuses keyed requests, so a withdrawn key does not work there.
		if err == nil && (state == wanted(granted) || !granted && state == stale) {
			return m.clock.Now(), nil
		}
		if clock.Sleep(ctx, m.clock, pollEvery) != nil {
			break
		}
	}
	return time.Time{}, fault.New(fault.Deadline, "await change", vm, "not in force %s after acceptance", giveUp)
}

// state is what a VM thinks of the key.
type state int

const (
	other state = iota
	known
	unknown
	stale
)

func wanted(granted bool) state {
	if granted {
		return known
	}
	return unknown
}

func opposite(granted bool) state { return wanted(!granted) }

// poll asks a VM with the key; its time-out is too short to run.
func (m *measure) poll(ctx context.Context, vm string) (state, error) {
	target := "http://" + vm + m.set.Call.Services[0].Prefix + "inforce"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return other, fault.Wrap(err, fault.Internal, "poll", vm)
	}
	request.Header.Set("Authorization", "Bearer ck_"+keyID+"_"+secret)
	request.Header.Set("Request-Timeout", "10ms")
	response, err := m.client.Do(request)
	if err != nil {
		return other, fault.Wrap(err, fault.Unreachable, "poll", vm)
	}
	defer response.Body.Close()
	var f fault.Error
	if json.NewDecoder(response.Body).Decode(&f) != nil {
		return known, nil // an upstream's answer
	}
	return judge(f.Code), nil
}

// judge returns what a refusal says about the key.
func judge(code fault.Code) state {
	switch code {
	case fault.Key:
		return unknown
	case fault.Stale:
		return stale
	case fault.Rate, fault.Busy, fault.Deadline, fault.Upstream:
		return known // refused after the key was looked up
	}
	return other
}

// change grants or withdraws the key. A resend has the content of the first send, since its
// outcome may have been lost.
func (m *measure) change(ctx context.Context, id string, granted bool) error {
	var request *rpc.ApplyRequest
	err := m.attempt(ctx, func(client rpc.Operations, address string) error {
		var err error
		request, err = m.edited(ctx, client, address, granted)
		return err
	})
	if err != nil {
		return err
	}
	request.Id = id
	return m.attempt(ctx, func(client rpc.Operations, address string) error {
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

// attempt asks the control members in turn until one answers, the one that answered last first.
func (m *measure) attempt(ctx context.Context, do func(client rpc.Operations, address string) error) error {
	var last error
	start := m.clock.Now()
	for m.clock.Now().Sub(start) < giveUp {
		address := m.set.Control[m.leader%len(m.set.Control)]
		if last = do(rpc.NewOperationsProtobufClient("http://"+address, m.client), address); last == nil {
			return nil
		}
		m.leader++
		if clock.Sleep(ctx, m.clock, 10*time.Millisecond) != nil {
			break
		}
	}
	return last
}

// edited returns the change of the section as it stands.
func (m *measure) edited(ctx context.Context, client rpc.Operations, address string, granted bool) (*rpc.ApplyRequest, error) {
	shown, err := client.Show(ctx, &rpc.ShowRequest{Section: string(document.WorkspacesSection)})
	if err != nil {
		return nil, fault.Of(err)
	}
	if len(shown.Sections) != 1 {
		return nil, fault.New(fault.Upstream, "read document", address, "%d sections", len(shown.Sections))
	}
	part, err := document.Parse(document.WorkspacesSection, shown.Sections[0].Text)
	if err != nil {
		return nil, err
	}
	edit(part.(*document.Workspaces), granted)
	text, err := document.Format(part)
	if err != nil {
		return nil, err
	}
	return &rpc.ApplyRequest{
		Section: string(document.WorkspacesSection), Base: shown.Sections[0].Revision,
		Operator: string(m.set.Operator), Credential: m.set.Credential, Text: text,
	}, nil
}

// edit leaves the key in the last workspace if it is granted, and nowhere otherwise.
func edit(w *document.Workspaces, granted bool) {
	last := &w.Workspaces[len(w.Workspaces)-1]
	kept := last.Keys[:0:0]
	for _, k := range last.Keys {
		if k.ID != keyID {
			kept = append(kept, k)
		}
	}
	if granted {
		sum := sha256.Sum256([]byte(secret))
		kept = append(kept, document.Key{ID: keyID, Hash: hex.EncodeToString(sum[:])})
	}
	last.Keys = kept
}

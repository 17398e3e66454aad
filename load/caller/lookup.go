package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"time"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// Named is one VM in the answer to a lookup.
type Named struct {
	VM      ident.VM      `json:"vm"`
	Address ident.Address `json:"address"`
}

// Lookup is the answer to a lookup: VMs in order of preference and how long it may be kept.
type Lookup struct {
	VMs      []Named `json:"vms"`
	Lifetime string  `json:"lifetime"` // a Go duration
}

// lookupWait bounds one exchange with an entry VM for a lookup.
const lookupWait = time.Second

// shunTime is how long an unreachable VM comes last for a caller; lookups name it no more after 3 s.
const shunTime = 3 * time.Second

// Directory asks for lookups and keeps them for their lifetime.
type Directory struct {
	entries []string
	clock   clock.Clock

	mu      sync.Mutex
	known   map[name]*entry
	shunned map[ident.Address]time.Time // until
	asked   int
}

type name struct {
	service   ident.Service
	workspace ident.Workspace
	source    int
}

type entry struct {
	vms     []ident.Address
	until   time.Time
	loading chan struct{} // closed when the exchange that is under way ends; nil when none is
}

// NewDirectory returns a directory that asks the given entry VMs.
func NewDirectory(entries []string, c clock.Clock) *Directory {
	return &Directory{entries: entries, clock: c, known: make(map[name]*entry), shunned: make(map[ident.Address]time.Time)}
}

// VMs returns the VMs to try, in order.
func (d *Directory) VMs(ctx context.Context, client *http.Client, r *Request) ([]ident.Address, error) {
	key := name{service: r.Service.Name, workspace: r.Workspace.Name, source: r.Source}
	for {
		d.mu.Lock()
		e := d.known[key]
		if e == nil {
			e = &entry{}
			d.known[key] = e
		}
		now := d.clock.Now()
		if now.Before(e.until) {
			list := d.order(e.vms, now)
			d.mu.Unlock()
			return list, nil
		}
		if e.loading == nil {
			e.loading = make(chan struct{})
			d.mu.Unlock()
			if err := d.load(ctx, client, key, e); err != nil {
				return nil, err
			}
			continue
		}
		loading := e.loading
		d.mu.Unlock()
		select {
		case <-loading:
		case <-ctx.Done():
			return nil, fault.Wrap(ctx.Err(), fault.Deadline, "lookup", "")
		}
	}
}

// load asks for one lookup. Where no VM answers, an earlier answer is kept for
// another moment, because its VMs may still serve.
func (d *Directory) load(ctx context.Context, client *http.Client, key name, e *entry) error {
	answer, asked, err := d.ask(ctx, client, key)
	d.mu.Lock()
	defer d.mu.Unlock()
	close(e.loading)
	e.loading = nil
	if err != nil {
		if len(e.vms) == 0 {
			return err
		}
		e.until = d.clock.Now().Add(lookupWait)
		return nil
	}
	lifetime, err := time.ParseDuration(answer.Lifetime)
	if err != nil || len(answer.VMs) == 0 {
		return fault.New(fault.Upstream, "lookup", "", "%d VMs, lifetime %q", len(answer.VMs), answer.Lifetime)
	}
	e.vms = e.vms[:0:0]
	for _, vm := range answer.VMs {
		e.vms = append(e.vms, vm.Address)
	}
	e.until = asked.Add(lifetime)
	return nil
}

// ask tries the entry VMs in turn; callers spread over them by starting at different ones.
func (d *Directory) ask(ctx context.Context, client *http.Client, key name) (Lookup, time.Time, error) {
	query := url.Values{"service": {string(key.service)}, "workspace": {string(key.workspace)}}
	d.mu.Lock()
	first := d.asked
	d.asked++
	d.mu.Unlock()
	err := error(fault.New(fault.Unreachable, "lookup", "", "no entry VMs in the settings"))
	for i := range d.entries {
		address := d.entries[(first+i)%len(d.entries)]
		asked := d.clock.Now()
		var answer Lookup
		answer, err = fetch(ctx, client, "http://"+address+"/cuminfall/v1/lookup?"+query.Encode(), address)
		if err == nil {
			return answer, asked, nil
		}
	}
	return Lookup{}, time.Time{}, err
}

func fetch(ctx context.Context, client *http.Client, target, address string) (Lookup, error) {
	var answer Lookup
	ctx, cancel := context.WithTimeout(ctx, lookupWait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return answer, fault.Wrap(err, fault.Internal, "lookup", address)
	}
	response, err := client.Do(request)
	if err != nil {
		return answer, fault.Wrap(err, fault.Unreachable, "lookup", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer, fault.New(fault.Unreachable, "lookup", address, "status %d", response.StatusCode)
	}
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer, fault.Wrap(err, fault.Upstream, "lookup", address)
}

// Shun puts an unreachable VM last for a while.
func (d *Directory) Shun(address ident.Address) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shunned[address] = d.clock.Now().Add(shunTime)
}

// order returns the VMs with the shunned ones last. The caller holds the mutex.
func (d *Directory) order(vms []ident.Address, now time.Time) []ident.Address {
	list := make([]ident.Address, 0, len(vms))
	var last []ident.Address
	for _, vm := range vms {
		if now.Before(d.shunned[vm]) {
			last = append(last, vm)
			continue
		}
		list = append(list, vm)
	}
	return append(list, last...)
}

package baseline

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sort"
	"sync"
	"time"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/load/caller"
	"cuminfall.example/load/report"
	"cuminfall.example/load/upstream"
)

// Names of the baselines.
const (
	RoundRobin = "round-robin"
	LeastLoad  = "least-load"
	FixedSplit = "fixed-split"
)

// Names lists the baselines.
var Names = []string{RoundRobin, LeastLoad, FixedSplit}

// Dispatcher routes requests straight to stand-ins. All baselines admit by a token bucket:
// fixed split has one per workspace and VM with an equal part, the others one per workspace.
type Dispatcher struct {
	name    string
	vms     int
	clock   clock.Clock
	client  *http.Client // of load reports
	clients map[netip.Addr]*http.Client
	targets map[ident.Service][]*target

	mu      sync.Mutex
	turn    map[ident.Service]int
	buckets map[bucketName]*bucket
	random  *rand.Rand
}

// target is an endpoint with its last reported load.
type target struct {
	address ident.Address
	slots   ident.Slots
	load    int64
}

type bucketName struct {
	workspace ident.Workspace
	vm        int
}

// bucket admits at a rate with a burst by the time at which it would be full again.
type bucket struct{ full time.Time }

// New returns a dispatcher over the endpoints for a fleet of that many VMs.
func New(name string, endpoints []upstream.Status, vms int, c clock.Clock, seed uint64) *Dispatcher {
	d := &Dispatcher{
		name: name, vms: vms, clock: c, client: &http.Client{Transport: caller.NewTransport(netip.Addr{})},
		clients: make(map[netip.Addr]*http.Client),
		targets: make(map[ident.Service][]*target), turn: make(map[ident.Service]int),
		buckets: make(map[bucketName]*bucket), random: rand.New(rand.NewPCG(seed, 3)),
	}
	for _, e := range endpoints {
		d.targets[e.Service] = append(d.targets[e.Service], &target{address: e.Address, slots: e.Slots})
	}
	return d
}

// attempts bounds the endpoints that are tried when they shed a request.
const attempts = 3

// Do implements caller.Path.
func (d *Dispatcher) Do(ctx context.Context, r *caller.Request) caller.Result {
	wait, ok := d.admit(ctx, r)
	if !ok || clock.Sleep(ctx, d.clock, wait) != nil {
		return caller.Result{Kind: report.Refused, Code: fault.Rate, Execution: fault.NotExecuted, Attempts: 1}
	}
	client := d.clientOf(r)
	var result caller.Result
	for n := range attempts {
		to, ok := d.choose(r.Service.Name)
		if !ok {
			return caller.Result{Kind: report.Refused, Code: fault.NotFound, Execution: fault.NotExecuted, Attempts: 1}
		}
		result = caller.SendDirect(ctx, client, d.clock, to, r, n+1)
		if result.Execution != fault.NotExecuted || ctx.Err() != nil {
			break
		}
	}
	return result
}

// clientOf returns a client that dials from the caller's address, so that the
// stand-ins add the latency from the caller's region.
func (d *Dispatcher) clientOf(r *caller.Request) *http.Client {
	if len(r.Workspace.LocalAddrs) == 0 {
		return d.client
	}
	source := r.Workspace.LocalAddrs[r.LocalAddrIndex]
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.clients[source] == nil {
		d.clients[source] = &http.Client{Transport: caller.NewTransport(source)}
	}
	return d.clients[source]
}

// admit spends a token of the workspace, and returns how long the request has to wait for it.
// A request that could not get one before its deadline spends nothing.
func (d *Dispatcher) admit(ctx context.Context, r *caller.Request) (time.Duration, bool) {
	name := bucketName{workspace: r.Workspace.Name}
	rate, burst := float64(r.Workspace.Rate), r.Workspace.Burst
	if d.name == FixedSplit {
		name.vm = vmOf(r, d.vms)
		rate /= float64(d.vms)
		burst = max(1, burst/float64(d.vms))
	}
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.buckets[name]
	if b == nil {
		b = &bucket{full: now}
		d.buckets[name] = b
	}
	full := b.full
	if full.Before(now) {
		full = now
	}
	full = full.Add(time.Duration(float64(time.Second) / rate))
	wait := full.Sub(now) - time.Duration(burst/rate*float64(time.Second))
	if deadline, ok := ctx.Deadline(); ok && wait > deadline.Sub(now) {
		return 0, false
	}
	b.full = full
	return max(0, wait), true
}

// usedVMs is the number of VMs that the callers of one workspace use, as lookups have it.
const usedVMs = 2

// vmOf returns the VM of a request.
func vmOf(r *caller.Request, vms int) int {
	of := func(text string) int {
		sum := fnv.New32a()
		sum.Write([]byte(text))
		return int(sum.Sum32() >> 1)
	}
	return (of(string(r.Workspace.Name)) + of(r.ID)%usedVMs) % vms
}

// choose returns the endpoint for the next request of a service.
func (d *Dispatcher) choose(service ident.Service) (ident.Address, bool) {
	list := d.targets[service]
	if len(list) == 0 {
		return "", false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.name != LeastLoad {
		d.turn[service]++
		return list[d.turn[service]%len(list)].address, true
	}
	// Equal loads are frequent among small numbers, so ties are broken at random.
	best := []*target{list[0]}
	for _, t := range list[1:] {
		a, b := float64(t.load)/float64(t.slots), float64(best[0].load)/float64(best[0].slots)
		if a < b {
			best = best[:0]
		}
		if a <= b {
			best = append(best, t)
		}
	}
	return best[d.random.IntN(len(best))].address, true
}

// pollEvery is the interval of load reports.
const pollEvery = 250 * time.Millisecond

// Poll reads load reports of all endpoints until ctx ends; only the least-load baseline needs it.
func (d *Dispatcher) Poll(ctx context.Context) {
	if d.name != LeastLoad {
		return
	}
	var all []*target
	for _, list := range d.targets {
		all = append(all, list...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].address < all[j].address })
	for ctx.Err() == nil {
		var polling sync.WaitGroup
		for _, t := range all {
			polling.Go(func() { d.poll(ctx, t) })
		}
		polling.Wait()
		clock.Sleep(ctx, d.clock, pollEvery)
	}
}

// poll reads one report; the last one stays when it fails.
func (d *Dispatcher) poll(ctx context.Context, t *target) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(t.address)+"/load", nil)
	if err != nil {
		return
	}
	response, err := d.client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	var load struct {
		Load int64 `json:"load"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&load) != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	t.load = load.Load
}

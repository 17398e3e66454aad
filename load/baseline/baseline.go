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

// Names lists the names of all baselines.
var Names = []string{RoundRobin, LeastLoad, FixedSplit}

// Dispatcher sends requests directly to stand-in endpoints. Every baseline limits admission with token
// buckets: fixed split has one for each workspace and VM, with equal shares of the workspace's rate;
// the others have one for each workspace.
type Dispatcher struct {
	baseline        string
	vmCount         int
	clock           clock.Clock
	defaultClient   *http.Client // for load reports and callers without a source address
	clientsBySource map[netip.Addr]*http.Client
	endpoints       map[ident.Service][]*endpoint

	mu        sync.Mutex
	nextIndex map[ident.Service]int
	buckets   map[bucketKey]*bucket
	random    *rand.Rand
}

// endpoint is a stand-in endpoint with the load it reported last.
type endpoint struct {
	address      ident.Address
	slots        ident.Slots
	reportedLoad int64
}

type bucketKey struct {
	workspace ident.Workspace
	vm        int
}

// bucket is a token bucket, stored as the time at which it is full again.
type bucket struct{ fullAt time.Time }

// New returns a dispatcher for the endpoints that simulates a fleet of vmCount entry VMs.
func New(baseline string, endpoints []upstream.Status, vmCount int, c clock.Clock, seed uint64) *Dispatcher {
	d := &Dispatcher{
		baseline: baseline, vmCount: vmCount, clock: c, defaultClient: &http.Client{Transport: caller.NewTransport(netip.Addr{})},
		clientsBySource: make(map[netip.Addr]*http.Client),
		endpoints:       make(map[ident.Service][]*endpoint), nextIndex: make(map[ident.Service]int),
		buckets: make(map[bucketKey]*bucket), random: rand.New(rand.NewPCG(seed, 3)),
	}
	for _, e := range endpoints {
		d.endpoints[e.Service] = append(d.endpoints[e.Service], &endpoint{address: e.Address, slots: e.Slots})
	}
	return d
}

// maxAttempts bounds how often a request is sent if endpoints refuse it without executing it.
const maxAttempts = 3

// Do implements caller.Path.
func (d *Dispatcher) Do(ctx context.Context, r *caller.Request) caller.Result {
	wait, ok := d.admit(ctx, r)
	if !ok || clock.Sleep(ctx, d.clock, wait) != nil {
		return caller.Result{Kind: report.Refused, Code: fault.RateExceeded, Execution: fault.NotExecuted, Attempts: 1}
	}
	client := d.clientFor(r)
	var result caller.Result
	for previousAttempts := range maxAttempts {
		address, ok := d.chooseEndpoint(r.Service.Name)
		if !ok {
			return caller.Result{Kind: report.Refused, Code: fault.NotFound, Execution: fault.NotExecuted, Attempts: 1}
		}
		result = caller.SendDirect(ctx, client, d.clock, address, r, previousAttempts+1)
		if result.Execution != fault.NotExecuted || ctx.Err() != nil {
			break
		}
	}
	return result
}

// clientFor returns a client that dials from the caller's source address, so that the
// stand-ins add the latency from the caller's region.
func (d *Dispatcher) clientFor(r *caller.Request) *http.Client {
	if len(r.Workspace.LocalAddrs) == 0 {
		return d.defaultClient
	}
	source := r.Workspace.LocalAddrs[r.LocalAddrIndex]
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.clientsBySource[source] == nil {
		d.clientsBySource[source] = &http.Client{Transport: caller.NewTransport(source)}
	}
	return d.clientsBySource[source]
}

// admit takes a token of the workspace and returns how long the request must wait for it.
// It returns false, and takes no token, if the wait would exceed the deadline of ctx.
func (d *Dispatcher) admit(ctx context.Context, r *caller.Request) (time.Duration, bool) {
	key := bucketKey{workspace: r.Workspace.Name}
	rate, burst := float64(r.Workspace.Rate), r.Workspace.Burst
	if d.baseline == FixedSplit {
		key.vm = vmFor(r, d.vmCount)
		rate /= float64(d.vmCount)
		burst = max(1, burst/float64(d.vmCount))
	}
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.buckets[key]
	if b == nil {
		b = &bucket{fullAt: now}
		d.buckets[key] = b
	}
	fullAt := b.fullAt
	if fullAt.Before(now) {
		fullAt = now
	}
	fullAt = fullAt.Add(time.Duration(float64(time.Second) / rate))
	wait := fullAt.Sub(now) - time.Duration(burst/rate*float64(time.Second))
	if deadline, ok := ctx.Deadline(); ok && wait > deadline.Sub(now) {
		return 0, false
	}
	b.fullAt = fullAt
	return max(0, wait), true
}

// vmsPerWorkspace is the number of VMs that a workspace's requests use, the same as lookups return.
const vmsPerWorkspace = 2

// vmFor returns the index of the VM that handles a request.
func vmFor(r *caller.Request, vmCount int) int {
	hash := func(text string) int {
		sum := fnv.New32a()
		sum.Write([]byte(text))
		return int(sum.Sum32() >> 1)
	}
	return (hash(string(r.Workspace.Name)) + hash(r.ID)%vmsPerWorkspace) % vmCount
}

// chooseEndpoint returns the address of the endpoint for the next request of a service.
func (d *Dispatcher) chooseEndpoint(service ident.Service) (ident.Address, bool) {
	list := d.endpoints[service]
	if len(list) == 0 {
		return "", false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.baseline != LeastLoad {
		d.nextIndex[service]++
		return list[d.nextIndex[service]%len(list)].address, true
	}
	// Loads are small numbers, so ties are frequent; they are broken at random.
	best := []*endpoint{list[0]}
	for _, e := range list[1:] {
		load, bestLoad := float64(e.reportedLoad)/float64(e.slots), float64(best[0].reportedLoad)/float64(best[0].slots)
		if load < bestLoad {
			best = best[:0]
		}
		if load <= bestLoad {
			best = append(best, e)
		}
	}
	return best[d.random.IntN(len(best))].address, true
}

// pollInterval is the time between polls of the endpoints' loads.
const pollInterval = 250 * time.Millisecond

// PollLoads polls the loads of all endpoints until ctx ends. It returns at once unless the baseline is least-load.
func (d *Dispatcher) PollLoads(ctx context.Context) {
	if d.baseline != LeastLoad {
		return
	}
	var all []*endpoint
	for _, list := range d.endpoints {
		all = append(all, list...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].address < all[j].address })
	for ctx.Err() == nil {
		var polling sync.WaitGroup
		for _, e := range all {
			polling.Go(func() { d.pollLoad(ctx, e) })
		}
		polling.Wait()
		clock.Sleep(ctx, d.clock, pollInterval)
	}
}

// pollLoad updates the load of one endpoint; if the poll fails, the previous load stays.
func (d *Dispatcher) pollLoad(ctx context.Context, e *endpoint) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(e.address)+"/load", nil)
	if err != nil {
		return
	}
	response, err := d.defaultClient.Do(request)
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
	e.reportedLoad = load.Load
}

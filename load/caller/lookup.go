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

// LookupVM is an entry VM in the response to a lookup.
type LookupVM struct {
	VM      ident.VM      `json:"vm"`
	Address ident.Address `json:"address"`
}

// Lookup is the response to a lookup: entry VMs in order of preference, and how long the response may be cached.
type Lookup struct {
	VMs      []LookupVM `json:"vms"`
	Lifetime string     `json:"lifetime"` // a Go duration
}

// lookupTimeout limits a lookup request to one entry VM.
const lookupTimeout = time.Second

// unreachableHold is the time for which a caller tries an unreachable VM last. After 3 s lookups no longer
// return the VM.
const unreachableHold = 3 * time.Second

// LookupCache sends lookups to entry VMs and caches the responses for their lifetime.
type LookupCache struct {
	entryAddresses []string
	clock          clock.Clock

	mu               sync.Mutex
	lookups          map[cacheKey]*cachedLookup
	unreachableUntil map[ident.Address]time.Time // time at which the VM is tried in its usual position again
	nextStart        int
}

type cacheKey struct {
	service   ident.Service
	workspace ident.Workspace
	source    int
}

type cachedLookup struct {
	vms        []ident.Address
	expiry     time.Time
	refreshing chan struct{} // closed when the lookup in progress ends; nil if there is none
}

// NewLookupCache returns an empty cache that sends lookups to the given entry VMs.
func NewLookupCache(entryAddresses []string, c clock.Clock) *LookupCache {
	return &LookupCache{entryAddresses: entryAddresses, clock: c, lookups: make(map[cacheKey]*cachedLookup), unreachableUntil: make(map[ident.Address]time.Time)}
}

// VMs returns the addresses of the VMs to try for a request, in order. It returns an error if ctx ends, or if the
// lookup fails and no earlier response is cached.
func (c *LookupCache) VMs(ctx context.Context, client *http.Client, r *Request) ([]ident.Address, error) {
	key := cacheKey{service: r.Service.Name, workspace: r.Workspace.Name, source: r.LocalAddrIndex}
	for {
		c.mu.Lock()
		e := c.lookups[key]
		if e == nil {
			e = &cachedLookup{}
			c.lookups[key] = e
		}
		now := c.clock.Now()
		if now.Before(e.expiry) {
			list := c.unreachableLast(e.vms, now)
			c.mu.Unlock()
			return list, nil
		}
		if e.refreshing == nil {
			e.refreshing = make(chan struct{})
			c.mu.Unlock()
			if err := c.refresh(ctx, client, key, e); err != nil {
				return nil, err
			}
			continue
		}
		refreshing := e.refreshing
		c.mu.Unlock()
		select {
		case <-refreshing:
		case <-ctx.Done():
			return nil, fault.Wrap(ctx.Err(), fault.Deadline, "lookup", "")
		}
	}
}

// refresh replaces a cached lookup. If no VM answers, an earlier response stays valid for lookupTimeout, because its
// VMs may still work.
func (c *LookupCache) refresh(ctx context.Context, client *http.Client, key cacheKey, e *cachedLookup) error {
	lookup, requestedAt, err := c.queryEntryVMs(ctx, client, key)
	c.mu.Lock()
	defer c.mu.Unlock()
	close(e.refreshing)
	e.refreshing = nil
	if err != nil {
		if len(e.vms) == 0 {
			return err
		}
		e.expiry = c.clock.Now().Add(lookupTimeout)
		return nil
	}
	lifetime, err := time.ParseDuration(lookup.Lifetime)
	if err != nil || len(lookup.VMs) == 0 {
		return fault.New(fault.Upstream, "lookup", "", "response has %d VMs and lifetime %q, expected at least one VM and a duration", len(lookup.VMs), lookup.Lifetime)
	}
	e.vms = e.vms[:0:0]
	for _, vm := range lookup.VMs {
		e.vms = append(e.vms, vm.Address)
	}
	e.expiry = requestedAt.Add(lifetime)
	return nil
}

// queryEntryVMs sends the lookup to the entry VMs in turn until one answers. Each lookup starts at another VM, so
// that the load is spread over them.
func (c *LookupCache) queryEntryVMs(ctx context.Context, client *http.Client, key cacheKey) (Lookup, time.Time, error) {
	query := url.Values{"service": {string(key.service)}, "workspace": {string(key.workspace)}}
	c.mu.Lock()
	start := c.nextStart
	c.nextStart++
	c.mu.Unlock()
	err := error(fault.New(fault.Unreachable, "lookup", "", "the settings list no entry VMs"))
	for i := range c.entryAddresses {
		address := c.entryAddresses[(start+i)%len(c.entryAddresses)]
		requestedAt := c.clock.Now()
		var lookup Lookup
		lookup, err = fetchLookup(ctx, client, "http://"+address+"/cuminfall/v1/lookup?"+query.Encode(), address)
		if err == nil {
			return lookup, requestedAt, nil
		}
	}
	return Lookup{}, time.Time{}, err
}

func fetchLookup(ctx context.Context, client *http.Client, target, address string) (Lookup, error) {
	var lookup Lookup
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return lookup, fault.Wrap(err, fault.Internal, "lookup", address)
	}
	response, err := client.Do(request)
	if err != nil {
		return lookup, fault.Wrap(err, fault.Unreachable, "lookup", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return lookup, fault.New(fault.Unreachable, "lookup", address, "unexpected HTTP status %d", response.StatusCode)
	}
	err = json.NewDecoder(response.Body).Decode(&lookup)
	return lookup, fault.Wrap(err, fault.Upstream, "lookup", address)
}

// MarkUnreachable makes the VM the last one to try for the next unreachableHold.
func (c *LookupCache) MarkUnreachable(address ident.Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachableUntil[address] = c.clock.Now().Add(unreachableHold)
}

// unreachableLast returns the VMs with the unreachable ones last. The caller holds the mutex.
func (c *LookupCache) unreachableLast(vms []ident.Address, now time.Time) []ident.Address {
	list := make([]ident.Address, 0, len(vms))
	var unreachable []ident.Address
	for _, vm := range vms {
		if now.Before(c.unreachableUntil[vm]) {
			unreachable = append(unreachable, vm)
			continue
		}
		list = append(list, vm)
	}
	return append(list, unreachable...)
}

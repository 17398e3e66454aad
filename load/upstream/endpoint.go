package upstream

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/process"
)

// Counts is what an endpoint has seen since its start.
type Counts struct {
	Runs               uint64 `json:"runs"`
	Shed               uint64 `json:"shed"`  // refused as not run for want of a slot
	Over               uint64 `json:"over"`  // arrivals while all slots were taken
	Late               uint64 `json:"late"`  // arrivals after leave and the linger time
	Most               int    `json:"most"`  // requests at the same time, waiting ones included
	MostConnections    int    `json:"links"` // connections at the same time
	RefusedConnections uint64 `json:"refused"`

	// Used is the time that slots were in use, summed over slots.
	Used time.Duration `json:"used"`
}

// Status describes an endpoint at one moment.
type Status struct {
	Service     ident.Service     `json:"service"`
	Address     ident.Address     `json:"address"`
	Domain      ident.Domain      `json:"domain"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Slots       ident.Slots       `json:"slots"`
	Connections ident.Connections `json:"connections"`
	Running     int               `json:"running"`
	Waiting     int               `json:"waiting"`
	Open        int               `json:"open"` // connections
	Up          bool              `json:"up"`
	Leaving     bool              `json:"leaving"`
	Announced   ident.Address     `json:"announced"` // entry VM that took the announcement or last renewal
	Fault       Fault             `json:"fault"`
	Report      Reporting         `json:"report"`
	Counts      Counts            `json:"counts"`
}

// Endpoint is one stand-in endpoint of a service.
type Endpoint struct {
	clock  clock.Clock
	log    *logrus.Entry
	record *Record
	links  []LinkSettings

	mu          sync.Mutex
	set         EndpointSettings
	random      *rand.Rand
	incarnation ident.Incarnation
	started     time.Time
	server      *http.Server
	announced   ident.Address
	leaving     bool
	closing     bool // refuses all new requests
	running     int
	queue       []chan struct{}
	open        map[*connection]bool
	mute        []*connection
	fault       Fault
	waiting     *exchange
	report      Reporting
	loads       []loadSample
	used        int       // slots in use since usedFrom
	usedFrom    time.Time // when Counts.Used was brought up to date
	served      int       // runs of this incarnation
	counts      Counts
}

// NewEndpoint returns an endpoint that is not listening yet.
func NewEndpoint(set EndpointSettings, links []LinkSettings, c clock.Clock, record *Record, log *logrus.Logger, seed uint64) *Endpoint {
	set.fill()
	return &Endpoint{
		clock: c, record: record, links: links, set: set,
		log:    log.WithField("endpoint", set.Address),
		random: rand.New(rand.NewPCG(seed, 2)),
		open:   make(map[*connection]bool),
		report: Reporting{Mode: Honest},
	}
}

// Start listens and serves under a new incarnation.
func (e *Endpoint) Start() error {
	l, err := process.Listen(string(e.set.Address))
	if err != nil {
		return err
	}
	e.mu.Lock()
	if !strings.HasSuffix(string(e.set.Address), ":"+port(l)) {
		e.set.Address = ident.Address(l.Addr().String()) // the settings left the port open
	}
	e.started = e.clock.Now()
	e.incarnation = max(e.incarnation+1, ident.Incarnation(e.started.UnixMilli()))
	e.leaving, e.closing = false, false
	e.loads = nil
	e.served = 0 // the cache is cold again
	server := &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	e.server = server
	e.mu.Unlock()
	go func() {
		if err := process.Serve(server, &listener{Listener: l, e: e}); err != nil {
			e.log.WithError(err).Error("endpoint stopped")
		}
	}()
	return nil
}

func port(l net.Listener) string {
	_, port, _ := net.SplitHostPort(l.Addr().String())
	return port
}

// Kill ends the endpoint at once: the listener and all connections close.
func (e *Endpoint) Kill() {
	e.mu.Lock()
	server := e.server
	e.server = nil
	open := make([]*connection, 0, len(e.open)+len(e.mute))
	for c := range e.open {
		open = append(open, c)
	}
	open = append(open, e.mute...)
	e.mute = nil
	e.mu.Unlock()
	if server == nil {
		return
	}
	server.Close()
	for _, c := range open {
		reset(c)
	}
}

// Stop refuses new requests and waits for those in flight until ctx ends.
func (e *Endpoint) Stop(ctx context.Context) error {
	e.mu.Lock()
	server := e.server
	e.closing = true
	e.mu.Unlock()
	if server == nil {
		return nil
	}
	err := server.Shutdown(ctx)
	e.Kill()
	return err
}

// Status returns the endpoint's present state.
func (e *Endpoint) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.account(e.clock.Now())
	return Status{
		Service: e.set.Service, Address: e.set.Address, Domain: e.set.Domain, Incarnation: e.incarnation,
		Slots: e.set.Slots, Connections: e.set.Connections, Running: e.running, Waiting: len(e.queue),
		Open: len(e.open), Up: e.server != nil, Leaving: e.leaving, Announced: e.announced,
		Fault: e.fault, Report: e.report, Counts: e.counts,
	}
}

// Cool makes the cache cold again.
func (e *Endpoint) Cool() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.served = 0
}

// account brings Counts.Used up to date. The caller holds the mutex.
func (e *Endpoint) account(now time.Time) {
	if e.used > 0 {
		e.counts.Used += time.Duration(e.used) * now.Sub(e.usedFrom)
	}
	e.used = e.running
	e.usedFrom = now
}

// SetFault replaces the present fault.
func (e *Endpoint) SetFault(f Fault) {
	e.mu.Lock()
	e.fault = f
	e.mu.Unlock()
	if f.Silent {
		e.silence()
	}
}

// SetReporting replaces the way in which load is reported.
func (e *Endpoint) SetReporting(r Reporting) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report = r
	if r.Mode == Stopped {
		e.report.Value = int64(e.running + len(e.queue))
	}
}

// Resize changes the slots and connections, which the next announcement states; 0 leaves them.
func (e *Endpoint) Resize(slots ident.Slots, connections ident.Connections) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slots > 0 {
		e.set.Slots = slots
	}
	if connections > 0 {
		e.set.Connections = connections
	}
}

// take gets a slot, waiting for one in the queue if there is room; false means that the request is shed.
func (e *Endpoint) take(ctx context.Context) bool {
	e.mu.Lock()
	if e.closing {
		e.counts.Late++
		e.mu.Unlock()
		return false
	}
	if e.running < int(e.set.Slots) {
		e.running++
		e.arrived()
		e.mu.Unlock()
		return true
	}
	e.counts.Over++
	if len(e.queue) >= e.set.Queue {
		e.counts.Shed++
		e.mu.Unlock()
		return false
	}
	turn := make(chan struct{}, 1)
	e.queue = append(e.queue, turn)
	e.arrived()
	e.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
	case <-e.clock.After(e.set.Patience):
	}
	return e.withdraw(turn)
}

// arrived notes a request that holds a slot or waits for one. The caller holds the mutex.
func (e *Endpoint) arrived() {
	e.counts.Most = max(e.counts.Most, e.running+len(e.queue))
	e.sample()
}

// withdraw takes a request out of the queue; it returns true if the request got its slot meanwhile.
func (e *Endpoint) withdraw(turn chan struct{}) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, t := range e.queue {
		if t == turn {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			e.counts.Shed++
			e.sample()
			return false
		}
	}
	return true
}

// release passes a slot to the first in the queue, or frees it.
func (e *Endpoint) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) > 0 && e.running <= int(e.set.Slots) {
		e.queue[0] <- struct{}{}
		e.queue = e.queue[1:]
	} else {
		e.running--
	}
	e.sample()
}

// serviceTime draws the time of one run: a cold start and a cold cache lengthen it.
func (e *Endpoint) serviceTime(now time.Time, factor float64) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := float64(e.set.Median)
	switch e.set.Times {
	case "exponential":
		t *= e.random.ExpFloat64() / math.Ln2 // the median of an exponential is ln 2 of its mean
	case "lognormal":
		t *= math.Exp(e.set.Spread * e.random.NormFloat64())
	}
	if age := now.Sub(e.started); age < e.set.Cold {
		t *= 1 + (e.set.Slow-1)*(1-float64(age)/float64(e.set.Cold))
	}
	if e.served < e.set.Cache && e.random.Float64() >= float64(e.served)/float64(e.set.Cache) {
		t *= e.set.Miss
	}
	if factor > 0 {
		t *= factor
	}
	e.served++
	e.counts.Runs++
	return time.Duration(t)
}

// latency returns the one-way latency to a caller.
func (e *Endpoint) latency(remote string) time.Duration {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return e.set.Latency
	}
	address, err := netip.ParseAddr(host)
	if err != nil {
		return e.set.Latency
	}
	for i := range e.links {
		if e.links[i].Domain == e.set.Domain && e.links[i].Prefix.Contains(address) {
			return e.links[i].Latency
		}
	}
	return e.set.Latency
}

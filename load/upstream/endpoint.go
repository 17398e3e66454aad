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

// Counts holds the counters of an endpoint since it was created.
type Counts struct {
	Runs                  uint64 `json:"runs"`
	Shed                  uint64 `json:"shed"`  // refused without execution because no slot was free
	SaturatedArrivals     uint64 `json:"over"`  // requests that arrived while all slots were in use
	ArrivalsWhileStopping uint64 `json:"late"`  // requests that arrived during a stop, after the linger period
	MaxRequests           int    `json:"most"`  // maximum of running and waiting requests
	MaxConnections        int    `json:"links"` // maximum of open connections
	RefusedConnections    uint64 `json:"refused"`

	// SlotTime is the time that slots were in use, summed over all slots.
	SlotTime time.Duration `json:"used"`
}

// Status is a snapshot of an endpoint's state.
type Status struct {
	Service         ident.Service     `json:"service"`
	Address         ident.Address     `json:"address"`
	Domain          ident.Domain      `json:"domain"`
	Incarnation     ident.Incarnation `json:"incarnation"`
	Slots           ident.Slots       `json:"slots"`
	MaxConnections  ident.Connections `json:"connections"`
	Running         int               `json:"running"`
	Waiting         int               `json:"waiting"`
	OpenConnections int               `json:"open"` // without silent ones
	Up              bool              `json:"up"`
	Leaving         bool              `json:"leaving"`
	AnnouncedTo     ident.Address     `json:"announced"` // entry VM that accepted the last announcement, renewal or leave
	Fault           Fault             `json:"fault"`
	LoadReporting   LoadReporting     `json:"report"`
	Counts          Counts            `json:"counts"`
}

// Endpoint is a stand-in endpoint of a service.
type Endpoint struct {
	clock  clock.Clock
	log    *logrus.Entry
	runLog *RunLog
	links  []LinkSettings

	mu                sync.Mutex
	settings          EndpointSettings
	random            *rand.Rand
	incarnation       ident.Incarnation
	started           time.Time
	server            *http.Server
	announcedTo       ident.Address
	leaving           bool
	stopping          bool // refuses all new requests
	running           int
	queue             []chan struct{}
	openConnections   map[*connection]bool
	silentConnections []*connection
	fault             Fault
	pendingSwap       *swap
	reporting         LoadReporting
	loadSamples       []loadSample
	busySlots         int       // slots in use since slotTimeUpdated
	slotTimeUpdated   time.Time // when counts.SlotTime was last updated
	runsSinceCold     int       // runs since the start or the last ClearCache
	counts            Counts
}

// NewEndpoint returns an endpoint that doesn't listen until Start is called.
func NewEndpoint(settings EndpointSettings, links []LinkSettings, c clock.Clock, runLog *RunLog, log *logrus.Logger, seed uint64) *Endpoint {
	settings.setDefaults()
	return &Endpoint{
		clock: c, runLog: runLog, links: links, settings: settings,
		log:             log.WithField("endpoint", settings.Address),
		random:          rand.New(rand.NewPCG(seed, 2)),
		openConnections: make(map[*connection]bool),
		reporting:       LoadReporting{Mode: ReportActual},
	}
}

// Start listens on the endpoint's address and serves under a new incarnation.
func (e *Endpoint) Start() error {
	l, err := process.Listen(string(e.settings.Address))
	if err != nil {
		return err
	}
	if tcp, ok := l.(*net.TCPListener); ok {
		if err := enableArrivalTimes(tcp); err != nil {
			l.Close()
			return err
		}
	}
	e.mu.Lock()
	if !strings.HasSuffix(string(e.settings.Address), ":"+port(l)) {
		e.settings.Address = ident.Address(l.Addr().String()) // port 0 in the settings: the system chose the port
	}
	e.started = e.clock.Now()
	e.incarnation = max(e.incarnation+1, ident.Incarnation(e.started.UnixMilli()))
	e.leaving, e.stopping = false, false
	e.loadSamples = nil
	e.runsSinceCold = 0 // a new incarnation starts with a cold cache
	server := &http.Server{Handler: e, ReadHeaderTimeout: time.Minute, ConnContext: withConnection}
	e.server = server
	e.mu.Unlock()
	go func() {
		if err := process.Serve(server, &listener{Listener: l, endpoint: e}); err != nil {
			e.log.WithError(err).Error("endpoint stopped")
		}
	}()
	return nil
}

func port(l net.Listener) string {
	_, port, _ := net.SplitHostPort(l.Addr().String())
	return port
}

// Kill stops the endpoint at once: it closes the listener and resets all connections.
func (e *Endpoint) Kill() {
	e.mu.Lock()
	server := e.server
	e.server = nil
	connections := make([]*connection, 0, len(e.openConnections)+len(e.silentConnections))
	for c := range e.openConnections {
		connections = append(connections, c)
	}
	connections = append(connections, e.silentConnections...)
	e.silentConnections = nil
	e.mu.Unlock()
	if server == nil {
		return
	}
	server.Close()
	for _, c := range connections {
		closeWithReset(c)
	}
}

// Stop refuses new requests, waits for those in flight until ctx ends, and then kills the endpoint.
func (e *Endpoint) Stop(ctx context.Context) error {
	e.mu.Lock()
	server := e.server
	e.stopping = true
	e.mu.Unlock()
	if server == nil {
		return nil
	}
	err := server.Shutdown(ctx)
	e.Kill()
	return err
}

// Status returns a snapshot of the endpoint's state.
func (e *Endpoint) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateSlotTime(e.clock.Now())
	return Status{
		Service: e.settings.Service, Address: e.settings.Address, Domain: e.settings.Domain, Incarnation: e.incarnation,
		Slots: e.settings.Slots, MaxConnections: e.settings.MaxConnections, Running: e.running, Waiting: len(e.queue),
		OpenConnections: len(e.openConnections), Up: e.server != nil, Leaving: e.leaving, AnnouncedTo: e.announcedTo,
		Fault: e.fault, LoadReporting: e.reporting, Counts: e.counts,
	}
}

// ClearCache makes the simulated cache cold again.
func (e *Endpoint) ClearCache() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runsSinceCold = 0
}

// updateSlotTime adds the slot time since the last update to counts.SlotTime. The caller holds e.mu.
func (e *Endpoint) updateSlotTime(now time.Time) {
	if e.busySlots > 0 {
		e.counts.SlotTime += time.Duration(e.busySlots) * now.Sub(e.slotTimeUpdated)
	}
	e.busySlots = e.running
	e.slotTimeUpdated = now
}

// SetFault replaces the current fault.
func (e *Endpoint) SetFault(f Fault) {
	e.mu.Lock()
	e.fault = f
	e.mu.Unlock()
	if f.SilenceConnections {
		e.silenceConnections()
	}
}

// SetReporting changes how the endpoint reports its load.
func (e *Endpoint) SetReporting(r LoadReporting) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reporting = r
	if r.Mode == ReportFails {
		e.reporting.FixedLoad = int64(e.running + len(e.queue))
	}
}

// Resize changes the slots and the connection limit, which the next announcement contains; 0 keeps a value.
func (e *Endpoint) Resize(slots ident.Slots, connections ident.Connections) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slots > 0 {
		e.settings.Slots = slots
	}
	if connections > 0 {
		e.settings.MaxConnections = connections
	}
}

// acquireSlot takes a slot, or waits for one if the queue has room. It returns false if the request is shed.
func (e *Endpoint) acquireSlot(ctx context.Context) bool {
	e.mu.Lock()
	if e.stopping {
		e.counts.ArrivalsWhileStopping++
		e.mu.Unlock()
		return false
	}
	if e.running < int(e.settings.Slots) {
		e.running++
		e.recordArrival()
		e.mu.Unlock()
		return true
	}
	e.counts.SaturatedArrivals++
	if len(e.queue) >= e.settings.MaxQueue {
		e.counts.Shed++
		e.mu.Unlock()
		return false
	}
	granted := make(chan struct{}, 1)
	e.queue = append(e.queue, granted)
	e.recordArrival()
	e.mu.Unlock()
	select {
	case <-granted:
		return true
	case <-ctx.Done():
	case <-e.clock.After(e.settings.QueueTimeout):
	}
	return e.leaveQueue(granted)
}

// recordArrival updates the counters for a request that took a slot or entered the queue. The caller holds e.mu.
func (e *Endpoint) recordArrival() {
	e.counts.MaxRequests = max(e.counts.MaxRequests, e.running+len(e.queue))
	e.sampleLoad()
}

// leaveQueue removes a request from the queue. It returns true if the request was granted a slot meanwhile.
func (e *Endpoint) leaveQueue(granted chan struct{}) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, waiter := range e.queue {
		if waiter == granted {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			e.counts.Shed++
			e.sampleLoad()
			return false
		}
	}
	return true
}

// releaseSlot hands the slot to the first waiting request, or frees it.
func (e *Endpoint) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) > 0 && e.running <= int(e.settings.Slots) {
		e.queue[0] <- struct{}{}
		e.queue = e.queue[1:]
	} else {
		e.running--
	}
	e.sampleLoad()
}

// serviceTime draws the service time of one run, which a cold start and cache misses lengthen.
func (e *Endpoint) serviceTime(now time.Time, factor float64) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	duration := float64(e.settings.MedianServiceTime)
	switch e.settings.Distribution {
	case "exponential":
		duration *= e.random.ExpFloat64() / math.Ln2 // the median of an exponential distribution is ln 2 times its mean
	case "lognormal":
		duration *= math.Exp(e.settings.Sigma * e.random.NormFloat64())
	}
	if age := now.Sub(e.started); age < e.settings.ColdStart {
		duration *= 1 + (e.settings.ColdStartFactor-1)*(1-float64(age)/float64(e.settings.ColdStart))
	}
	if e.runsSinceCold < e.settings.CacheWarmupRuns && e.random.Float64() >= float64(e.runsSinceCold)/float64(e.settings.CacheWarmupRuns) {
		duration *= e.settings.CacheMissFactor
	}
	if factor > 0 {
		duration *= factor
	}
	e.runsSinceCold++
	e.counts.Runs++
	return time.Duration(duration)
}

// latencyTo returns the one-way latency to a caller's address.
func (e *Endpoint) latencyTo(remote string) time.Duration {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return e.settings.Latency
	}
	address, err := netip.ParseAddr(host)
	if err != nil {
		return e.settings.Latency
	}
	for i := range e.links {
		if e.links[i].Domain == e.settings.Domain && e.links[i].CallerPrefix.Contains(address) {
			return e.links[i].Latency
		}
	}
	return e.settings.Latency
}

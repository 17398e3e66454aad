package router

import (
	"time"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// Config is what an entry VM knows from its settings; zero durations and counts take the defaults.
type Config struct {
	VM             ident.VM
	Incarnation    ident.Incarnation
	Address        ident.Address // caller-facing
	Domain         ident.Domain
	MaxViewAge     time.Duration // oldest view that keyed requests are served with
	LookupLifetime time.Duration // how long callers may use a lookup
	SyncInterval   time.Duration // interval of session exchanges
	MaxQueue       int           // waiting requests of one workspace for one service
}

// Defaults of a Config.
const (
	DefaultMaxViewAge     = 4 * time.Second
	DefaultLookupLifetime = 5 * time.Second
	DefaultSyncInterval   = 200 * time.Millisecond
	DefaultMaxQueue       = 1024
)

// Router is the reducer of an entry VM; it is not safe for concurrent use.
type Router struct {
	lingering []lingering // by time
	config    Config
	now       time.Time // latest time seen in an event
	view      view
	stats     Stats

	requests map[RequestID]*request
	idle     freeList
	timers   deadlines
	turn     int // rotates the service that is served first
	waiting  int
	unproven []*request // with unknown keys, in order of arrival
	due      time.Time  // when a waiting request gets a token or the view becomes stale

	budget   float64   // retries that may still be made
	asked    time.Time // of the last RequestSync
	askedKey time.Time // of the last RequestSync for an unknown key
	stopping bool
	ask      RequestSync
	rejected []rejection // reused by sweep
}

// New returns a router that knows nothing until its first Synced.
func New(c Config) *Router {
	if c.MaxViewAge == 0 {
		c.MaxViewAge = DefaultMaxViewAge
	}
	if c.LookupLifetime == 0 {
		c.LookupLifetime = DefaultLookupLifetime
	}
	if c.SyncInterval == 0 {
		c.SyncInterval = DefaultSyncInterval
	}
	if c.MaxQueue == 0 {
		c.MaxQueue = DefaultMaxQueue
	}
	return &Router{
		config:   c,
		view:     newView(),
		requests: make(map[RequestID]*request),
		budget:   retryReserve,
	}
}

// Step handles one event and appends its effects to out. An effect is valid
// until the next Step for its request; a Done must be read before the caller
// lets another goroutine call Step, as its record is reused.
func (r *Router) Step(event Event, out []Effect) []Effect {
	out = r.handle(event, out)
	// An event can arrive just before the Tick that is due; Next then no longer
	// names it, so the work is done here.
	if due, ok := r.Next(); ok && !r.now.Before(due) {
		out = r.pumpAll(out)
	}
	return out
}

func (r *Router) handle(event Event, out []Effect) []Effect {
	switch e := event.(type) {
	case *RequestArrived:
		r.advance(e.At)
		return r.arrived(e, out)
	case *ClaimResult:
		r.advance(e.At)
		return r.claimed(e, out)
	case *AttemptEnded:
		r.advance(e.At)
		return r.ended(e, out)
	case *TransferRequested:
		r.advance(e.At)
		return r.transfer(e, out)
	case *RequestCancelled:
		r.advance(e.At)
		return r.cancelled(e, out)
	case *Synced:
		r.advance(e.At)
		return r.synced(e, out)
	case *Tick:
		r.advance(e.At)
		return r.pumpAll(out)
	case *StopRequested:
		r.advance(e.At)
		r.stopping = true
	}
	return out
}

// advance moves the router's time, which never goes back even when events cross.
func (r *Router) advance(at time.Time) {
	if at.After(r.now) {
		r.now = at
	}
	r.settle()
}

// Leaving reports whether a planned stop has begun, for the next session exchange.
func (r *Router) Leaving() bool { return r.stopping }

// Lifetime returns how long callers may use a lookup.
func (r *Router) Lifetime() time.Duration { return r.config.LookupLifetime }

// Fresh reports whether keyed requests are served at the given time.
func (r *Router) Fresh(at time.Time) bool { return r.view.fresh(at, r.config.MaxViewAge) }

// Age returns the age of the configuration, or false before the first one.
func (r *Router) Age(at time.Time) (time.Duration, bool) {
	return at.Sub(r.view.proven), !r.view.proven.IsZero()
}

// Versions returns the versions for the next session exchange. Demands of the same
// moment belong to it: control lowers the ceiling of a count to what this
// version allows or to what the demand has in use, whichever is more.
func (r *Router) Versions() *rpc.Versions {
	return &rpc.Versions{
		Config:     r.view.config,
		Registry:   r.view.registry,
		Members:    r.view.members,
		Allotments: r.view.allotments,
	}
}

// Connections returns how many connections may be open to an upstream, or
// false where their number is not limited.
func (r *Router) Connections(a ident.Address) (ident.Connections, bool) {
	e := r.view.endpoints[a]
	if e == nil {
		return 0, true
	}
	if !r.now.Before(r.view.until) {
		return 0, e.connLimited
	}
	return ident.Connections(e.conns.Share()), e.connLimited
}

// Waiting returns the number of requests in queues.
func (r *Router) Waiting() int { return r.waiting }

// Stats returns the counters.
func (r *Router) Stats() Stats { return r.stats }

// refuse answers a request for the last time and frees its record. After an
// attempt that may have run, no refusal says that the request did not run.
func (r *Router) refuse(q *request, f *fault.Error, out []Effect) []Effect {
	if q.ran {
		f.Execution = fault.ExecutionUnknown
	}
	out = r.refuseID(q.id, f, out)
	r.release(q)
	return out
}

func (r *Router) refuseID(id RequestID, f *fault.Error, out []Effect) []Effect {
	r.stats.refused(f)
	return append(out, &Refuse{ID: id, Fault: f})
}

// finish ends a request whose answer was passed on, cut or abandoned.
func (r *Router) finish(q *request, truncated bool, out []Effect) []Effect {
	r.stats.Done++
	q.done = Done{ID: q.id, Truncated: truncated}
	out = append(out, &q.done)
	r.release(q)
	return out
}

// notRun returns a refusal of a request that certainly did not run.
func notRun(code fault.Code, step, peer, format string, args ...any) *fault.Error {
	f := fault.New(code, step, peer, format, args...)
	f.Execution = fault.NotExecuted
	return f
}

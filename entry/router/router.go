package router

import (
	"time"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// Config holds the settings of an entry VM. Zero durations and counts are replaced by the defaults.
type Config struct {
	VM             ident.VM
	Incarnation    ident.Incarnation
	Address        ident.Address // where callers connect
	Domain         ident.Domain
	MaxViewAge     time.Duration // requests with a key are refused when the view is older
	LookupLifetime time.Duration // how long callers may use the result of a lookup
	SyncInterval   time.Duration // interval between session exchanges with control
	MaxQueue       int           // maximum number of waiting requests of one workspace for one service
}

// Defaults of the Config fields that are zero.
const (
	DefaultMaxViewAge     = 4 * time.Second
	DefaultLookupLifetime = 5 * time.Second
	DefaultSyncInterval   = 200 * time.Millisecond
	DefaultMaxQueue       = 1024
)

// Router decides about the requests of one entry VM. It is not safe for concurrent use.
type Router struct {
	slotHolds []slotHold // in order of expiry
	config    Config
	now       time.Time // latest time of any event
	view      view
	stats     Stats

	requests           map[RequestID]*request
	freeRequests       freeList
	timers             startTimers
	serviceOffset      int // position of the service that is served first; grows with each round
	waiting            int
	unknownKeyRequests []*request // in order of arrival
	nextDispatch       time.Time  // when a token or slot becomes free for a waiting request, or the view becomes stale

	retryBudget        float64   // number of retries that are allowed now
	lastSyncRequest    time.Time // when the last RequestSync was issued
	lastUnknownKeySync time.Time // when the last RequestSync for an unknown key was issued
	stopping           bool
	syncEffect         RequestSync // returned by pointer, so that none is allocated
	rejections         []rejection // buffer that refuseInadmissible reuses
}

// New returns a router without a view; it refuses all requests until its first Synced event.
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
		config:      c,
		view:        newView(),
		requests:    make(map[RequestID]*request),
		retryBudget: maxRetryBudget,
	}
}

// Step handles one event and appends its effects to out. An effect is valid
// until the next Step for its request. A Done must be read before another
// goroutine calls Step, because the memory that holds it is reused.
func (r *Router) Step(event Event, out []Effect) []Effect {
	out = r.handle(event, out)
	// An event can arrive when a Tick is already due. The work of the Tick is done
	// here, so that NextTick returns a later time afterwards.
	if due, ok := r.NextTick(); ok && !r.now.Before(due) {
		out = r.dispatchAll(out)
	}
	return out
}

func (r *Router) handle(event Event, out []Effect) []Effect {
	switch e := event.(type) {
	case *RequestArrived:
		r.advance(e.At)
		return r.handleArrival(e, out)
	case *ClaimResult:
		r.advance(e.At)
		return r.handleClaimResult(e, out)
	case *AttemptEnded:
		r.advance(e.At)
		return r.handleAttemptEnd(e, out)
	case *SendStarting:
		r.advance(e.At)
		return r.handleSendStart(e, out)
	case *NoticeReceived:
		r.advance(e.At)
		return r.handleNotice(e, out)
	case *TransferRequested:
		r.advance(e.At)
		return r.handleTransfer(e, out)
	case *RequestCancelled:
		r.advance(e.At)
		return r.handleCancel(e, out)
	case *Synced:
		r.advance(e.At)
		return r.handleSync(e, out)
	case *Tick:
		r.advance(e.At)
		return r.dispatchAll(out)
	case *StopRequested:
		r.advance(e.At)
		r.stopping = true
	}
	return out
}

// advance moves the router's time forward. Time never goes back, even when events arrive out of order.
func (r *Router) advance(at time.Time) {
	if at.After(r.now) {
		r.now = at
	}
	r.releaseExpiredHolds()
}

// Leaving reports whether a graceful shutdown has begun.
func (r *Router) Leaving() bool { return r.stopping }

// LookupLifetime returns how long callers may use the result of a lookup.
func (r *Router) LookupLifetime() time.Duration { return r.config.LookupLifetime }

// Fresh reports whether the view is recent enough at the given time to serve requests with a key.
func (r *Router) Fresh(at time.Time) bool { return r.view.fresh(at, r.config.MaxViewAge) }

// ConfigAge returns the time since the configuration was last confirmed as
// current, or false if none was received yet.
func (r *Router) ConfigAge(at time.Time) (time.Duration, bool) {
	return at.Sub(r.view.confirmedAt), !r.view.confirmedAt.IsZero()
}

// Versions returns the versions that this VM holds, for the next session
// exchange. They must be sent with the Demands of the same time: control lowers
// its ceiling for a count to the share of this version or to the units in use
// that the demand reports, whichever is more.
func (r *Router) Versions() *rpc.Versions {
	return &rpc.Versions{
		Config:     r.view.configVersion,
		Registry:   r.view.registryVersion,
		Members:    r.view.membersVersion,
		Allotments: r.view.allotmentsVersion,
	}
}

// ConnectionLimit returns how many connections may be open to an upstream, or
// false if their number is not limited.
func (r *Router) ConnectionLimit(a ident.Address) (ident.Connections, bool) {
	e := r.view.endpoints[a]
	if e == nil {
		return 0, true
	}
	if !r.now.Before(r.view.leaseExpiry) {
		return 0, e.connLimited
	}
	return ident.Connections(e.conns.Share()), e.connLimited
}

// Waiting returns the number of requests in all queues.
func (r *Router) Waiting() int { return r.waiting }

// Stats returns the counters since the start of the router.
func (r *Router) Stats() Stats { return r.stats }

// refuse ends a request with an error and frees its record. If an earlier
// attempt may have run the request, the error says that execution is unknown.
func (r *Router) refuse(q *request, f *fault.Error, out []Effect) []Effect {
	if q.mayHaveRun {
		f.Execution = fault.ExecutionUnknown
	}
	out = r.refuseID(q.id, f, out)
	r.release(q)
	return out
}

// refuseID refuses a request by its ID and leaves its record alone.
func (r *Router) refuseID(id RequestID, f *fault.Error, out []Effect) []Effect {
	r.stats.countRefusal(f)
	return append(out, &Refuse{ID: id, Fault: f})
}

// finish ends a request with Done: it has a response, of which at least a part is
// passed on, or its caller disconnected.
func (r *Router) finish(q *request, truncated bool, out []Effect) []Effect {
	r.stats.Done++
	q.done = Done{ID: q.id, Truncated: truncated}
	out = append(out, &q.done)
	r.release(q)
	return out
}

// notExecuted returns an error for a request that certainly did not run.
func notExecuted(code fault.Code, step, peer, format string, args ...any) *fault.Error {
	f := fault.New(code, step, peer, format, args...)
	f.Execution = fault.NotExecuted
	return f
}

package server

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"cuminfall.example/control/ledger"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// Replica is the member of the control group that this server runs on.
type Replica interface {
	// Propose replicates a log entry and returns the result of the ledger's Apply after its commit.
	Propose(ctx context.Context, data []byte) (any, error)
	// Leadership returns the term that this member leads and its start time; ok is true only while the
	// leader lease is valid.
	Leadership() (term ident.Term, since time.Time, ok bool)
	// View runs f while no log entry is applied, so that f may read the ledger.
	View(f func())
	// Remove removes a member from the control group.
	Remove(ctx context.Context, name string) error
	// GroupStatus returns the status of the group as this member sees it, without entry VMs and upstreams.
	GroupStatus() *rpc.StatusReply
}

// Timings are the durations that a leader applies to leases, plans and renewals.
type Timings struct {
	LeaseDuration  time.Duration // lease of shares, counted from the time at which the holder sent its request
	PlanInterval   time.Duration // time between plans
	SuspectTimeout time.Duration // time without a renewal after which an upstream is suspected
	RemovalTimeout time.Duration // time without a renewal after which an upstream is removed
}

// DefaultTimings are the timings that apply unless the settings file gives others.
var DefaultTimings = Timings{LeaseDuration: 1200 * time.Millisecond, PlanInterval: 200 * time.Millisecond, SuspectTimeout: 3 * time.Second, RemovalTimeout: 30 * time.Second}

// releaseTimeout returns how long after the last reply to a holder the leader regards its lease as
// expired. The margin of 2.5% covers a holder's clock that is 1% slow and a leader's clock that is
// 1% fast: 2% would not, since 1.01/0.99 is 1.0203.
func (t Timings) releaseTimeout() time.Duration { return t.LeaseDuration + t.LeaseDuration/40 }

// Options are the dependencies and timings of a Server.
type Options struct {
	Replica Replica
	Ledger  *ledger.Ledger
	Clock   clock.Clock
	Log     logrus.FieldLogger
	Metrics metrics.Registry
	Timings Timings
}

// Server implements rpc.Session and rpc.Operations.
type Server struct {
	replica     Replica
	ledger      *ledger.Ledger // read only inside replica.View
	clock       clock.Clock
	log         logrus.FieldLogger
	timings     Timings
	planTrigger chan struct{}
	judging     chan struct{} // held while a verdict is committed
	metrics     serverMetrics

	mu          sync.Mutex
	leaderState leaderState
}

// serverMetrics are the metrics that a server updates.
type serverMetrics struct {
	syncs, refusals, conflicts, changes metrics.Counter
	plan                                metrics.Timer
}

// New returns a server. It distributes no shares until Run is called.
func New(o Options) *Server {
	return &Server{
		replica: o.Replica, ledger: o.Ledger, clock: o.Clock, log: o.Log, timings: o.Timings,
		planTrigger: make(chan struct{}, 1), judging: make(chan struct{}, 1),
		metrics: serverMetrics{
			syncs:     metrics.GetOrRegisterCounter("session.syncs", o.Metrics),
			refusals:  metrics.GetOrRegisterCounter("operations.refusals", o.Metrics),
			conflicts: metrics.GetOrRegisterCounter("operations.conflicts", o.Metrics),
			changes:   metrics.GetOrRegisterCounter("lender.changes", o.Metrics),
			plan:      metrics.GetOrRegisterTimer("lender.plan", o.Metrics),
		},
	}
}

// maxBodyBytes limits the body of a request; the largest section lists 200,000 client blocks.
const maxBodyBytes = 16 << 20

// Register adds the twirp services to mux.
func (s *Server) Register(mux *http.ServeMux) {
	session := rpc.NewSessionServer(s)
	operations := rpc.NewOperationsServer(s)
	mux.Handle(session.PathPrefix(), http.MaxBytesHandler(session, maxBodyBytes))
	mux.Handle(operations.PathPrefix(), http.MaxBytesHandler(operations, maxBodyBytes))
}

var (
	_ rpc.Session    = (*Server)(nil)
	_ rpc.Operations = (*Server)(nil)
)

// proposeTimeout limits the wait for a commit. Callers stop waiting after a second.
const proposeTimeout = 2 * time.Second

// leadingTerm returns the term that this member leads, or an error with the code fault.NotLeader or
// fault.Isolated.
func (s *Server) leadingTerm(step string) (ident.Term, error) {
	term, since, ok := s.replica.Leadership()
	if !ok {
		return 0, s.notLeaderError(step)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaderState.beginTerm(term, since)
	return term, nil
}

// checkStillLeading returns an error if this member no longer leads the term under a valid lease.
func (s *Server) checkStillLeading(term ident.Term, step string) error {
	current, _, ok := s.replica.Leadership()
	if !ok || current != term {
		return s.notLeaderError(step)
	}
	return nil
}

func (s *Server) notLeaderError(step string) error {
	g := s.replica.GroupStatus()
	if g.GetCut() {
		return fault.New(fault.Isolated, step, g.GetMember(), "no contact with a majority of the control group")
	}
	return fault.New(fault.NotLeader, step, g.GetLeader(), "this member does not lead")
}

// propose commits a command and returns its result. A refusal by the ledger is returned as an error.
func (s *Server) propose(ctx context.Context, step string, c ledger.Command) (any, error) {
	term, err := s.leadingTerm(step)
	if err != nil {
		return nil, err
	}
	data, err := ledger.Encode(c)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := s.replica.Propose(ctx, data)
	if err != nil {
		f := fault.Of(err)
		if f.Code == fault.Deadline {
			f = &fault.Error{Code: fault.Unreachable, Step: step, Peer: f.Peer, Message: "the command was not committed in time", Execution: f.Execution}
		}
		return nil, f
	}
	if f, ok := result.(*fault.Error); ok {
		s.countRefusal(f)
		return nil, f
	}
	return result, s.checkStillLeading(term, step)
}

// precheck runs f on the committed state before a command is proposed, so that requests with a wrong
// credential add nothing to the log. The ledger repeats the check when it applies the command.
func (s *Server) precheck(step string, f func() error) error {
	err := s.readCommitted(step, f)
	if f := fault.Of(err); f != nil && f.Code == fault.InvalidCredential {
		s.countRefusal(f)
	}
	return err
}

// countRefusal counts and logs a refused request.
func (s *Server) countRefusal(f *fault.Error) {
	s.metrics.refusals.Inc(1)
	s.log.WithFields(logrus.Fields{"code": f.Code, "step": f.Step, "peer": f.Peer}).Info(f.Message)
}

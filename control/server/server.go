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
	// Propose returns the result of the ledger's Apply after commit.
	Propose(ctx context.Context, data []byte) (any, error)
	// Leadership returns the term led and its begin; ok only under the leader lease.
	Leadership() (term ident.Term, since time.Time, ok bool)
	// View runs f while no entry is applied.
	View(f func())
	// Remove takes a member out of the group.
	Remove(ctx context.Context, name string) error
	// Group describes the group as this member sees it, without entries and upstreams.
	Group() *rpc.StatusReply
}

// Timings of the soft state.
type Timings struct {
	Lease   time.Duration // of shares, from the holder's send time
	Plan    time.Duration // between plans
	Suspect time.Duration // without renewal until an upstream is suspected
	Offline time.Duration // without renewal until an upstream is removed
}

// DefaultTimings are the timings of the design.
var DefaultTimings = Timings{Lease: 1200 * time.Millisecond, Plan: 200 * time.Millisecond, Suspect: 3 * time.Second, Offline: 30 * time.Second}

// lapse is how long after its last reply a lease counts as lapsed. The margin
// of 2.5% covers a holder's clock that is 1% slow and a leader's that is 1%
// fast: 2% would not, since 1.01/0.99 is 1.0203.
func (t Timings) lapse() time.Duration { return t.Lease + t.Lease/40 }

// Options configure a Server.
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
	replica Replica
	ledger  *ledger.Ledger // read inside replica.View only
	clock   clock.Clock
	log     logrus.FieldLogger
	timings Timings
	kick    chan struct{}
	meters  meters

	mu   sync.Mutex
	soft soft
}

type meters struct {
	syncs, refusals, conflicts, changes metrics.Counter
	plan                                metrics.Timer
}

// New returns a server; Run must be called for shares to move.
func New(o Options) *Server {
	return &Server{
		replica: o.Replica, ledger: o.Ledger, clock: o.Clock, log: o.Log, timings: o.Timings,
		kick: make(chan struct{}, 1),
		meters: meters{
			syncs:     metrics.GetOrRegisterCounter("session.syncs", o.Metrics),
			refusals:  metrics.GetOrRegisterCounter("operations.refusals", o.Metrics),
			conflicts: metrics.GetOrRegisterCounter("operations.conflicts", o.Metrics),
			changes:   metrics.GetOrRegisterCounter("lender.changes", o.Metrics),
			plan:      metrics.GetOrRegisterTimer("lender.plan", o.Metrics),
		},
	}
}

// bodyMax bounds a request; the largest section lists 200,000 client blocks.
const bodyMax = 16 << 20

// Register adds the twirp services to mux.
func (s *Server) Register(mux *http.ServeMux) {
	session := rpc.NewSessionServer(s)
	operations := rpc.NewOperationsServer(s)
	mux.Handle(session.PathPrefix(), http.MaxBytesHandler(session, bodyMax))
	mux.Handle(operations.PathPrefix(), http.MaxBytesHandler(operations, bodyMax))
}

var (
	_ rpc.Session    = (*Server)(nil)
	_ rpc.Operations = (*Server)(nil)
)

// proposeTime bounds the wait for a commit; callers give up after a second.
const proposeTime = 2 * time.Second

// lead returns the term that this member leads, or why it does not.
func (s *Server) lead(step string) (ident.Term, error) {
	term, since, ok := s.replica.Leadership()
	if !ok {
		return 0, s.notLeader(step)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.soft.enter(term, since)
	return term, nil
}

// still fails when the term is no longer led under a valid lease.
func (s *Server) still(term ident.Term, step string) error {
	now, _, ok := s.replica.Leadership()
	if !ok || now != term {
		return s.notLeader(step)
	}
	return nil
}

func (s *Server) notLeader(step string) error {
	g := s.replica.Group()
	if g.GetCut() {
		return fault.New(fault.Isolated, step, g.GetMember(), "no contact with a majority of the control group")
	}
	return fault.New(fault.Leader, step, g.GetLeader(), "this member does not lead")
}

// propose commits a command and returns its result; refusals come back as errors.
func (s *Server) propose(ctx context.Context, step string, c ledger.Command) (any, error) {
	term, err := s.lead(step)
	if err != nil {
		return nil, err
	}
	data, err := ledger.Encode(c)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTime)
	defer cancel()
	result, err := s.replica.Propose(ctx, data)
	if err != nil {
		f := fault.Of(err)
		if f.Code == fault.Deadline {
			f = &fault.Error{Code: fault.Unreachable, Step: step, Peer: f.Peer, Message: "not committed in time", Execution: f.Execution}
		}
		return nil, f
	}
	if f, ok := result.(*fault.Error); ok {
		s.refused(f)
		return nil, f
	}
	return result, s.still(term, step)
}

// check runs a test of the committed state before a proposal, so that bad
// credentials leave nothing in the log; the ledger tests again.
func (s *Server) check(step string, f func() error) error {
	err := s.read(step, f)
	if f := fault.Of(err); f != nil && f.Code == fault.Credential {
		s.refused(f)
	}
	return err
}

// refused logs a refusal once.
func (s *Server) refused(f *fault.Error) {
	s.meters.refusals.Inc(1)
	s.log.WithFields(logrus.Fields{"code": f.Code, "step": f.Step, "peer": f.Peer}).Info(f.Message)
}

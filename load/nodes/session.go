package nodes

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
	"cuminfall.example/fleet/rpc"
	"cuminfall.example/load/report"
)

// exchangeTimeout limits one sync. Entry VMs use the same value.
const exchangeTimeout = 800 * time.Millisecond

// traffic counts the bytes on the connections of all sessions, including HTTP headers.
type traffic struct{ sent, received atomic.Int64 }

// countedConn is a connection that adds its bytes to traffic.
type countedConn struct {
	net.Conn
	traffic *traffic
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// newTransport returns a transport for one session. Sessions don't share transports, so that each has its own
// connections.
func newTransport(t *traffic) *http.Transport {
	dialer := &net.Dialer{Timeout: exchangeTimeout}
	return &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return countedConn{c, t}, nil
		},
	}
}

// session simulates the control session of an entry VM: it syncs like one, but keeps only the versions of the replies
// and serves no requests.
type session struct {
	clock            clock.Clock
	controlAddresses []string
	leader           int
	transport        *http.Transport
	request          *rpc.SyncRequest
	tracker          *changeTracker
	drainsRevision   uint64 // last received revision of the drains section

	measuring  *atomic.Bool
	registered atomic.Bool // the session had its first reply
	hist       *hdrhistogram.Histogram
	exchanges  int
	failed     int
	parts      replyParts
}

// replyParts counts the replies that contain each optional part.
type replyParts struct{ Config, Registry, Members, Allotments int }

func newSession(o *Options, i int, r *runner) *session {
	s := &session{
		clock: r.clock, controlAddresses: o.ControlAddresses, leader: i % len(o.ControlAddresses), transport: newTransport(&r.traffic), tracker: r.tracker,
		measuring: &r.measuring, hist: report.NewHistogram(),
		request: &rpc.SyncRequest{
			Vm: string(o.vmName(i)), Incarnation: r.runID + uint64(i), Domain: string(o.domainName(i)), Held: new(rpc.Versions),
			Address: upstreamAddress(1<<16 + i),
		},
	}
	for w := range o.DemandsPerSession {
		s.request.Demands = append(s.request.Demands, &rpc.Demand{
			Limit: string(limit.OfWorkspace(workspace(w))), Wanted: float64(1 + (i*7+w*13)%50),
		})
	}
	for u := i; u < o.Upstreams; u += o.Sessions {
		s.request.Renewals = append(s.request.Renewals, &rpc.Renewal{Address: upstreamAddress(u), Incarnation: r.runID, Load: 1})
	}
	return s
}

// loop waits for delay and then syncs once per period until ctx ends. Delays differ between sessions, so that their
// syncs are spread over a period.
func (s *session) loop(ctx context.Context, delay, period time.Duration) {
	defer s.transport.CloseIdleConnections()
	if clock.Sleep(ctx, s.clock, delay) != nil {
		return
	}
	for ctx.Err() == nil {
		sent := s.clock.Now()
		s.sync(ctx, sent)
		if clock.Sleep(ctx, s.clock, max(0, period-s.clock.Now().Sub(sent))) != nil {
			return
		}
	}
}

// sync makes one exchange with the current member. If it fails, the next one goes to another member.
func (s *session) sync(ctx context.Context, sent time.Time) {
	syncCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	client := rpc.NewSessionProtobufClient("http://"+s.controlAddresses[s.leader], &http.Client{Transport: s.transport})
	reply, err := client.Sync(syncCtx, s.request)
	now := s.clock.Now()
	if err != nil {
		if s.measuring.Load() && ctx.Err() == nil {
			s.failed++
		}
		s.selectMember(fault.Of(err))
		return
	}
	if s.measuring.Load() {
		s.exchanges++
		s.hist.RecordValue(now.Sub(sent).Microseconds())
		s.countParts(reply)
	}
	s.request.Held = reply.GetVersions()
	for _, section := range reply.GetConfig().GetSections() {
		if section.GetName() == string(document.DrainsSection) && section.GetRevision() > s.drainsRevision {
			s.tracker.addReceipt(s.drainsRevision, section.GetRevision(), now)
			s.drainsRevision = section.GetRevision()
		}
	}
	s.registered.Store(true)
}

func (s *session) countParts(r *rpc.SyncReply) {
	for _, p := range []struct {
		present bool
		n       *int
	}{
		{r.GetConfig() != nil, &s.parts.Config}, {r.GetRegistry() != nil, &s.parts.Registry},
		{r.GetMembers() != nil, &s.parts.Members}, {r.GetAllotments() != nil, &s.parts.Allotments},
	} {
		if p.present {
			*p.n++
		}
	}
}

// selectMember selects the leader that a failed reply names, or else the next member.
func (s *session) selectMember(f *fault.Error) {
	for i, a := range s.controlAddresses {
		if f.Code == fault.NotLeader && a == f.Peer {
			s.leader = i
			return
		}
	}
	s.leader = (s.leader + 1) % len(s.controlAddresses)
}

// workspace returns the name of the i-th workspace.
func workspace(i int) ident.Workspace { return ident.Workspace(fmt.Sprintf("ws%04d", i)) }

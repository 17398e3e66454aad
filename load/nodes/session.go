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

// timeout bounds one exchange, as in entry sessions.
const timeout = 800 * time.Millisecond

// traffic counts bytes on the connections of all sessions, HTTP headers included.
type traffic struct{ sent, received atomic.Int64 }

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

// newTransport returns a transport of one stand-in, so that each has its own connections.
func newTransport(t *traffic) *http.Transport {
	dialer := &net.Dialer{Timeout: timeout}
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

// session is one stand-in: it syncs like an entry VM, keeps versions only and serves nobody.
type session struct {
	clock     clock.Clock
	control   []string
	leader    int
	transport *http.Transport
	request   *rpc.SyncRequest
	tracker   *tracker
	drains    uint64 // revision held

	measuring *atomic.Bool
	first     atomic.Bool // it has been answered
	hist      *hdrhistogram.Histogram
	done      int
	failed    int
	parts     parts
}

// parts counts what replies carried besides the versions.
type parts struct{ Config, Registry, Members, Allotments int }

func newSession(o *Options, i int, r *runner) *session {
	s := &session{
		clock: r.clock, control: o.Control, leader: i % len(o.Control), transport: newTransport(&r.traffic), tracker: r.tracker,
		measuring: &r.measuring, hist: report.NewHistogram(),
		request: &rpc.SyncRequest{
			Vm: string(o.vm(i)), Incarnation: r.tag + uint64(i), Domain: string(o.domain(i)), Held: new(rpc.Versions),
			Address: upstreamAddress(1<<16 + i),
		},
	}
	for w := range o.Demands {
		s.request.Demands = append(s.request.Demands, &rpc.Demand{
			Limit: string(limit.OfWorkspace(workspace(w))), Wanted: float64(1 + (i*7+w*13)%50),
		})
	}
	for u := i; u < o.Upstreams; u += o.Count {
		s.request.Renewals = append(s.request.Renewals, &rpc.Renewal{Address: upstreamAddress(u), Incarnation: r.tag, Load: 1})
	}
	return s
}

// loop syncs every period until ctx ends; the begin is spread over one period.
func (s *session) loop(ctx context.Context, begin, period time.Duration) {
	defer s.transport.CloseIdleConnections()
	if clock.Sleep(ctx, s.clock, begin) != nil {
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

// sync makes one exchange and follows the leader.
func (s *session) sync(ctx context.Context, sent time.Time) {
	within, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client := rpc.NewSessionProtobufClient("http://"+s.control[s.leader], &http.Client{Transport: s.transport})
	reply, err := client.Sync(within, s.request)
	now := s.clock.Now()
	if err != nil {
		if s.measuring.Load() && ctx.Err() == nil {
			s.failed++
		}
		s.move(fault.Of(err))
		return
	}
	if s.measuring.Load() {
		s.done++
		s.hist.RecordValue(now.Sub(sent).Microseconds())
		s.count(reply)
	}
	s.request.Held = reply.GetVersions()
	for _, section := range reply.GetConfig().GetSections() {
		if section.GetName() == string(document.DrainsSection) && section.GetRevision() > s.drains {
			s.tracker.seen(s.drains, section.GetRevision(), now)
			s.drains = section.GetRevision()
		}
	}
	s.first.Store(true)
}

func (s *session) count(r *rpc.SyncReply) {
	for _, p := range []struct {
		there bool
		n     *int
	}{
		{r.GetConfig() != nil, &s.parts.Config}, {r.GetRegistry() != nil, &s.parts.Registry},
		{r.GetMembers() != nil, &s.parts.Members}, {r.GetAllotments() != nil, &s.parts.Allotments},
	} {
		if p.there {
			*p.n++
		}
	}
}

// move goes to the leader that a failed answer names, or else to the next member.
func (s *session) move(f *fault.Error) {
	for i, a := range s.control {
		if f.Code == fault.Leader && a == f.Peer {
			s.leader = i
			return
		}
	}
	s.leader = (s.leader + 1) % len(s.control)
}

// workspace names the i-th workspace.
func workspace(i int) ident.Workspace { return ident.Workspace(fmt.Sprintf("ws%04d", i)) }

package replica

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cuminfall.example/control/consensus"
	"cuminfall.example/control/consensus/wire"
	"cuminfall.example/fleet/ident"
)

// peers holds one transport per address, so that a silent peer holds up no other.
type peers struct {
	source net.Addr // of connections; nil lets the host choose
	fixed  http.RoundTripper
	mu     sync.Mutex
	known  map[ident.Address]*remote
}

// remote is the client of one address.
type remote struct {
	wire.Consensus
	transport *http.Transport // nil with a fixed transport
}

func newPeers(fixed http.RoundTripper, source net.Addr) *peers {
	return &peers{fixed: fixed, source: source, known: map[ident.Address]*remote{}}
}

func (p *peers) to(address ident.Address) *remote {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.known[address]; r != nil {
		return r
	}
	r := &remote{}
	var transport = p.fixed
	if transport == nil {
		r.transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: exchangeTimeout, LocalAddr: p.source}).DialContext,
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     time.Minute,
		}
		transport = r.transport
	}
	client := &http.Client{Transport: transport}
	r.Consensus = wire.NewConsensusProtobufClient("http://"+string(address), client)
	p.known[address] = r
	return r
}

func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.known {
		r.reset()
	}
}

// reset makes the next exchange use a new connection; the failed one's is closed by its context.
func (r *remote) reset() {
	if r.transport != nil {
		r.transport.CloseIdleConnections()
	}
}

// exchange performs a SendRequest and feeds its outcome back.
func (r *Replica) exchange(ctx context.Context, ask consensus.SendRequest) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	to := r.peers.to(ask.Address)
	r.meters.exchanges.Inc(1)
	var err error
	switch m := ask.Message.(type) {
	case *wire.VoteRequest:
		var reply *wire.VoteReply
		reply, err = to.Vote(ctx, m)
		r.feed(consensus.VoteReplied{At: r.at(), To: ask.To, Request: m, Reply: reply})
	case *wire.AppendRequest:
		var reply *wire.AppendReply
		reply, err = to.Append(ctx, m)
		r.feed(consensus.AppendReplied{At: r.at(), To: ask.To, Request: m, Reply: reply})
	case *wire.InstallRequest:
		var reply *wire.InstallReply
		reply, err = to.Install(ctx, m)
		r.feed(consensus.InstallReplied{At: r.at(), To: ask.To, Request: m, Reply: reply})
	case *wire.HandoverRequest:
		_, err = to.Handover(ctx, m)
	}
	if err != nil {
		r.meters.failures.Inc(1)
		to.reset()
	}
}

// runJoin asks to be added until the group knows this identity at this address.
func (r *Replica) runJoin(ctx context.Context) {
	ticks, stop := r.opts.Clock.Every(joinInterval)
	defer stop()
	for next := 0; ; next++ {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		self := &wire.Member{Id: string(r.id), Name: r.opts.Name, Address: string(r.opts.Address)}
		peers := r.joinPeers()
		if len(peers) == 0 || !r.mustJoin() {
			continue
		}
		address := peers[next%len(peers)]
		if hint := r.join(ctx, address, self); hint != "" && hint != address {
			r.join(ctx, hint, self)
		}
	}
}

// SetPeers replaces the addresses that are asked when joining.
func (r *Replica) SetPeers(peers []ident.Address) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opts.Peers = peers
}

// joinPeers returns the addresses to ask: those of the settings and, as these may be gone, of the members
// that were known last.
func (r *Replica) joinPeers() []ident.Address {
	r.mu.Lock()
	defer r.mu.Unlock()
	peers := slices.Clone(r.opts.Peers)
	for _, m := range r.node.Status(r.at()).Members {
		if a := ident.Address(m.Address); a != r.opts.Address && !slices.Contains(peers, a) {
			peers = append(peers, a)
		}
	}
	return peers
}

// mustJoin returns whether the group lacks this identity, or has it at another address.
func (r *Replica) mustJoin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.node.Status(r.at())
	if r.opts.ReplaceSilentVoters && s.Isolated {
		return true // the group may have replaced this member while it was silent
	}
	for _, m := range s.Members {
		if m.Id == string(r.id) {
			return m.Address != string(r.opts.Address)
		}
	}
	return !r.wasMember
}

// join asks one member, and returns the leader's address if it is another one.
func (r *Replica) join(ctx context.Context, address ident.Address, self *wire.Member) ident.Address {
	if address == r.opts.Address {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	to := r.peers.to(address)
	reply, err := to.Join(ctx, &wire.JoinRequest{Member: self})
	if err != nil {
		to.reset()
		return ""
	}
	if reply.Accepted {
		return ""
	}
	return ident.Address(reply.Leader)
}

// Handler returns the service towards the other members.
func (r *Replica) Handler() http.Handler { return wire.NewConsensusServer(service{r}) }

// service feeds the requests of other members to the node and waits for its answers.
type service struct{ r *Replica }

func (s service) call(ctx context.Context, event func(at time.Duration, token consensus.Token) consensus.Event) (proto.Message, error) {
	r := s.r
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	ch := make(chan proto.Message, 1)
	r.mu.Lock()
	if err := r.stopped("answer"); err != nil {
		r.mu.Unlock()
		return nil, err
	}
	r.token++
	token := r.token
	r.answers[token] = ch
	r.step(event(r.at(), token))
	r.mu.Unlock()
	select {
	case m := <-ch:
		return m, nil
	case <-ctx.Done():
		r.mu.Lock()
		delete(r.answers, token)
		r.mu.Unlock()
		return nil, ctx.Err()
	}
}

func (s service) Vote(ctx context.Context, q *wire.VoteRequest) (*wire.VoteReply, error) {
	m, err := s.call(ctx, func(at time.Duration, token consensus.Token) consensus.Event {
		return consensus.VoteRequested{At: at, Token: token, Request: q}
	})
	reply, _ := m.(*wire.VoteReply)
	return reply, err
}

func (s service) Append(ctx context.Context, q *wire.AppendRequest) (*wire.AppendReply, error) {
	m, err := s.call(ctx, func(at time.Duration, token consensus.Token) consensus.Event {
		return consensus.AppendRequested{At: at, Token: token, Request: q}
	})
	reply, _ := m.(*wire.AppendReply)
	return reply, err
}

func (s service) Install(ctx context.Context, q *wire.InstallRequest) (*wire.InstallReply, error) {
	m, err := s.call(ctx, func(at time.Duration, token consensus.Token) consensus.Event {
		return consensus.InstallRequested{At: at, Token: token, Request: q}
	})
	reply, _ := m.(*wire.InstallReply)
	return reply, err
}

func (s service) Handover(ctx context.Context, q *wire.HandoverRequest) (*wire.HandoverReply, error) {
	m, err := s.call(ctx, func(at time.Duration, token consensus.Token) consensus.Event {
		return consensus.HandoverRequested{At: at, Token: token, Request: q}
	})
	reply, _ := m.(*wire.HandoverReply)
	return reply, err
}

func (s service) Join(ctx context.Context, q *wire.JoinRequest) (*wire.JoinReply, error) {
	m, err := s.call(ctx, func(at time.Duration, token consensus.Token) consensus.Event {
		return consensus.JoinRequested{At: at, WallTime: s.r.opts.Clock.Now(), Token: token, Request: q}
	})
	reply, _ := m.(*wire.JoinReply)
	return reply, err
}

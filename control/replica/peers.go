package replica

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cuminfall.example/control/consensus"
	"cuminfall.example/control/consensus/wire"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/process"
)

// peerClients holds one client and transport per address, so that a peer that does not reply does not
// delay requests to others.
type peerClients struct {
	localAddr       net.Addr          // local address of connections; nil lets the operating system choose
	sharedTransport http.RoundTripper // used for all addresses if not nil
	replies         process.ReadBudget
	mu              sync.Mutex
	clients         map[ident.Address]*peerClient
}

// peerClient is the client for one address.
type peerClient struct {
	wire.Consensus
	transport *http.Transport // nil if the transport is shared
}

func newPeerClients(sharedTransport http.RoundTripper, localAddr net.Addr) *peerClients {
	return &peerClients{sharedTransport: sharedTransport, localAddr: localAddr, replies: process.ReadBudget{Max: process.MaxReplyBytes}, clients: map[ident.Address]*peerClient{}}
}

// client returns the client for an address and creates it if needed.
func (p *peerClients) client(address ident.Address) *peerClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.clients[address]; r != nil {
		return r
	}
	r := &peerClient{}
	var transport = p.sharedTransport
	if transport == nil {
		r.transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: requestTimeout, LocalAddr: p.localAddr}).DialContext,
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     time.Minute, MaxResponseHeaderBytes: process.MaxReplyHeaderBytes,
		}
		transport = r.transport
	}
	client := &http.Client{Transport: p.replies.Transport(transport)}
	r.Consensus = wire.NewConsensusProtobufClient("http://"+string(address), client)
	p.clients[address] = r
	return r
}

func (p *peerClients) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.clients {
		r.resetConnections()
	}
}

// resetConnections makes the next request use a new connection. The connection of the failed request is
// closed by its context.
func (r *peerClient) resetConnections() {
	if r.transport != nil {
		r.transport.CloseIdleConnections()
	}
}

// performRequest sends the request of a SendRequest effect and passes its outcome to the node.
func (r *Replica) performRequest(ctx context.Context, request consensus.SendRequest) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	client := r.peers.client(request.Address)
	r.metrics.requests.Inc(1)
	var err error
	switch m := request.Message.(type) {
	case *wire.VoteRequest:
		var reply *wire.VoteReply
		reply, err = client.Vote(ctx, m)
		r.handleEvent(consensus.VoteReplied{At: r.nodeTime(), To: request.To, Request: m, Reply: reply})
	case *wire.AppendRequest:
		var reply *wire.AppendReply
		var loaded *wire.AppendRequest
		if loaded, err = r.withData(m); err == nil {
			reply, err = client.Append(ctx, loaded)
		} else {
			r.opts.Log.WithFields(logrus.Fields{"event": "load", "member": request.To}).WithError(err).Warn("could not read the entries that a member lacks")
		}
		r.handleEvent(consensus.AppendReplied{At: r.nodeTime(), To: request.To, Request: m, Reply: reply})
	case *wire.InstallRequest:
		var reply *wire.InstallReply
		reply, err = client.Install(ctx, m)
		r.handleEvent(consensus.InstallReplied{At: r.nodeTime(), To: request.To, Request: m, Reply: reply})
	case *wire.HandoverRequest:
		_, err = client.Handover(ctx, m)
	}
	if err != nil {
		r.metrics.failedRequests.Inc(1)
		client.resetConnections()
	}
}

// withData returns an append with the data of its entries.
func (r *Replica) withData(m *wire.AppendRequest) (*wire.AppendRequest, error) {
	if !slices.ContainsFunc(m.Entries, consensus.IsEvicted) {
		return m, nil
	}
	loaded := &wire.AppendRequest{Term: m.Term, Leader: m.Leader, PrevIndex: m.PrevIndex, PrevTerm: m.PrevTerm,
		Entries: slices.Clone(m.Entries), Commit: m.Commit, Round: m.Round, To: m.To}
	for i, e := range loaded.Entries {
		if !consensus.IsEvicted(e) {
			continue
		}
		var err error
		if loaded.Entries[i], err = r.journal.Load(e.Index, e.Term); err != nil {
			return nil, err
		}
	}
	return loaded, nil
}

// runJoin asks the group to add this member until the group has its identity at its address.
func (r *Replica) runJoin(ctx context.Context) {
	ticks, stop := r.opts.Clock.Every(joinInterval)
	defer stop()
	for attempt := 0; ; attempt++ {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		self := &wire.Member{Id: string(r.id), Name: r.opts.Name, Address: string(r.opts.Address)}
		addresses := r.joinAddresses()
		if len(addresses) == 0 || !r.needsJoin() {
			continue
		}
		address := addresses[attempt%len(addresses)]
		if leaderAddress := r.requestJoin(ctx, address, self); leaderAddress != "" && leaderAddress != address {
			r.requestJoin(ctx, leaderAddress, self)
		}
	}
}

// SetPeers replaces the addresses to which join requests are sent.
func (r *Replica) SetPeers(peers []ident.Address) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opts.Peers = peers
}

// joinAddresses returns the addresses to which join requests are sent: those of the settings and, because
// these may be out of date, those of the last known members.
func (r *Replica) joinAddresses() []ident.Address {
	r.mu.Lock()
	defer r.mu.Unlock()
	addresses := slices.Clone(r.opts.Peers)
	for _, m := range r.node.Status(r.nodeTime()).Members {
		if a := ident.Address(m.Address); a != r.opts.Address && !slices.Contains(addresses, a) {
			addresses = append(addresses, a)
		}
	}
	return addresses
}

// needsJoin returns whether this member should send join requests: the group does not have its identity, or
// has it at another address.
func (r *Replica) needsJoin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.node.Status(r.nodeTime())
	if r.opts.ReplaceSilentVoters && s.Isolated {
		return true // the group may have replaced this member while it was isolated
	}
	for _, m := range s.Members {
		if m.Id == string(r.id) {
			return m.Address != string(r.opts.Address)
		}
	}
	return !r.wasMember
}

// requestJoin sends a join request to one member. It returns the leader's address if that member did not
// accept the request, and an empty address otherwise.
func (r *Replica) requestJoin(ctx context.Context, address ident.Address, self *wire.Member) ident.Address {
	if address == r.opts.Address {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	client := r.peers.client(address)
	reply, err := client.Join(ctx, &wire.JoinRequest{Member: self})
	if err != nil {
		client.resetConnections()
		return ""
	}
	if reply.Accepted {
		return ""
	}
	return ident.Address(reply.Leader)
}

// Handler returns the handler of the requests of other members.
func (r *Replica) Handler() http.Handler { return wire.NewConsensusServer(service{r}) }

// service passes the requests of other members to the node and returns its replies.
type service struct{ replica *Replica }

// call passes an event with a new token to the node and waits for the reply to that token.
func (s service) call(ctx context.Context, newEvent func(at time.Duration, token consensus.Token) consensus.Event) (proto.Message, error) {
	r := s.replica
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	reply := make(chan proto.Message, 1)
	r.mu.Lock()
	if err := r.checkRunning("answer"); err != nil {
		r.mu.Unlock()
		return nil, err
	}
	r.lastToken++
	token := r.lastToken
	r.replies[token] = reply
	r.stepLocked(newEvent(r.nodeTime(), token))
	r.mu.Unlock()
	select {
	case m := <-reply:
		return m, nil
	case <-ctx.Done():
		r.mu.Lock()
		delete(r.replies, token)
		r.mu.Unlock()
		return nil, ctx.Err()
	}
}

func (s service) Vote(ctx context.Context, request *wire.VoteRequest) (*wire.VoteReply, error) {
	m, err := s.call(ctx, func(at time.Duration, token consensus.Token) consensus.Event {
		return consensus.VoteRequested{At: at, Token: token, Request: request}
	})
	reply, _ := m.(*wire.VoteReply)
	return reply, err
}

func (s service) Append(ctx context.Context, request *wire.AppendRequest) (*wire.AppendReply, error) {
	m, err := s.call(ctx, func(at time.Duration, token consensus.Token) consensus.Event {
		return consensus.AppendRequested{At: at, Token: token, Request: request}
	})
	reply, _ := m.(*wire.AppendReply)
	return reply, err
}

func (s service) Install(ctx context.Context, request *wire.InstallRequest) (*wire.InstallReply, error) {
	m, err := s.call(ctx, func(at time.Duration, token consensus.Token) consensus.Event {
		return consensus.InstallRequested{At: at, Token: token, Request: request}
	})
	reply, _ := m.(*wire.InstallReply)
	return reply, err
}

func (s service) Handover(ctx context.Context, request *wire.HandoverRequest) (*wire.HandoverReply, error) {
	m, err := s.call(ctx, func(at time.Duration, token consensus.Token) consensus.Event {
		return consensus.HandoverRequested{At: at, Token: token, Request: request}
	})
	reply, _ := m.(*wire.HandoverReply)
	return reply, err
}

func (s service) Join(ctx context.Context, request *wire.JoinRequest) (*wire.JoinReply, error) {
	m, err := s.call(ctx, func(at time.Duration, token consensus.Token) consensus.Event {
		return consensus.JoinRequested{At: at, WallTime: s.replica.opts.WallClock.Now(), Token: token, Request: request}
	})
	reply, _ := m.(*wire.JoinReply)
	return reply, err
}

package coordinator

import (
	"context"
	"encoding/json"
	"sync"

	"golang.org/x/sync/singleflight"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/protocol"
)

// registryFloor is the index that this member's registry must have reached since it regained contact with a leader. Below
// it, the registry may lack commands that others already follow.
type registryFloor struct {
	question singleflight.Group

	mu      sync.Mutex
	known   bool
	contact uint64 // contact for which index holds
	index   ident.Index
}

// get returns the floor for a contact.
func (f *registryFloor) get(contact uint64) (index ident.Index, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.index, f.known && f.contact == contact
}

func (f *registryFloor) set(contact uint64, index ident.Index) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known, f.contact, f.index = true, contact, index
}

// requiredIndex returns the floor of the registry. It asks the leader unless it has done so since the member regained
// contact.
func (c *Coordinator) requiredIndex() (index ident.Index, known bool) {
	contact := c.opts.Replica.Status().Contact
	if index, known = c.floor.get(contact); known {
		return index, true
	}
	// All requests wait for one answer. It may outlast the request that came first.
	_, _, _ = c.floor.question.Do("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
		defer cancel()
		contact := c.opts.Replica.Status().Contact
		committed, err := c.committedIndex(ctx)
		if err == nil {
			c.floor.set(contact, committed)
		}
		return nil, err
	})
	return c.floor.get(c.opts.Replica.Status().Contact)
}

// committedIndex returns the index of the last committed command, as the leader knows it.
func (c *Coordinator) committedIndex(ctx context.Context) (ident.Index, error) {
	if _, _, leads := c.opts.Replica.Leadership(); leads {
		if _, err := c.opts.Replica.Barrier(ctx); err != nil {
			return 0, err
		}
		return c.opts.StateMachine.index(), nil
	}
	request, err := json.Marshal(protocol.FollowRequest{StatusOnly: true, Committed: true})
	if err != nil {
		return 0, err
	}
	var reply protocol.FollowReply
	if err = c.callLeader(ctx, protocol.FollowPath, request, &reply); err == nil && reply.Isolated {
		err = fault.New(fault.Isolated, "follow", string(reply.Leader), "the leader has no contact with a majority")
	}
	return reply.Index, err
}

// handleFollow returns the commands that an entry VM or another follower of the registry lacks.
func (c *Coordinator) handleFollow(ctx context.Context, body []byte) (any, error) {
	var q protocol.FollowRequest
	if err := json.Unmarshal(body, &q); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "follow", "")
	}
	if q.Committed {
		return c.handleCommitted(ctx)
	}
	select {
	case <-c.stopping:
		return nil, c.stoppingError()
	default:
	}
	index, changed := c.opts.StateMachine.watch()
	status := c.followStatus()
	if q.StatusOnly {
		return status, nil
	}
	if q.Wait > 0 && index <= q.Index {
		select {
		case <-ctx.Done():
			return nil, fault.Wrap(ctx.Err(), fault.Deadline, "follow", "")
		case <-c.stopping:
			return nil, c.stoppingError()
		case <-changed:
		case <-c.opts.Clock.After(q.Wait):
		}
		status = c.followStatus()
	}
	if status.CatchingUp {
		return status, nil
	}
	reply, err := c.opts.StateMachine.entriesAfter(q.Index)
	if err != nil {
		return nil, err
	}
	status.Index, status.State, status.Entries = reply.Index, reply.State, reply.Entries
	return status, nil
}

func (c *Coordinator) stoppingError() error {
	return fault.New(fault.Stopping, "follow", string(c.opts.Address), "this member is shutting down")
}

// handleCommitted returns to another member the index that its registry must reach.
func (c *Coordinator) handleCommitted(ctx context.Context) (any, error) {
	if _, _, leads := c.opts.Replica.Leadership(); !leads {
		return nil, fault.New(fault.NotLeader, "follow", string(c.opts.Address), "this member does not lead")
	}
	index, err := c.committedIndex(ctx)
	return protocol.FollowReply{Index: index}, err
}

// followStatus returns a reply with what this member knows about its group and its registry, without commands. Followers use
// no commands of a member that is catching up, and encoding its state at each of them would delay it.
func (c *Coordinator) followStatus() protocol.FollowReply {
	required, known := c.requiredIndex()
	s := c.opts.Replica.Status()
	reply := protocol.FollowReply{Index: c.opts.StateMachine.index(), Isolated: s.Isolated, Leader: s.Leader}
	reply.CatchingUp = !known || reply.Index < required
	for _, m := range s.Members {
		reply.Members = append(reply.Members, m.Address)
	}
	return reply
}

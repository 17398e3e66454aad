package follower

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/protocol"
)

// followCall is a follow request that has no result yet.
type followCall struct {
	member ident.Address
	cancel context.CancelFunc

	mu        sync.Mutex
	arrivedAt time.Time // when the last part of the reply arrived; zero before the first one
}

// followResult is the outcome of a follow request.
type followResult struct {
	call  *followCall
	reply protocol.FollowReply
	err   error
}

// isArriving returns whether parts of the reply have arrived recently.
func (c *followCall) isArriving(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.arrivedAt.IsZero() && now.Sub(c.arrivedAt) < replySilence
}

func (f *Follower) startFollowCall(ctx context.Context, member ident.Address) *followCall {
	call := &followCall{member: member}
	callCtx, cancel := context.WithTimeout(ctx, lateFollowTimeout)
	call.cancel = cancel
	request := protocol.FollowRequest{Index: f.registry.Index, Wait: longPollWait}
	go func() {
		defer cancel()
		r := followResult{call: call}
		r.err = f.client.CallWatched(callCtx, member, protocol.FollowPath, request, &r.reply, func() {
			call.mu.Lock()
			defer call.mu.Unlock()
			call.arrivedAt = f.opts.Clock.Now()
		})
		select {
		case f.results <- r:
		case <-ctx.Done():
		}
	}()
	return call
}

// fetchChanges requests the changes of the registry. The reply is nil if a late one came first. A call that has no reply
// when its time is over is not given up, as the VM's own link may be the slow one. It may also be that of the member, so
// another member is asked meanwhile.
func (f *Follower) fetchChanges(ctx context.Context, member ident.Address) (*protocol.FollowReply, error) {
	timeout := longPollWait + longPollMargin
	if f.targetIndex > f.registry.Index+catchUpThreshold {
		timeout = catchUpTimeout
	}
	call := f.startFollowCall(ctx, member)
	expired := f.opts.Clock.After(timeout)
	for {
		select {
		case <-ctx.Done():
			return nil, fault.Wrap(ctx.Err(), fault.Unreachable, "follow", string(member))
		case r := <-f.results:
			if r.call == call {
				if r.err == nil && r.reply.Index > f.registry.Index {
					f.dropLateCalls()
				}
				return &r.reply, r.err
			}
			if f.endLateCall(r) {
				call.cancel() // it asks for what this reply brought
				return nil, nil
			}
		case <-expired:
			if f.keepsWaiting(call) {
				expired = f.opts.Clock.After(replySilence)
				continue
			}
			return nil, fault.New(fault.Unreachable, "follow", string(member), "no complete reply within %s", timeout)
		}
	}
}

// keepsWaiting decides about a call whose time is over. It makes it a late call, in place of a silent one if there are too
// many, or gives it up. It returns true if the call is to be waited for, as all replies are arriving.
func (f *Follower) keepsWaiting(call *followCall) bool {
	now := f.opts.Clock.Now()
	if len(f.late) >= maxLateCalls {
		if !call.isArriving(now) {
			call.cancel()
			return false
		}
		silent := slices.IndexFunc(f.late, func(c *followCall) bool { return !c.isArriving(now) })
		if silent < 0 {
			return true
		}
		f.late[silent].cancel()
		f.late = slices.Delete(f.late, silent, silent+1)
	}
	f.late = append(f.late, call)
	return false
}

// endLateCall takes the result of a late call, and returns whether its member is followed now. A member is followed that
// brought the registry forward, or confirmed it while none was followed: a search might get no answer over the link that
// made the reply late.
func (f *Follower) endLateCall(r followResult) bool {
	i := slices.Index(f.late, r.call)
	if i < 0 {
		return false // given up
	}
	f.late = slices.Delete(f.late, i, i+1)
	before := f.registry.Index
	err := r.err
	if err == nil {
		err = checkReply(r.call.member, &r.reply)
	}
	useful := err == nil && (r.reply.Index > before || r.reply.Index == before && f.followedMember() == "")
	if useful {
		err = f.applyReply(r.call.member, r.reply)
	}
	log := f.opts.Log.WithFields(logrus.Fields{"event": "late_reply", "member": r.call.member, "index": r.reply.Index, "before": before, "useful": useful})
	if err != nil {
		log.WithError(err).Warn("late call of a control member failed")
		return false
	}
	log.Info("late reply of a control member arrived")
	if useful {
		f.follow(r.call.member, r.reply)
	}
	return useful
}

// dropLateCalls gives up all late calls.
func (f *Follower) dropLateCalls() {
	for _, c := range f.late {
		c.cancel()
	}
	f.late = nil
}

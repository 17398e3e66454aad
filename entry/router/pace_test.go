package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/limit"
)

// paced returns a router of one slot whose service answers in the given time.
func paced(t *testing.T, elapsed time.Duration) (*Router, time.Time) {
	p := newPlant()
	p.lease = time.Hour
	p.upstream("read", near, "a1", 1)
	r := p.start(t)
	r.config.MaxViewAge = time.Hour
	now := epoch
	for id := range RequestID(20) {
		r.Step(read(id, now), nil)
		now = now.Add(elapsed)
		r.Step(&AttemptEnded{At: now, ID: id, Outcome: Answered, Elapsed: elapsed}, nil)
	}
	return r, now
}

// waiting adds a request that takes the slot and one that waits with the given time-out.
func waiting(r *Router, now time.Time, timeout time.Duration) {
	r.Step(read(100, now), nil)
	e := read(101, now)
	e.Deadline = now.Add(timeout)
	r.Step(e, nil)
}

// Guards against a dispatch so late that the upstream works for a caller that is gone.
func TestNoDispatchWithoutTimeToAnswer(t *testing.T) {
	for _, c := range []struct {
		name             string
		elapsed, timeout time.Duration
		free             time.Duration // when the slot becomes free
		sent             bool
		due              time.Duration // when the waiting request is refused at the latest
	}{
		{"in time", 100 * time.Millisecond, 2 * time.Second, 1800 * time.Millisecond, true, 1900 * time.Millisecond},
		{"too late", 100 * time.Millisecond, 2 * time.Second, 1950 * time.Millisecond, false, 1900 * time.Millisecond},
		{"bounded by the caller's time-out", 400 * time.Millisecond, time.Second, 740 * time.Millisecond, true, 750 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r, now := paced(t, c.elapsed)
			waiting(r, now, c.timeout)
			due, ok := r.Next()
			is.True(ok)
			is.True(!due.After(now.Add(c.due + time.Millisecond)))
			out := r.Step(&AttemptEnded{At: now.Add(c.free), ID: 100, Outcome: Answered, Elapsed: c.elapsed}, nil)
			is.Equal(sendOf(out) != nil, c.sent)
			if f := refusal(out); !c.sent {
				is.Equal(f.Fault.Code, fault.Busy)
				is.Equal(f.Fault.Execution, fault.NotExecuted)
			}
		})
	}
}

// Guards against an early refusal of what a service that has become faster can still answer.
func TestFasterServiceExtendsTheWait(t *testing.T) {
	is := is.New(t)
	r, now := paced(t, 400*time.Millisecond)
	waiting(r, now, 2*time.Second)
	for range 200 {
		r.view.services["read"].pace.observe(now, 100*time.Millisecond)
	}
	out := r.Step(&Tick{At: now.Add(1700 * time.Millisecond)}, nil)
	is.True(refusal(out) == nil)
	is.True(refusal(r.Step(&Tick{At: now.Add(1950 * time.Millisecond)}, nil)) != nil)
}

// Guards against attempts that are cut at their deadline and thus never count
// as slow, and against a slow period that is never forgotten.
func TestPaceOfCutAttemptsAndIdleServices(t *testing.T) {
	is := is.New(t)
	r, now := paced(t, 100*time.Millisecond)
	p := &r.view.services["read"].pace
	r.Step(read(100, now), nil)
	now = now.Add(2 * time.Second)
	before := p.recent(now)
	r.Step(&AttemptEnded{At: now, ID: 100, Outcome: Broken}, nil)
	is.True(p.recent(now) > before)
	is.True(p.recent(now.Add(10*paceHalf)) < before/100)
}

// Guards against a queue that is longer than the rate serves, and against
// refusing a request that the whole rate of its workspace could serve.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	p := newPlant()
	p.upstream("read", near, "a1", 1000)
	p.doc.Workspaces.Workspaces[0].Rate = 10
	p.share(limit.OfWorkspace("w0"), 1, 1, 0)
	r := p.start(t)
	for id := range RequestID(40) {
		e := read(id, epoch)
		e.Deadline = epoch.Add(2 * time.Second)
		f := refusal(r.Step(e, nil))
		is.Equal(f != nil, id > 20) // one token now, and 20 within the time-out
		if f != nil {
			is.Equal(f.Fault.Code, fault.Rate)
			is.Equal(f.Fault.Execution, fault.NotExecuted)
		}
	}
}

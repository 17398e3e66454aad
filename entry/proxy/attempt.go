package proxy

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"cuminfall.example/entry/balancer"
	"cuminfall.example/entry/forward"
	"cuminfall.example/entry/gateway"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/registry"
)

const (
	// wholeAnswer is the longest answer that is read to its end before the caller gets its head, so that one
	// that breaks can be replaced.
	wholeAnswer = 256 << 10
	// streamedBody is the shortest body that is sent while it arrives, beside the reading of the answer, since an
	// upstream may answer a long one before it has read it.
	streamedBody = 16 << 10
	// unsafeRest is the longest pause after which a kept connection still carries a request that must not
	// run twice: where it broke meanwhile, nobody could tell whether the request ran.
	unsafeRest = 3 * time.Second
	// maxUnreached bounds how many upstreams without a connection one request tries.
	maxUnreached = 4
)

// send tries upstreams until one answers or no other may.
func (c *call) send() *refusal {
	var tried []registry.UpstreamID
	sends, unreached := 0, 0
	var last result
	for {
		if gateway.ClientDisconnected(c.r.Context()) {
			c.returnRate()
			c.f.opts.Log.Event(logrus.InfoLevel, "gone", c.fields("gone"), "the caller has left")
			panic(http.ErrAbortHandler)
		}
		choice, no := c.choose(tried)
		if no != nil {
			return c.settle(last, no)
		}
		tried = append(tried, choice.Upstream.ID)
		last = c.attempt(choice)
		c.ran = c.ran || last.ran
		if last.done {
			return nil
		}
		if last.arrived {
			sends++
		} else {
			unreached++
		}
		if !last.again || unreached >= maxUnreached || last.arrived && !c.retry(sends) {
			return c.settle(last, nil)
		}
		c.f.opts.Log.Event(logrus.InfoLevel, "again", c.fields("again"), "request goes to another upstream")
	}
}

// settle ends a request with what its last attempt left, or with no where there was none.
func (c *call) settle(last result, no *refusal) *refusal {
	if last.kept != nil {
		c.write(last.kept.status, last.kept.header, last.kept.body)
		return nil
	}
	if last.no != nil {
		return last.no
	}
	return no
}

// answer is an upstream's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// result is how one attempt ended.
type result struct {
	done    bool     // the caller has an answer
	kept    *answer  // the upstream's failure, for the caller where no other attempt follows
	no      *refusal // the same for a failure that is no answer
	again   bool     // the request may be sent to another upstream
	arrived bool     // the upstream got it, or may have
	ran     bool     // the upstream ran it, or may have
}

func (c *call) attempt(choice balancer.Choice) result {
	began := c.f.opts.Clock.Now()
	u := choice.Upstream
	q := &forward.Request{
		Endpoint: u.Address, Incarnation: incarnation(u.ID, u.StartedAt), Identity: string(u.ID),
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: c.r.Header,
		Workspace: c.workspace, Deadline: c.deadline, Body: c.body,
	}
	if !c.route.Idempotent {
		q.MaxIdle = unsafeRest
	}
	if c.upload != nil {
		q.Body, q.Stream, q.Length, q.Interrupt = nil, c.upload.begin(), int64(c.size), c.upload.interrupt
		defer c.upload.restore()
	}
	x, err := c.f.opts.Forward.Do(c.r.Context(), q)
	if err != nil {
		return c.failed(choice, began, err)
	}
	defer x.Close()
	about := c.f.opts.WireFormat.ParseAnswer(x.Status, x.Header)
	if about.NotExecuted {
		c.ended(choice, balancer.Shed, c.f.opts.Clock.Now().Sub(began), about.Load)
		return result{again: true, arrived: true, no: &refusal{status: http.StatusServiceUnavailable,
			why: "the upstream did not run the request", after: max(choice.ExpectedWait, leastRetryAfter)}}
	}
	if x.Status/100 == 2 && (!about.Authentic || x.Header.Get("Content-Encoding") != "") {
		return c.failed(choice, began, errors.New("the answer is not the upstream's own"))
	}
	if x.Status >= 500 && c.route.Idempotent {
		return c.keep(choice, began, x, about)
	}
	return c.deliver(choice, began, x, about)
}

// failed turns an attempt without an answer into what follows from it.
func (c *call) failed(choice balancer.Choice, began time.Time, err error) result {
	elapsed := c.f.opts.Clock.Now().Sub(began)
	var broke *forward.Failure
	if errors.As(err, &broke) {
		switch {
		case broke.Reason == forward.Cancelled:
			c.ended(choice, balancer.Abandoned, elapsed, -1)
			panic(http.ErrAbortHandler)
		case broke.Reason == forward.UploadFailed && !c.upload.late():
			c.ended(choice, balancer.Abandoned, elapsed, -1)
			return result{no: &refusal{status: http.StatusBadRequest, why: "body ended early"}}
		case broke.Reason == forward.UploadFailed, broke.Reason == forward.DeadlineExceeded && broke.Incomplete && c.upload != nil:
			c.ended(choice, balancer.Abandoned, elapsed, -1)
			return result{no: &refusal{status: http.StatusRequestTimeout, why: "body not received in time"}}
		case broke.Reason == forward.DeadlineExceeded && broke.Sent:
			c.ended(choice, balancer.Abandoned, elapsed, -1)
			return result{arrived: true, ran: true, no: &refusal{status: http.StatusGatewayTimeout, why: "no answer in time"}}
		case !broke.Sent:
			c.ended(choice, balancer.ConnectFailed, elapsed, -1)
			return result{again: true, no: &refusal{status: http.StatusServiceUnavailable, why: broke.Error(), after: leastRetryAfter}}
		}
	}
	c.f.meters.broken.Inc(1)
	c.ended(choice, balancer.Broken, elapsed, -1)
	if broke != nil && broke.Incomplete && c.upload != nil {
		return result{again: true, arrived: true, no: &refusal{status: http.StatusServiceUnavailable, why: err.Error(), after: leastRetryAfter}}
	}
	return result{again: c.route.Idempotent, arrived: true, ran: true, no: &refusal{status: http.StatusBadGateway, why: err.Error()}}
}

// keep reads an upstream's own failure of an idempotent request, which another upstream may do better.
func (c *call) keep(choice balancer.Choice, began time.Time, x *forward.Exchange, about Answer) result {
	body, err := io.ReadAll(io.LimitReader(x, wholeAnswer))
	if err != nil || !x.Complete() {
		return c.failed(choice, began, errors.New("the upstream's failure broke off"))
	}
	c.ended(choice, balancer.Failed, c.f.opts.Clock.Now().Sub(began), about.Load)
	return result{again: true, arrived: true, ran: true, kept: &answer{x.Status, x.Header, body}}
}

// deliver gives the upstream's answer to the caller.
func (c *call) deliver(choice balancer.Choice, began time.Time, x *forward.Exchange, about Answer) result {
	body, err := io.ReadAll(io.LimitReader(x, wholeAnswer))
	if err != nil {
		return c.failed(choice, began, err)
	}
	outcome := balancer.Answered
	if x.Status >= 500 {
		outcome = balancer.Failed
	}
	if x.Complete() || len(body) < wholeAnswer {
		x.Close() // the connection is free for the next request before the caller has read this answer
		c.ended(choice, outcome, c.f.opts.Clock.Now().Sub(began), about.Load)
		c.write(x.Status, x.Header, body)
		return result{done: true, arrived: true, ran: true}
	}
	c.head(x.Status, x.Header, x.Length)
	_, err = c.w.Write(body)
	if err == nil {
		_, err = io.Copy(c.w, x)
	}
	if err != nil {
		c.ended(choice, balancer.Broken, c.f.opts.Clock.Now().Sub(began), about.Load)
		panic(http.ErrAbortHandler) // the caller must not take the answer for whole
	}
	c.ended(choice, outcome, c.f.opts.Clock.Now().Sub(began), about.Load)
	return result{done: true, arrived: true, ran: true}
}

func (c *call) head(status int, h http.Header, length int64) {
	to := c.w.Header()
	for name, values := range h {
		if name != "Connection" && name != "Content-Length" {
			to[name] = values
		}
	}
	if length >= 0 {
		to.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if to["Content-Type"] == nil {
		to["Content-Type"] = nil // keeps the server from guessing one
	}
	c.w.WriteHeader(status)
}

// write sends a whole answer.
func (c *call) write(status int, h http.Header, body []byte) {
	c.f.meters.answered.Inc(1)
	length := ident.Bytes(len(body))
	if c.r.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified {
		length = -1
	}
	c.head(status, h, int64(length))
	_, _ = c.w.Write(body) // a caller that has gone reads nothing
	fields := c.fields("answered")
	fields["status"], fields["took"] = status, c.f.opts.Clock.Now().Sub(c.began).String()
	c.f.opts.Log.Event(logrus.InfoLevel, "answered", fields, "request answered")
}

package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"cuminfall.example/entry/balancer"
	"cuminfall.example/entry/forward"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/listener"
	"cuminfall.example/fleet/registry"
)

const (
	// minStreamedBody is the shortest body, in bytes, that is streamed: it is sent while it arrives, concurrently with
	// reading the response, because an upstream may answer before it has read a long body.
	minStreamedBody = 16 << 10
	// maxNonIdempotentIdle is the longest idle time after which a connection is reused for a non-idempotent request. If
	// the connection broke while idle, it would be unknown whether the request ran.
	maxNonIdempotentIdle = 3 * time.Second
	// maxKeptFailure is the longest error response, in bytes, that is kept while the request is retried.
	maxKeptFailure = 16 << 10
	// maxConnectFailures is the number of failed connections after which a request gets no further attempt.
	maxConnectFailures = 4
)

// tryUpstreams sends the request to one upstream after another until one answers or no further attempt is allowed. It
// returns nil if the caller has a response.
func (c *call) tryUpstreams() *refusal {
	var tried []registry.UpstreamID
	sends, connectFailures := 0, 0
	var last, reported attemptResult // reported is what the caller gets if no further attempt follows
	defer c.leaveQuarantine()
	for {
		if listener.ClientDisconnected(c.r.Context()) {
			c.abandon()
		}
		if c.endedByStop() {
			return c.finish(reported, c.refuseAtEnd())
		}
		if refused := c.renewAdmission(); refused != nil {
			return c.finish(reported, refused)
		}
		if reported.mayHaveRun && !c.route.Idempotent {
			return c.finish(reported, nil)
		}
		if refused := c.passQuarantine(); refused != nil {
			return c.finish(reported, refused)
		}
		if refused := c.renewRate(); refused != nil {
			return c.finish(reported, refused)
		}
		choice, refused := c.chooseUpstream(tried)
		if refused != nil {
			return c.finish(reported, refused)
		}
		tried = append(tried, choice.Upstream.ID)
		last = c.attempt(choice)
		if last.withheld && c.permissions.lapsed {
			tried = tried[:len(tried)-1]
			continue
		}
		if last.tellsMoreThan(reported) {
			reported = last
		}
		c.mayHaveRun = c.mayHaveRun || last.mayHaveRun
		if last.answered {
			return nil
		}
		switch {
		case last.mayHaveArrived:
			sends++
		case !last.withheld:
			connectFailures++
		}
		if !last.retryable || last.mayHaveArrived && !c.mayRetrySuspect(last) || connectFailures >= maxConnectFailures || c.upload != nil && !c.upload.isKept() || last.mayHaveArrived && !c.takeRetry(sends) {
			return c.finish(reported, nil)
		}
		c.proxy.opts.Log.Event(logrus.InfoLevel, "again", c.logFields("again"), "retrying request at another upstream")
	}
}

// callerContext returns a context that is done when the caller disconnects. After an interrupted upload it is never done;
// the socket is checked before each attempt.
func (c *call) callerContext() context.Context {
	if c.upload != nil && c.upload.interrupted {
		return context.WithoutCancel(c.r.Context())
	}
	return c.r.Context()
}

// abandon ends a request whose caller has disconnected. It does not return.
func (c *call) abandon() {
	c.refundRate()
	fields := c.logFields("gone")
	fields["took"] = c.proxy.opts.Clock.Now().Sub(c.startedAt).String()
	c.proxy.opts.Log.Event(logrus.InfoLevel, "gone", fields, "caller disconnected")
	panic(http.ErrAbortHandler)
}

// finish ends a request with the failure response or the refusal of an attempt, or with refused if there was no attempt.
func (c *call) finish(last attemptResult, refused *refusal) *refusal {
	if last.failureResponse != nil {
		body := last.failureResponse.body
		c.writeResponse(last.failureResponse.status, last.failureResponse.header, len(body), bytes.NewReader(body))
		return nil
	}
	if last.refusal == nil {
		return refused
	}
	if last.refusal.status == http.StatusServiceUnavailable {
		if quiet := c.quietRefusal(); quiet != nil {
			return quiet
		}
	}
	return last.refusal
}

// bufferedResponse is an upstream's response that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	answered        bool              // the caller has a response
	failureResponse *bufferedResponse // the upstream's error response, sent to the caller if no other attempt follows
	refusal         *refusal          // sent to the caller if no other attempt follows and there is no failureResponse
	retryable       bool              // the request may be sent to another upstream
	withheld        bool              // the request was not sent, because a permission for that ended while it waited for a connection
	mayHaveArrived  bool              // the upstream received the request or may have received it
	mayHaveRun      bool              // the upstream ran the request or may have run it
	crashed         bool              // the upstream's process ended while it had the request
}

// tellsMoreThan reports whether the caller gets the response or refusal of r in place of that of an earlier attempt. An
// upstream's response goes before a refusal, and a refusal after a run before one that says that the request did not run.
func (r attemptResult) tellsMoreThan(earlier attemptResult) bool {
	if earlier.failureResponse != nil {
		return r.failureResponse != nil
	}
	return r.mayHaveRun || !earlier.mayHaveRun
}

func (c *call) attempt(choice balancer.Choice) attemptResult {
	startedAt := c.proxy.opts.Clock.Now()
	upstream := choice.Upstream
	request := &forward.Request{
		Endpoint: upstream.Address, Incarnation: incarnationOf(upstream.ID, upstream.StartedAt), Identity: string(upstream.ID),
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: c.r.Header,
		Workspace: c.workspace, Deadline: c.deadline, Body: c.body,
	}
	if !c.route.Idempotent {
		request.MaxIdle = maxNonIdempotentIdle
	}
	if c.upload != nil {
		request.Body, request.Stream, request.Length, request.Interrupt = nil, c.upload.newReader(), int64(c.bodySize), c.upload.interrupt
		defer c.endUploadAttempt()
	}
	var info ResponseInfo
	request.OnHead = func(status int, header http.Header) { info = c.readHead(upstream, status, header) }
	request.BeforeSend = func() error {
		err := c.checkPermissions(choice)
		c.suspicion.sent = c.suspicion.sent || err == nil
		return err
	}
	ctx, release := c.endWithStop()
	defer release()
	exchange, err := c.proxy.opts.Forward.Do(ctx, request)
	if err != nil {
		return c.handleFailure(choice, startedAt, err)
	}
	defer exchange.Close()
	if info.NotExecuted && isRefusal(exchange) {
		c.recordAttempt(choice, balancer.Shed, c.proxy.opts.Clock.Now().Sub(startedAt), info.Load)
		return attemptResult{retryable: true, mayHaveArrived: true, refusal: &refusal{status: http.StatusServiceUnavailable,
			reason: "the upstream did not execute the request", retryAfter: max(choice.ExpectedWait, minRetryAfter)}}
	}
	if info.NotExecuted || forward.PromisesNotExecuted(exchange.Status) {
		fields := c.logFields("doubt")
		fields["upstream"], fields["status"], fields["identified"] = upstream.ID, exchange.Status, exchange.Identified()
		c.proxy.opts.Log.Event(logrus.InfoLevel, "doubt", fields, "refusal not believed")
		return c.handleFailure(choice, startedAt, errors.Errorf("a response of status %d leaves open whether the request ran", exchange.Status))
	}
	if exchange.Status/100 == 2 && (!info.Authentic || exchange.Header.Get("Content-Encoding") != "") {
		return c.handleFailure(choice, startedAt, errors.New("the response lacks the upstream's stamp or has a Content-Encoding"))
	}
	if exchange.Status >= 500 && c.route.Idempotent {
		return c.keepFailure(choice, startedAt, exchange, info)
	}
	return c.deliver(choice, startedAt, exchange, info)
}

// isRefusal reports whether a response that says that the request did not run is to be believed.
func isRefusal(exchange *forward.Exchange) bool {
	return exchange.Identified() && (forward.PromisesNotExecuted(exchange.Status) || exchange.Status == http.StatusBadRequest)
}

// handleFailure records an attempt without a response and decides whether the request can be retried or which refusal
// the caller gets.
func (c *call) handleFailure(choice balancer.Choice, startedAt time.Time, err error) attemptResult {
	elapsed := c.proxy.opts.Clock.Now().Sub(startedAt)
	var failure *forward.Failure
	if errors.As(err, &failure) {
		switch {
		case failure.Reason == forward.Cancelled && c.endedByStop():
			c.recordAttempt(choice, balancer.Abandoned, elapsed, -1)
			if !failure.Sent || failure.Incomplete {
				return attemptResult{refusal: c.refuseAtEnd()}
			}
			return attemptResult{mayHaveArrived: true, mayHaveRun: true, refusal: &refusal{status: http.StatusGatewayTimeout, reason: "the upstream did not answer before the end of this VM's shutdown"}}
		case failure.Reason == forward.Withheld:
			c.proxy.metrics.withheld.Inc(1)
			c.recordAttempt(choice, balancer.Withheld, elapsed, -1)
			c.proxy.opts.Log.Event(logrus.InfoLevel, "withheld", c.logFields("withheld"), "request not sent: "+failure.Error())
			return attemptResult{retryable: !c.permissions.retryEnded, withheld: true, refusal: &refusal{status: http.StatusServiceUnavailable, reason: failure.Error(), retryAfter: minRetryAfter}}
		case failure.Reason == forward.Cancelled:
			c.recordAttempt(choice, balancer.Abandoned, elapsed, -1)
			panic(http.ErrAbortHandler)
		case failure.Reason == forward.UploadFailed && !c.upload.timedOut():
			c.recordAttempt(choice, balancer.Abandoned, elapsed, -1)
			return attemptResult{refusal: &refusal{status: http.StatusBadRequest, reason: "request body ended early"}}
		case failure.Reason == forward.UploadFailed, failure.Reason == forward.DeadlineExceeded && failure.Incomplete && c.upload != nil && c.upload.timedOut():
			c.recordAttempt(choice, balancer.Abandoned, elapsed, -1)
			return attemptResult{refusal: &refusal{status: http.StatusRequestTimeout, reason: "request body was not received before the deadline"}}
		case failure.Reason == forward.DeadlineExceeded && failure.Sent:
			c.recordAttempt(choice, balancer.Abandoned, elapsed, -1)
			return attemptResult{mayHaveArrived: true, mayHaveRun: true, refusal: &refusal{status: http.StatusGatewayTimeout, reason: "the upstream did not answer before the deadline"}}
		case !failure.Sent:
			c.recordAttempt(choice, balancer.ConnectFailed, elapsed, -1)
			return attemptResult{retryable: true, refusal: &refusal{status: http.StatusServiceUnavailable, reason: failure.Error(), retryAfter: minRetryAfter}}
		}
	}
	c.proxy.metrics.broken.Inc(1)
	c.recordAttempt(choice, balancer.Broken, elapsed, -1)
	crashed := c.investigate(choice, failure)
	return attemptResult{retryable: c.route.Idempotent, mayHaveArrived: true, mayHaveRun: true, crashed: crashed, refusal: &refusal{status: http.StatusBadGateway, reason: err.Error()}}
}

// keepFailure reads an upstream's error response to an idempotent request and keeps it, because a retry at another
// upstream may succeed.
func (c *call) keepFailure(choice balancer.Choice, startedAt time.Time, exchange *forward.Exchange, info ResponseInfo) attemptResult {
	buffer := responseBuffer{budget: &c.proxy.responseMemory}
	defer buffer.release()
	if err := buffer.readFrom(exchange); err != nil || !exchange.Complete() || buffer.size > maxKeptFailure {
		return c.handleFailure(choice, startedAt, errors.New("the upstream's error response is incomplete or too long"))
	}
	exchange.Close()
	c.recordAttempt(choice, balancer.Failed, c.proxy.opts.Clock.Now().Sub(startedAt), info.Load)
	c.recordAnswer(info)
	return attemptResult{retryable: true, mayHaveArrived: true, mayHaveRun: true, failureResponse: &bufferedResponse{exchange.Status, exchange.Header, buffer.copyBody()}}
}

// deliver sends the upstream's response to the caller. Responses longer than maxBufferedResponse are streamed.
func (c *call) deliver(choice balancer.Choice, startedAt time.Time, exchange *forward.Exchange, info ResponseInfo) attemptResult {
	buffer := responseBuffer{budget: &c.proxy.responseMemory}
	defer buffer.release()
	if err := buffer.readFrom(exchange); err != nil {
		exchange.Close()
		return c.handleFailure(choice, startedAt, err)
	}
	outcome := balancer.Answered
	if exchange.Status >= 500 {
		outcome = balancer.Failed
	}
	if exchange.Complete() {
		exchange.Close() // frees the connection for the next request before the caller has read this response
		c.recordAnswer(info)
		c.recordAttempt(choice, outcome, c.proxy.opts.Clock.Now().Sub(startedAt), info.Load)
		c.writeResponse(exchange.Status, exchange.Header, buffer.size, &buffer)
		return attemptResult{answered: true, mayHaveArrived: true, mayHaveRun: true}
	}
	c.outliveStop() // its head cannot be taken back
	c.writeHeader(exchange.Status, exchange.Header, exchange.Length)
	_, err := buffer.WriteTo(c.w)
	buffer.release()
	if err == nil {
		err = stream(c.w, exchange)
	}
	if err != nil {
		fields := c.logFields("cut")
		fields["upstream"], fields["status"], fields["length"] = choice.Upstream.ID, exchange.Status, exchange.Length
		c.proxy.opts.Log.Event(logrus.InfoLevel, "cut", fields, "response broken off: "+err.Error())
		c.recordAttempt(choice, balancer.Broken, c.proxy.opts.Clock.Now().Sub(startedAt), info.Load)
		var failure *forward.Failure
		if errors.As(err, &failure) {
			exchange.Close()
			c.investigate(choice, failure)
		}
		listener.BreakOff(c.r) // lets the caller see that the response is incomplete
	}
	exchange.Close()
	c.recordAttempt(choice, outcome, c.proxy.opts.Clock.Now().Sub(startedAt), info.Load)
	c.recordAnswer(info)
	return attemptResult{answered: true, mayHaveArrived: true, mayHaveRun: true}
}

func (c *call) writeHeader(status int, upstreamHeader http.Header, length int64) {
	header := c.w.Header()
	for name, values := range upstreamHeader {
		if name != "Connection" && name != "Content-Length" {
			header[name] = values
		}
	}
	if c.proxy.stop.begun() {
		header.Set("Connection", "close")
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if header["Content-Type"] == nil {
		header["Content-Type"] = nil // prevents net/http from detecting a content type
	}
	c.w.WriteHeader(status)
}

// writeResponse sends a complete response to the caller and logs it.
func (c *call) writeResponse(status int, header http.Header, size int, body io.WriterTo) {
	c.proxy.metrics.answered.Inc(1)
	length := ident.Bytes(size)
	if c.r.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified {
		length = -1
	}
	c.writeHeader(status, header, int64(length))
	_, _ = body.WriteTo(c.w) // fails only if the caller disconnected
	fields := c.logFields("answered")
	fields["status"], fields["took"] = status, c.proxy.opts.Clock.Now().Sub(c.startedAt).String()
	c.proxy.opts.Log.Event(logrus.InfoLevel, "answered", fields, "request answered")
}

package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/load/answer"
	"cuminfall.example/load/report"
)

// Result is the outcome of a request as its caller saw it.
type Result struct {
	Kind      report.Kind
	Status    int
	Code      fault.Code
	Execution fault.Execution
	Attempts  int
	Peer      string
	Message   string
	Path      string // set only by paths that alternate between other paths
	connected bool
}

// Path is a way to send requests to the stand-ins, such as through entry VMs or directly.
type Path interface {
	// Do sends one request and returns its outcome; the deadline of ctx is that of the request plus
	// deadlineMargin.
	Do(ctx context.Context, r *Request) Result
}

// NewTransport returns a transport that dials from the local address if it is valid, or else from any address.
func NewTransport(local netip.Addr) *http.Transport {
	dialer := &net.Dialer{Timeout: time.Second}
	if local.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: local.AsSlice()}
	}
	return &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 512, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}
}

// Exchange sends one attempt of a request to a peer, which is an entry VM or an endpoint.
type Exchange struct {
	Client  *http.Client
	Clock   clock.Clock
	Peer    ident.Address
	Attempt int
	Headers map[string]string
}

// Do sends the request, reads the whole response and checks that it is complete and belongs to the request.
func (x *Exchange) Do(ctx context.Context, r *Request) Result {
	result := Result{Peer: string(x.Peer), Kind: report.NoResponse, Execution: fault.ExecutionUnknown}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	body := answer.Padding(r.ID, int(r.BodySize))
	request, err := x.newRequest(ctx, r, body)
	if err != nil {
		result.Message = err.Error()
		return result
	}
	response, err := x.Client.Do(request)
	result.connected = connected.Load()
	if err != nil {
		result.Message = err.Error()
		result.Code = fault.Unreachable
		if !result.connected {
			result.Execution = fault.NotExecuted
		}
		return result
	}
	defer response.Body.Close()
	result.Status = response.StatusCode
	text, err := io.ReadAll(response.Body)
	if err != nil {
		result.Kind = report.Aborted
		result.Message = err.Error()
		return result
	}
	if response.StatusCode != http.StatusOK {
		return result.withRefusal(response, text)
	}
	return result.withResponse(r, body, text)
}

func (x *Exchange) newRequest(ctx context.Context, r *Request, body []byte) (*http.Request, error) {
	var reader io.Reader = bytes.NewReader(body)
	if r.IsUpload && r.Service.UploadRate > 0 {
		reader = &pacedReader{Reader: reader, ctx: ctx, clock: x.Clock, rate: r.Service.UploadRate.BytesPerSecond()}
	}
	method := http.MethodPost
	if len(body) == 0 && !r.Service.NonIdempotent {
		method, reader = http.MethodGet, nil
	}
	// The path must be the same in each attempt, because it is part of the digest of an idempotency claim.
	target := "http://" + string(x.Peer) + r.Service.Prefix + r.ID
	request, err := http.NewRequestWithContext(ctx, method, target, reader)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "make request", string(x.Peer))
	}
	// Without GetBody the transport never resends a request on its own.
	request.GetBody = nil
	request.ContentLength = int64(len(body))
	request.Header.Set(answer.RequestHeader, r.ID)
	request.Header.Set(answer.AttemptHeader, answer.FormatAttempt(x.Attempt, r.IsRepeat))
	request.Header.Set(answer.SizeHeader, strconv.Itoa(int(r.Service.ResponseSize)))
	request.Header.Set("User-Agent", "load")
	if r.Service.NonIdempotent {
		request.Header.Set("Idempotency-Key", r.ID)
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set("Request-Timeout", (deadline.Sub(x.Clock.Now()) - deadlineMargin).String())
	}
	for name, value := range x.Headers {
		request.Header.Set(name, value)
	}
	return request, nil
}

// deadlineMargin is the time for which a caller waits beyond the request's deadline, to receive the refusal.
const deadlineMargin = 250 * time.Millisecond

// withRefusal returns the result of a refusal. A refusal without Cuminfall-Run comes from an upstream, so
// whether the request ran is unknown.
func (r Result) withRefusal(response *http.Response, text []byte) Result {
	r.Kind = report.Refused
	var f fault.Error
	if json.Unmarshal(text, &f) != nil || f.Code == "" {
		f.Code = fault.Upstream
		f.Message = string(text[:min(len(text), 200)])
	}
	r.Code = f.Code
	r.Message = f.Message
	r.Execution = fault.Execution(response.Header.Get("Cuminfall-Run"))
	if r.Execution != fault.NotExecuted {
		r.Execution = fault.ExecutionUnknown
	}
	return r
}

// withResponse returns the result of a response: truncated if the response is incomplete, mismatched if it belongs to
// another request.
func (r Result) withResponse(request *Request, body, text []byte) Result {
	head, err := answer.Parse(text)
	if err != nil {
		r.Kind = report.Truncated
		r.Message = err.Error()
		return r
	}
	switch {
	case head.Request != request.ID:
		r.Kind = report.Mismatched
		r.Message = "response belongs to request " + head.Request
	case head.Workspace != request.Workspace.Name:
		r.Kind = report.Mismatched
		r.Message = "request ran for workspace " + string(head.Workspace)
	case head.Body != answer.Digest(body):
		r.Kind = report.Mismatched
		r.Message = "request ran with another body"
	default:
		r.Kind = report.Answered
		r.Execution = ""
	}
	return r
}

// pacedReader delivers an upload at a limited rate, like a slow connection.
type pacedReader struct {
	io.Reader
	ctx   context.Context
	clock clock.Clock
	rate  float64 // bytes per second
}

// paceInterval is the time between two chunks of a rate-limited upload.
const paceInterval = 20 * time.Millisecond

// Read implements io.Reader.
func (p *pacedReader) Read(b []byte) (int, error) {
	if err := clock.Sleep(p.ctx, p.clock, paceInterval); err != nil {
		return 0, err
	}
	return p.Reader.Read(b[:min(len(b), max(1, int(p.rate*paceInterval.Seconds())))])
}

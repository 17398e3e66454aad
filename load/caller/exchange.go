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

// Result is the end of a request as its caller saw it.
type Result struct {
	Kind     report.Kind
	Status   int
	Code     fault.Code
	Run      fault.Execution
	Attempts int
	Peer     string
	Message  string
	Path     string // set by paths that choose between others
	reached  bool
}

// Path carries requests to the stand-ins in some way.
type Path interface {
	// Do sends one request and returns how it ended; ctx ends with the request's time.
	Do(ctx context.Context, r *Request) Result
}

// NewTransport returns a transport whose connections start at the local address, if it is valid.
func NewTransport(local netip.Addr) *http.Transport {
	dialer := &net.Dialer{Timeout: time.Second}
	if local.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: local.AsSlice()}
	}
	return &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 512, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}
}

// Exchange is one HTTP exchange of a request with a peer.
type Exchange struct {
	Client  *http.Client
	Clock   clock.Clock
	Peer    ident.Address
	Attempt int
	Headers map[string]string
}

// Do sends the request, reads the answer to its end and checks that it is whole and the request's own.
func (x *Exchange) Do(ctx context.Context, r *Request) Result {
	result := Result{Peer: string(x.Peer), Kind: report.Broken, Run: fault.ExecutionUnknown}
	var reached atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { reached.Store(true) },
	})
	body := answer.Padding(r.ID, int(r.Body))
	request, err := x.request(ctx, r, body)
	if err != nil {
		result.Message = err.Error()
		return result
	}
	response, err := x.Client.Do(request)
	result.reached = reached.Load()
	if err != nil {
		result.Message = err.Error()
		result.Code = fault.Unreachable
		if !result.reached {
			result.Run = fault.NotExecuted
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
		return result.refused(response, text)
	}
	return result.check(r, body, text)
}

func (x *Exchange) request(ctx context.Context, r *Request, body []byte) (*http.Request, error) {
	var reader io.Reader = bytes.NewReader(body)
	if r.Upload && r.Service.Pace > 0 {
		reader = &pacedReader{Reader: reader, ctx: ctx, clock: x.Clock, rate: r.Service.Pace.BytesPerSecond()}
	}
	method := http.MethodPost
	if len(body) == 0 && !r.Service.Once {
		method, reader = http.MethodGet, nil
	}
	// The path depends on the request alone, because it is part of the digest of a claim.
	target := "http://" + string(x.Peer) + r.Service.Prefix + r.ID
	request, err := http.NewRequestWithContext(ctx, method, target, reader)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "make request", string(x.Peer))
	}
	// Without GetBody the transport never sends a request a second time by itself.
	request.GetBody = nil
	request.ContentLength = int64(len(body))
	request.Header.Set(answer.RequestHeader, r.ID)
	request.Header.Set(answer.AttemptHeader, answer.FormatAttempt(x.Attempt, r.Repeat))
	request.Header.Set(answer.SizeHeader, strconv.Itoa(int(r.Service.Answer)))
	request.Header.Set("User-Agent", "load")
	if r.Service.Once {
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

// deadlineMargin is the time that a caller waits beyond the request's time, to hear the refusal.
const deadlineMargin = 250 * time.Millisecond

// refused reads a refusal; one without Cuminfall-Run comes from an upstream, so its outcome is unknown.
func (r Result) refused(response *http.Response, text []byte) Result {
	r.Kind = report.Refused
	var f fault.Error
	if json.Unmarshal(text, &f) != nil || f.Code == "" {
		f.Code = fault.Upstream
		f.Message = string(text[:min(len(text), 200)])
	}
	r.Code = f.Code
	r.Message = f.Message
	r.Run = fault.Execution(response.Header.Get("Cuminfall-Run"))
	if r.Run != fault.NotExecuted {
		r.Run = fault.ExecutionUnknown
	}
	return r
}

// check compares an answer with the request; an answer that is not whole or not its own is a fault.
func (r Result) check(request *Request, body, text []byte) Result {
	head, err := answer.Parse(text)
	if err != nil {
		r.Kind = report.Cut
		r.Message = err.Error()
		return r
	}
	switch {
	case head.Request != request.ID:
		r.Kind = report.Foreign
		r.Message = "answer to " + head.Request
	case head.Workspace != request.Workspace.Name:
		r.Kind = report.Foreign
		r.Message = "ran for workspace " + string(head.Workspace)
	case head.Body != answer.Digest(body):
		r.Kind = report.Foreign
		r.Message = "ran with another body"
	default:
		r.Kind = report.Answered
		r.Run = ""
	}
	return r
}

// pacedReader delivers an upload at a rate, as a slow line would.
type pacedReader struct {
	io.Reader
	ctx   context.Context
	clock clock.Clock
	rate  float64 // bytes per second
}

// paceStep is the time between two pieces of a paced upload.
const paceStep = 20 * time.Millisecond

// Read implements io.Reader.
func (p *pacedReader) Read(b []byte) (int, error) {
	if err := clock.Sleep(p.ctx, p.clock, paceStep); err != nil {
		return 0, err
	}
	return p.Reader.Read(b[:min(len(b), max(1, int(p.rate*paceStep.Seconds())))])
}

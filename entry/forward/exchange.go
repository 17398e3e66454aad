package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
)

// Exchange is a request together with its response. It must be closed.
type Exchange struct {
	Status  int
	Header  http.Header   // header fields of the response, without hop-by-hop fields
	Length  int64         // length of the response's body in bytes; -1 if unknown
	Elapsed time.Duration // time waited for the response's head

	conn              *conn
	id                attemptID
	request           *Request
	ctx               context.Context
	stopCancelHook    func() bool
	response          *answer
	cause             atomic.Uint32 // the first Reason for which the exchange ended; 0 while it goes on
	uploadDone        chan struct{} // closed when the upload goroutine returns; nil without a streamed body
	requestSent       atomic.Bool   // the whole request was written
	finalWriteStarted atomic.Bool   // the last bytes of the request were written, or their write has begun
	identified        bool          // see Identified
	complete          bool          // the response was read to its end
	closed            bool
	withheld          bool // nothing was sent, because Request.BeforeSend did not allow it
}

var uploadBuffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

func (x *Exchange) onCancel() { x.terminate(Cancelled) }

// terminate closes the connection and records why the exchange ended, unless it ended before.
func (x *Exchange) terminate(reason Reason) {
	if !x.cause.CompareAndSwap(0, uint32(reason)) {
		return
	}
	if reason.Aborted() {
		// Bytes that are still in transit must not reach the upstream, because nobody waits for
		// the response.
		_ = x.conn.tcp.SetLinger(0)
	}
	x.conn.closeSocket()
	switch reason {
	case DeadlineExceeded:
		// The other connections may be unresponsive as well, so none of them is reused.
		x.conn.pool.closeIdle(-1)
	case Unresponsive:
		x.conn.pool.client.Stats.Silent.Add(1)
		x.conn.pool.closeIdle(-1)
	}
}

// Aborted reports whether this side ended the exchange. The upstream may then still run the
// request.
func (x *Exchange) Aborted() bool { return Reason(x.cause.Load()).Aborted() }

// failWith ends the exchange because of err and returns its failure. An earlier reason for the end
// takes precedence over err.
func (x *Exchange) failWith(err error) *Failure {
	x.terminate(Broken)
	f := x.failureFor(err)
	f.Incomplete = !x.finalWriteStarted.Load() && !x.conn.answering
	return f
}

func (x *Exchange) failureFor(err error) *Failure {
	peer, sent := x.request.Endpoint, x.conn.written.Load() > 0
	switch reason := Reason(x.cause.Load()); reason {
	case DeadlineExceeded:
		return newFailure(reason, sent, peer, fault.Deadline, "deadline exceeded before the response was complete")
	case Unresponsive:
		return newFailure(reason, sent, peer, fault.Upstream, "connection to the upstream made no progress")
	case Cancelled:
		return newFailure(reason, sent, peer, fault.Upstream, "client disconnected")
	case UploadFailed:
		return newFailure(reason, sent, peer, fault.Invalid, "request body could not be read to its end")
	case StartedLate:
		return newFailure(reason, sent, peer, fault.Stale, "the permission to send the request ended before it was sent")
	case BodyTooLarge:
		return newFailure(reason, sent, peer, fault.TooLarge, "request body exceeds the service's limit")
	default:
		return newFailure(Broken, sent, peer, fault.Upstream, err.Error())
	}
}

// send writes the request's head and its buffered body. For a streamed body it starts the upload
// instead.
func (x *Exchange) send() error {
	r := x.request
	x.conn.headBuf = x.wireFormat().appendHead(x.conn.headBuf[:0], r, x.id, max(r.Deadline.Sub(x.conn.now())-x.conn.pool.returnTime(), time.Millisecond))
	body := r.Body
	if r.Stream == nil && len(body) > 0 {
		if err := x.throttle(len(body), false); err != nil {
			return x.failWith(err)
		}
		if len(body) <= 16<<10 {
			x.conn.headBuf = append(x.conn.headBuf, body...)
			body = nil
		}
	}
	if !r.StartBy.IsZero() && !x.conn.now().Before(r.StartBy) {
		x.terminate(StartedLate)
		return x.failureFor(nil)
	}
	if r.BeforeSend != nil {
		if err := r.BeforeSend(); err != nil {
			x.withheld = true
			return newFailure(Withheld, false, r.Endpoint, fault.Unreachable, err.Error())
		}
	}
	x.finalWriteStarted.Store(r.Stream == nil && len(body) == 0)
	if _, err := x.conn.Write(x.conn.headBuf); err != nil {
		return x.failWith(err)
	}
	if r.Stream != nil {
		x.uploadDone = make(chan struct{})
		go x.upload()
		return nil
	}
	if len(body) > 0 {
		// An upstream may respond and close the connection before it has read a large body. A
		// failed write is therefore ignored here; reading the response shows what happened.
		x.finalWriteStarted.Store(true)
		if _, err := x.conn.Write(body); err != nil {
			return nil
		}
	}
	x.requestSent.Store(true)
	return nil
}

// upload sends the streamed body. It runs in its own goroutine while the response is read.
func (x *Exchange) upload() {
	defer close(x.uploadDone)
	buf := uploadBuffers.Get().(*[]byte)
	defer uploadBuffers.Put(buf)
	r, total := x.request, int64(0)
	// Bytes reserved for the size line before a chunk and for the line end after it.
	const sizeLineLen, lineEndLen = 8, 2
	payload := (*buf)[sizeLineLen : len(*buf)-lineEndLen]
	for {
		n, err := r.Stream.Read(payload)
		total += int64(n)
		if r.MaxBody > 0 && total > r.MaxBody {
			x.terminate(BodyTooLarge)
			return
		}
		if n > 0 {
			if x.throttle(n, false) != nil {
				return
			}
			if total == r.Length {
				x.finalWriteStarted.Store(true)
			}
			piece := payload[:n]
			if r.Length < 0 {
				piece = frameChunk(*buf, sizeLineLen, n)
			}
			if _, err := x.conn.Write(piece); err != nil {
				return
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			x.terminate(UploadFailed)
			return
		}
	}
	if r.Length >= 0 && total != r.Length {
		x.terminate(UploadFailed)
		return
	}
	if r.Length < 0 {
		x.finalWriteStarted.Store(true)
		if _, err := x.conn.Write([]byte("0\r\n\r\n")); err != nil {
			return
		}
	}
	x.requestSent.Store(true)
}

// frameChunk writes a chunk's size line before the n bytes at buf[payloadStart:] and a line end
// after them, and returns the whole chunk.
func frameChunk(buf []byte, payloadStart, n int) []byte {
	var scratch [8]byte
	sizeLine := append(strconv.AppendInt(scratch[:0], int64(n), 16), '\r', '\n')
	start := payloadStart - len(sizeLine)
	copy(buf[start:], sizeLine)
	copy(buf[payloadStart+n:], "\r\n")
	return buf[start : payloadStart+n+2]
}

// throttle waits until n more body bytes may be transferred. It returns an error once the deadline
// passes or the caller cancels.
func (x *Exchange) throttle(n int, fromUpstream bool) error {
	if x.request.Throttle == nil {
		return nil
	}
	piece := n
	for n > 0 {
		piece = min(piece, n)
		wait, maxBytes := x.request.Throttle(piece, fromUpstream)
		if wait <= 0 {
			n -= piece
			continue
		}
		if maxBytes > 0 {
			piece = min(piece, maxBytes)
		}
		wait = min(wait, x.request.Deadline.Sub(x.conn.now()))
		if err := clock.Sleep(x.ctx, x.conn.clock(), wait); err != nil {
			x.terminate(Cancelled)
			return err
		}
		if !x.conn.now().Before(x.request.Deadline) {
			x.terminate(DeadlineExceeded)
			return errors.New("deadline exceeded while the transfer was throttled")
		}
	}
	return nil
}

// readResponseHead reads heads until that of the final response, skipping interim responses.
func (x *Exchange) readResponseHead() error {
	start := x.conn.now()
	for range 8 {
		response, err := readAnswer(x.conn, x.request.Method)
		if err != nil {
			return x.failWith(err)
		}
		if containsStatusLine(response) {
			return x.failWith(errors.New("response's head contains the head of another response"))
		}
		if !x.isOwnResponse(response) {
			x.conn.suspect = true
			x.conn.pool.client.Stats.Crossed.Add(1)
			if !x.skipResponse(response) {
				return x.failWith(errors.New("response carries the ID of another request"))
			}
			continue
		}
		if x.request.OnHead != nil {
			x.request.OnHead(response.status, response.header)
		}
		if response.status >= 200 {
			x.Elapsed = x.conn.now().Sub(start)
			return x.acceptResponse(response)
		}
		if response.status == http.StatusSwitchingProtocols {
			break
		}
	}
	return x.failWith(errors.New("upstream sent no final response"))
}

// isOwnResponse reports whether a response may belong to this request. A final response without an ID may be a late copy
// of an earlier one. It is accepted only on a new connection, or where the upstream need not send IDs and has sent none.
func (x *Exchange) isOwnResponse(response *answer) bool {
	format := x.wireFormat()
	if !format.matchesRequest(response.header, x.request, x.id) {
		return false
	}
	if response.status < 200 || format.carriesID(response.header) || !x.conn.reused {
		return true
	}
	return format.RequestIDHeader == "" && !x.conn.echoes
}

// maxSkippedBytes is the largest body of a response to another request that is skipped.
const maxSkippedBytes = 128 << 10

// skipResponse reads a late duplicate response to an earlier request, which may precede the
// expected response on the same connection. It does so only where upstreams echo the caller's
// request ID, because other IDs do not identify such duplicates on every upstream.
func (x *Exchange) skipResponse(other *answer) bool {
	if x.wireFormat().RequestIDHeader == "" || other.length < 0 && !other.chunked {
		return false
	}
	x.conn.inBody = true
	err := other.discard(maxSkippedBytes)
	x.conn.inBody = false
	return err == nil
}

func (x *Exchange) wireFormat() *WireFormat { return x.conn.pool.client.wireFormat }

func (x *Exchange) acceptResponse(response *answer) error {
	x.response, x.Status, x.Length = response, response.status, response.length
	switch {
	case response.bodiless(x.request.Method):
		x.complete = true
	case x.Length < 0 && !response.chunked && !x.wireFormat().AllowUnframed:
		// Without a length or chunks, the end of the body looks the same as a crash of the
		// upstream.
		return x.failWith(errors.New("response has neither a Content-Length nor chunked encoding"))
	case x.Length == 0:
		x.complete = true
	}
	x.conn.readKeepAlive(response.header)
	hasID := x.wireFormat().carriesID(response.header)
	x.identified = hasID || !x.conn.reused && x.wireFormat().requestID(x.request) == ""
	x.conn.echoes = x.conn.echoes || hasID
	// A copy of this response could be taken for the next request's.
	x.conn.suspect = x.conn.suspect || !hasID && (x.wireFormat().RequestIDHeader != "" || PromisesNotExecuted(x.Status))
	RemoveHopByHop(response.header)
	delete(response.header, AttemptIDHeader)
	x.Header = response.header
	x.conn.inBody = true
	return nil
}

// Identified reports whether the response belongs to this request for certain: it carries the request's ID, or the
// upstream could not send that ID and it is the first response on its connection. Only then is a statement that the
// request did not run to be believed.
func (x *Exchange) Identified() bool { return x.identified }

// Complete reports whether the response was read to its end.
func (x *Exchange) Complete() bool { return x.complete }

// Unframed reports whether the response's body ends with its connection.
func (x *Exchange) Unframed() bool {
	return !x.complete && x.Length < 0 && !x.response.chunked
}

// Uploading reports whether part of the request's body has not been sent yet.
func (x *Exchange) Uploading() bool { return !x.requestSent.Load() }

// Read reads the response's body. Its error is io.EOF after the whole body, or a *Failure.
func (x *Exchange) Read(b []byte) (int, error) {
	if x.complete {
		return 0, io.EOF
	}
	n, err := x.response.body.Read(b)
	if n > 0 {
		if throttleErr := x.throttle(n, true); throttleErr != nil {
			return 0, x.failWith(throttleErr)
		}
	}
	if err == io.EOF {
		x.complete = true
		return n, io.EOF
	}
	if err != nil {
		return n, x.failWith(err)
	}
	return n, nil
}

// HasBuffered reports whether received bytes of the response are waiting in memory.
func (x *Exchange) HasBuffered() bool { return x.conn.reader.Buffered() > 0 }

// DiscardReceived drops the response's body if the whole of it has been received, so that the connection can be reused. It
// does not wait for an upstream that sends the rest late or never.
func (x *Exchange) DiscardReceived() {
	if x.Length > 0 && x.Length <= int64(x.conn.reader.Buffered()) {
		_, _ = io.Copy(io.Discard, x)
	}
}

// Trailer returns the trailer fields of a complete response.
func (x *Exchange) Trailer() http.Header { return x.response.trailer }

// Close ends the exchange, and returns after the last read of Request.Stream. It keeps the
// connection for reuse only if the whole request was sent and the whole response was read, so that
// a late response cannot reach another request.
func (x *Exchange) Close() {
	if x.closed {
		return
	}
	x.closed = true
	contextLive := x.stopCancelHook()
	reusable := contextLive && x.complete && x.requestSent.Load() && x.cause.Load() == 0 && !x.response.closes && !x.conn.suspect
	if !reusable {
		x.cause.CompareAndSwap(0, uint32(Broken))
		x.conn.closeSocket()
	}
	x.waitForUpload()
	x.conn.exchange = nil
	if reusable && x.conn.isUsable() {
		x.conn.pool.put(x.conn)
		return
	}
	x.conn.closeAndRelease()
}

// release ends an exchange that sent nothing, and keeps its connection for other requests.
func (x *Exchange) release() {
	x.closed = true
	contextLive := x.stopCancelHook()
	x.conn.exchange = nil
	if contextLive && x.cause.Load() == 0 && x.conn.isUsable() {
		x.conn.pool.putBack(x.conn)
		return
	}
	x.conn.closeAndRelease()
}

// waitForUpload waits until the upload goroutine has returned. It interrupts the upload unless the
// whole request was sent.
func (x *Exchange) waitForUpload() {
	if x.uploadDone == nil {
		return
	}
	select {
	case <-x.uploadDone:
		return
	default:
	}
	if !x.requestSent.Load() {
		x.request.Interrupt()
	}
	<-x.uploadDone
}

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

// Exchange is a request with the answer to it; it must be closed.
type Exchange struct {
	Status  int
	Header  http.Header // without hop-by-hop fields
	Length  int64       // of the answer's body; -1 when it is sent in chunks
	Elapsed time.Duration

	c        *conn
	id       attemptID
	r        *Request
	ctx      context.Context
	stop     func() bool
	answer   *http.Response
	cause    atomic.Uint32 // the first Reason
	uploaded chan struct{} // closed when the streamed body ends; nil without one
	sent     atomic.Bool   // the whole request was written
	ending   atomic.Bool   // the last bytes of the request were written, or are about to be
	complete bool          // the answer was read to its end
	closed   bool
}

var chunks = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

func (x *Exchange) cancel() { x.fail(Cancelled) }

// fail records why the exchange ends, if nothing else did before, and closes the connection.
func (x *Exchange) fail(reason Reason) {
	if !x.cause.CompareAndSwap(0, uint32(reason)) {
		return
	}
	if reason.Aborted() {
		// What is still on its way must not reach the upstream after nobody waits for it any more.
		_ = x.c.tcp.SetLinger(0)
	}
	x.c.shut()
	switch reason {
	case DeadlineExceeded:
		// The other connections may be silent as well, so none is reused.
		x.c.pool.dropIdle(-1)
	case Unresponsive:
		x.c.pool.client.Stats.Silent.Add(1)
		x.c.pool.dropIdle(-1)
	}
}

// Aborted reports whether this side ended the exchange, so that the upstream may still run the request.
func (x *Exchange) Aborted() bool { return Reason(x.cause.Load()).Aborted() }

// failed returns the error for an exchange that broke with err.
func (x *Exchange) failed(err error) *Failure {
	x.fail(Broken)
	f := x.failure(err)
	f.Incomplete = !x.ending.Load()
	return f
}

func (x *Exchange) failure(err error) *Failure {
	peer, sent := x.r.Endpoint, x.c.written.Load() > 0
	switch reason := Reason(x.cause.Load()); reason {
	case DeadlineExceeded:
		return failure(reason, sent, peer, fault.Deadline, "deadline passed before the answer's end")
	case Unresponsive:
		return failure(reason, sent, peer, fault.Upstream, "connection went silent")
	case Cancelled:
		return failure(reason, sent, peer, fault.Upstream, "caller went away")
	case UploadFailed:
		return failure(reason, sent, peer, fault.Invalid, "request body ended early")
	case BodyTooLarge:
		return failure(reason, sent, peer, fault.TooLarge, "request body is over the service's limit")
	default:
		return failure(Broken, sent, peer, fault.Upstream, err.Error())
	}
}

// send writes the head, and the body unless it is streamed.
func (x *Exchange) send() error {
	r := x.r
	x.c.out = x.dialect().appendHead(x.c.out[:0], r, x.id, r.Deadline.Sub(x.c.now()))
	whole := r.Body
	if r.Stream == nil && len(whole) > 0 {
		if err := x.pace(len(whole), false); err != nil {
			return x.failed(err)
		}
		if len(whole) <= 16<<10 {
			x.c.out = append(x.c.out, whole...)
			whole = nil
		}
	}
	x.ending.Store(r.Stream == nil && len(whole) == 0)
	if _, err := x.c.Write(x.c.out); err != nil {
		return x.failed(err)
	}
	if r.Stream != nil {
		x.uploaded = make(chan struct{})
		go x.upload()
		return nil
	}
	if len(whole) > 0 {
		// An upstream may answer and close before it has read a large body, so
		// a failed write leaves it to the read to tell what happened.
		x.ending.Store(true)
		if _, err := x.c.Write(whole); err != nil {
			return nil
		}
	}
	x.sent.Store(true)
	return nil
}

// upload streams the body; it runs beside the reading of the answer.
func (x *Exchange) upload() {
	defer close(x.uploaded)
	space := chunks.Get().(*[]byte)
	defer chunks.Put(space)
	r, total := x.r, int64(0)
	// Room for the chunk's size line before, and its line end after the bytes.
	const front, back = 8, 2
	room := (*space)[front : len(*space)-back]
	for {
		n, err := r.Stream.Read(room)
		total += int64(n)
		if r.MaxBody > 0 && total > r.MaxBody {
			x.fail(BodyTooLarge)
			return
		}
		if n > 0 {
			if x.pace(n, false) != nil {
				return
			}
			if total == r.Length {
				x.ending.Store(true)
			}
			piece := room[:n]
			if r.Length < 0 {
				piece = frame(*space, front, n)
			}
			if _, err := x.c.Write(piece); err != nil {
				return
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			x.fail(UploadFailed)
			return
		}
	}
	if r.Length >= 0 && total != r.Length {
		x.fail(UploadFailed)
		return
	}
	if r.Length < 0 {
		x.ending.Store(true)
		if _, err := x.c.Write([]byte("0\r\n\r\n")); err != nil {
			return
		}
	}
	x.sent.Store(true)
}

// frame puts a chunk's size line before the n bytes at space[front:] and a line end after them.
func frame(space []byte, front, n int) []byte {
	var line [8]byte
	size := append(strconv.AppendInt(line[:0], int64(n), 16), '\r', '\n')
	start := front - len(size)
	copy(space[start:], size)
	copy(space[front+n:], "\r\n")
	return space[start : front+n+2]
}

// pace waits until n body bytes may move.
func (x *Exchange) pace(n int, back bool) error {
	if x.r.Throttle == nil {
		return nil
	}
	piece := n
	for n > 0 {
		piece = min(piece, n)
		wait, most := x.r.Throttle(piece, back)
		if wait <= 0 {
			n -= piece
			continue
		}
		if most > 0 {
			piece = min(piece, most)
		}
		wait = min(wait, x.r.Deadline.Sub(x.c.now()))
		if err := clock.Sleep(x.ctx, x.c.clock(), wait); err != nil {
			x.fail(Cancelled)
			return err
		}
		if !x.c.now().Before(x.r.Deadline) {
			x.fail(DeadlineExceeded)
			return errors.New("deadline passed")
		}
	}
	return nil
}

// readHead reads the head of the final answer.
func (x *Exchange) readHead() error {
	began := x.c.now()
	about := &http.Request{Method: x.r.Method}
	for range 8 {
		answer, err := http.ReadResponse(x.c.in, about)
		if err != nil {
			return x.failed(err)
		}
		if !x.dialect().echoed(answer.Header, x.r, x.id) {
			x.c.pool.client.Stats.Crossed.Add(1)
			if !x.skip(answer) {
				return x.failed(errors.New("answer belongs to another request"))
			}
			continue
		}
		if answer.StatusCode >= 200 {
			x.Elapsed = x.c.now().Sub(began)
			return x.accept(answer)
		}
		if answer.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return x.failed(errors.New("upstream gave no final answer"))
}

// skipMost is the longest answer to another request that is read past.
const skipMost = 1 << 20

// skip reads past a late second answer to an earlier request, behind which the right one may follow. Only
// the caller's ids are known to tell such answers apart on every upstream.
func (x *Exchange) skip(foreign *http.Response) bool {
	chunked := len(foreign.TransferEncoding) > 0
	if x.dialect().RequestIDHeader == "" || foreign.ContentLength < 0 && !chunked {
		return false
	}
	x.c.inBody = true
	n, err := io.Copy(io.Discard, io.LimitReader(foreign.Body, skipMost))
	x.c.inBody = false
	return err == nil && n < skipMost
}

func (x *Exchange) dialect() *WireFormat { return x.c.pool.client.dialect }

func (x *Exchange) accept(answer *http.Response) error {
	x.answer, x.Status, x.Length = answer, answer.StatusCode, answer.ContentLength
	chunked := len(answer.TransferEncoding) > 0
	bodiless := x.r.Method == http.MethodHead || x.Status == http.StatusNoContent || x.Status == http.StatusNotModified
	switch {
	case bodiless:
		x.complete = true
	case x.Length < 0 && !chunked && !x.dialect().AllowUnframed:
		// Its end would look the same when the upstream dies.
		return x.failed(errors.New("answer has neither a length nor chunks"))
	case x.Length == 0:
		x.complete = true
	}
	x.c.noteKeep(answer.Header)
	StripHop(answer.Header)
	delete(answer.Header, IDHeader)
	x.Header = answer.Header
	x.c.inBody = true
	return nil
}

// Complete reports whether the answer was read to its end.
func (x *Exchange) Complete() bool { return x.complete }

// Uploading reports whether the caller's body has not been sent whole.
func (x *Exchange) Uploading() bool { return !x.sent.Load() }

// Read reads the answer's body; its error is io.EOF after the whole body, or a *Failure.
func (x *Exchange) Read(b []byte) (int, error) {
	if x.complete {
		return 0, io.EOF
	}
	n, err := x.answer.Body.Read(b)
	if n > 0 {
		if paceErr := x.pace(n, true); paceErr != nil {
			return 0, x.failed(paceErr)
		}
	}
	if err == io.EOF {
		x.complete = true
		return n, io.EOF
	}
	if err != nil {
		return n, x.failed(err)
	}
	return n, nil
}

// HasBuffered reports whether more of the answer has already been received.
func (x *Exchange) HasBuffered() bool { return x.c.in.Buffered() > 0 }

// Discard reads up to most bytes of the rest of the answer and throws them away.
func (x *Exchange) Discard(most int64) {
	_, _ = io.Copy(io.Discard, io.LimitReader(x, most))
}

// Trailer returns the trailer fields of a complete answer.
func (x *Exchange) Trailer() http.Header { return x.answer.Trailer }

// Close ends the exchange. Its connection is kept only when the whole request
// was sent and the whole answer was read, so a late answer has no reader. It
// returns after the last read of Stream.
func (x *Exchange) Close() {
	if x.closed {
		return
	}
	x.closed = true
	live := x.stop()
	reusable := live && x.complete && x.sent.Load() && x.cause.Load() == 0 && !x.answer.Close
	if !reusable {
		x.cause.CompareAndSwap(0, uint32(Broken))
		x.c.shut()
	}
	x.join()
	x.c.x = nil
	if reusable && x.c.sound() {
		x.c.pool.put(x.c)
		return
	}
	x.c.discard()
}

// join waits for the upload's end; its connection is closed unless the whole request was sent.
func (x *Exchange) join() {
	if x.uploaded == nil {
		return
	}
	select {
	case <-x.uploaded:
		return
	default:
	}
	if !x.sent.Load() {
		x.r.Interrupt()
	}
	<-x.uploaded
}

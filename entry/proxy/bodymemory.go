package proxy

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

const (
	// bodyMemory is the memory, in bytes, of all kept bodies together. It holds the largest body.
	bodyMemory = defaultMaxBody + 8<<20
	// bodyBlockSize is the size of a body's blocks in bytes.
	bodyBlockSize = 64 << 10
	// bodyRetryAfter is sent while there is no memory for a body that must be kept.
	bodyRetryAfter = 500 * time.Millisecond
)

// errNotKept ends the reading of a body that must be kept and for which there is no memory.
var errNotKept = errors.New("no memory is free for the request body")

var bodyBlocks = sync.Pool{New: func() any { return new([bodyBlockSize]byte) }}

// bodyBuffer is the part of a caller's body that is kept. Its blocks are taken as bytes arrive.
type bodyBuffer struct {
	budget *bufferBudget
	blocks []*[bodyBlockSize]byte
	size   int
}

// add appends b, or returns false and leaves the buffer's content as it is if the budget is used up.
func (k *bodyBuffer) add(b []byte) bool {
	for len(k.blocks)*bodyBlockSize-k.size < len(b) {
		if !k.budget.take(bodyBlockSize) {
			return false
		}
		k.blocks = append(k.blocks, bodyBlocks.Get().(*[bodyBlockSize]byte))
	}
	for len(b) > 0 {
		n := copy(k.blocks[k.size/bodyBlockSize][k.size%bodyBlockSize:], b)
		k.size += n
		b = b[n:]
	}
	return true
}

// readAt copies bytes from an offset before the buffer's end.
func (k *bodyBuffer) readAt(b []byte, offset int) int {
	left := k.size - offset
	return copy(b, k.blocks[offset/bodyBlockSize][offset%bodyBlockSize:][:min(left, bodyBlockSize-offset%bodyBlockSize)])
}

// WriteTo implements io.WriterTo.
func (k *bodyBuffer) WriteTo(w io.Writer) (written int64, err error) {
	for left := k.size; left > 0 && err == nil; left = k.size - int(written) {
		var n int
		n, err = w.Write(k.blocks[written/bodyBlockSize][:min(left, bodyBlockSize)])
		written += int64(n)
	}
	return written, err
}

// release gives the blocks back.
func (k *bodyBuffer) release() {
	for _, block := range k.blocks {
		bodyBlocks.Put(block)
	}
	k.budget.give(int64(len(k.blocks)) * bodyBlockSize)
	k.blocks, k.size = nil, 0
}

// registerBodyGauge registers the memory of kept bodies.
func (p *Proxy) registerBodyGauge() {
	metrics.NewRegisteredFunctionalGauge("front.bodies.bytes", p.opts.Metrics, func() int64 {
		return bodyMemory - p.bodyMemory.free.Load()
	})
}

// releaseBody gives the memory of the request's body back.
func (c *call) releaseBody() {
	if c.upload != nil {
		c.upload.kept.release()
	}
}

// refuseBody refuses a request whose body must be kept and for which there is no memory.
func (c *call) refuseBody() *refusal {
	c.proxy.metrics.bodiesRefused.Inc(1)
	// After a body beyond its limit the server does not read on before the refusal, and lets the caller read that before it
	// resets the connection.
	_, _ = http.MaxBytesReader(c.w, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
	return &refusal{status: http.StatusServiceUnavailable, reason: errNotKept.Error(), retryAfter: bodyRetryAfter,
		details: logrus.Fields{"received": c.upload.received, "size": c.r.ContentLength}}
}

// endUploadAttempt ends the use of the upload by an attempt.
func (c *call) endUploadAttempt() {
	c.upload.restoreDeadline()
	if c.upload.isKept() {
		return
	}
	c.proxy.metrics.bodiesNotKept.Inc(1)
	fields := c.logFields("unkept")
	fields["why"], fields["received"], fields["size"] = errNotKept.Error(), c.upload.received, c.r.ContentLength
	c.proxy.opts.Log.Event(logrus.InfoLevel, "unkept", fields, "upload passed on without being kept, so it gets no further attempt")
}

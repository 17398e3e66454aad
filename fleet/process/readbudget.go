package process

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrReadBudget is the error of a read beyond a ReadBudget.
var ErrReadBudget = errors.New("too many bytes of messages are being read at the same time")

// ReadBudget limits the bytes of the messages that are read at the same time, so that bytes without end do not use up the
// memory. Its zero value permits none.
type ReadBudget struct {
	Max  int64
	held atomic.Int64
}

// NewReader returns a reader of a message that counts against the budget until it is closed. Length is what the message says
// of itself, in bytes, and negative if it says nothing. A message that is longer than the whole budget is not read at all.
func (b *ReadBudget) NewReader(body io.ReadCloser, length int64) io.ReadCloser {
	return &budgetReader{ReadCloser: body, budget: b, tooLong: length > b.Max}
}

// Held returns the bytes that count against the budget.
func (b *ReadBudget) Held() int64 { return b.held.Load() }

// Transport returns a CheckedTransport for calls whose replies count against the budget until their bodies are closed.
func (b *ReadBudget) Transport(inner http.RoundTripper) http.RoundTripper {
	return &budgetTransport{CheckedTransport(inner), b}
}

type budgetReader struct {
	io.ReadCloser
	budget  *ReadBudget
	tooLong bool
	taken   int64
}

// Read implements io.Reader.
func (r *budgetReader) Read(p []byte) (int, error) {
	if r.tooLong {
		return 0, ErrReadBudget
	}
	n, err := r.ReadCloser.Read(p)
	r.taken += int64(n)
	if r.budget.held.Add(int64(n)) > r.budget.Max {
		return 0, ErrReadBudget
	}
	return n, err
}

// Close implements io.Closer.
func (r *budgetReader) Close() error {
	r.budget.held.Add(-r.taken)
	r.taken = 0
	return r.ReadCloser.Close()
}

type budgetTransport struct {
	http.RoundTripper
	budget *ReadBudget
}

// RoundTrip implements http.RoundTripper.
func (t *budgetTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(r)
	if err == nil {
		response.Body = t.budget.NewReader(response.Body, response.ContentLength)
	}
	return response, err
}

// MaxReplyHeaderBytes limits the head of a reply of another process of the fleet.
const MaxReplyHeaderBytes = 64 << 10

// MaxReplyBytes limits the replies of other processes of the fleet that one client reads at the same time. The longest reply
// is the state of the registry or a snapshot, which takes twice the bytes of the operators' configuration.
const MaxReplyBytes = 16 << 20

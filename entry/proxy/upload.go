package proxy

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
)

// upload is a caller's body that is streamed to an upstream while it arrives; on a slow link, receiving it completely
// before sending it would double the time. The received part is buffered, so that a request that did not run can be
// sent again. Only one attempt reads it at a time.
type upload struct {
	source     io.Reader
	controller *http.ResponseController
	deadline   time.Time // by which the caller must have sent the body
	buffered   []byte    // the part received so far
	readErr    error     // of the last read from source; io.EOF if the body is complete
	// interrupted reports that a read was ended by interrupt, which also ends the context of the request.
	interrupted bool
}

// newReader returns a reader of the body from its start, for the next attempt.
func (u *upload) newReader() io.Reader {
	u.restoreDeadline()
	return &uploadReader{upload: u}
}

// interrupt makes a pending read from the caller fail. The next attempt continues reading from the same position.
func (u *upload) interrupt() {
	u.interrupted = true
	_ = u.controller.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is already closed
}

// restoreDeadline undoes an interrupt. After the end of the body the server reads on to detect a disconnect, which must not
// end at the deadline.
func (u *upload) restoreDeadline() {
	deadline := u.deadline
	if u.readErr == io.EOF {
		deadline = time.Time{}
	}
	_ = u.controller.SetReadDeadline(deadline) // fails only if the connection is already closed
}

// timedOut reports whether the caller sent the body too slowly, as opposed to ending it early.
func (u *upload) timedOut() bool { return errors.Is(u.readErr, os.ErrDeadlineExceeded) }

// uploadReader reads an upload from its start: first the buffered part, then the rest as it arrives.
type uploadReader struct {
	*upload
	offset int
}

// Read implements io.Reader.
func (r *uploadReader) Read(b []byte) (int, error) {
	u := r.upload
	if r.offset < len(u.buffered) {
		n := copy(b, u.buffered[r.offset:])
		r.offset += n
		return n, nil
	}
	if u.readErr == io.EOF {
		return 0, io.EOF
	}
	n, err := u.source.Read(b)
	u.buffered = append(u.buffered, b[:n]...)
	u.readErr = err
	r.offset += n
	return n, err
}

package proxy

import (
	"crypto/sha256"
	"hash"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
)

// upload is a caller's body that is streamed to an upstream while it arrives; on a slow link, receiving it completely
// before sending it would double the time. The received part is kept, so that a request that did not run can be
// sent again; once there is no memory for more, the rest is only passed on. Only one attempt reads it at a time.
type upload struct {
	source     io.Reader
	controller *http.ResponseController
	deadline   time.Time // by which the caller must have sent the body
	kept       bodyBuffer
	received   int       // bytes received so far
	digest     hash.Hash // of these; nil while all of them are kept
	readErr    error     // of the last read from source; io.EOF if the body is complete
	// interrupted reports that a read was ended by interrupt, which also ends the context of the request.
	interrupted bool
}

// receive reads the rest of the body after its start.
func (u *upload) receive(start []byte) error {
	u.keep(start)
	_, err := io.Copy(io.Discard, keptReader{&uploadReader{upload: u, offset: len(start)}})
	return err
}

// newReader returns a reader of the body from its start, for the next attempt.
func (u *upload) newReader() *uploadReader {
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

// isKept reports whether all that was received is kept, so that the upload can be sent again.
func (u *upload) isKept() bool { return u.digest == nil }

// keep appends received bytes to the kept ones, or gives up all of them if there is no memory.
func (u *upload) keep(b []byte) {
	u.received += len(b)
	if u.digest == nil {
		if u.kept.add(b) {
			return
		}
		u.digest = sha256.New()
		_, _ = u.kept.WriteTo(u.digest) // a hash does not fail
		u.kept.release()
	}
	_, _ = u.digest.Write(b)
}

// sum returns the SHA-256 digest of the received part.
func (u *upload) sum() []byte {
	digest := u.digest
	if digest == nil {
		digest = sha256.New()
		_, _ = u.kept.WriteTo(digest) // a hash does not fail
	}
	return digest.Sum(nil)
}

// uploadReader reads an upload from its start: first the kept part, then the rest as it arrives.
type uploadReader struct {
	*upload
	offset int
}

// Read implements io.Reader.
func (r *uploadReader) Read(b []byte) (int, error) {
	u := r.upload
	if r.offset < u.kept.size {
		n := u.kept.readAt(b, r.offset)
		r.offset += n
		return n, nil
	}
	if u.readErr == io.EOF {
		return 0, io.EOF
	}
	n, err := u.source.Read(b)
	u.keep(b[:n])
	u.readErr = err
	r.offset += n
	return n, err
}

// keptReader is an uploadReader that fails with errNotKept once the upload is not kept any more.
type keptReader struct{ *uploadReader }

// Read implements io.Reader.
func (r keptReader) Read(b []byte) (int, error) {
	if r.isKept() {
		if n, err := r.uploadReader.Read(b); r.isKept() {
			return n, err
		}
	}
	return 0, errNotKept
}

package proxy

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
)

// upload is a caller's body that goes to an upstream while it arrives: on a slow link, receiving it whole first would
// take as long again as sending it on. What arrived is kept, so that a request that did not run can be sent again.
// One attempt reads it at a time.
type upload struct {
	from     io.Reader
	control  *http.ResponseController
	deadline time.Time // of the caller's sending
	kept     []byte
	err      error // that ended the arriving, io.EOF included
}

// begin returns the body from its start, for one more attempt.
func (u *upload) begin() io.Reader {
	u.restore()
	return &uploadReader{upload: u}
}

// interrupt makes a pending read fail; the next attempt goes on where it was.
func (u *upload) interrupt() {
	_ = u.control.SetReadDeadline(time.Unix(1, 0)) // an error would mean a connection that is closed already
}

// restore undoes an interruption.
func (u *upload) restore() { _ = u.control.SetReadDeadline(u.deadline) }

// late reports whether the caller sent too slowly, and not too little.
func (u *upload) late() bool { return errors.Is(u.err, os.ErrDeadlineExceeded) }

type uploadReader struct {
	*upload
	at int
}

// Read implements io.Reader.
func (r *uploadReader) Read(b []byte) (int, error) {
	u := r.upload
	if r.at < len(u.kept) {
		n := copy(b, u.kept[r.at:])
		r.at += n
		return n, nil
	}
	if u.err == io.EOF {
		return 0, io.EOF
	}
	n, err := u.from.Read(b)
	u.kept = append(u.kept, b[:n]...)
	u.err = err
	r.at += n
	return n, err
}

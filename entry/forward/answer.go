package forward

import (
	"io"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// answer is the head of an upstream's response, and the framing of its body.
type answer struct {
	status  int
	reason  string
	header  http.Header
	length  int64 // of the body in bytes; -1 if the head does not say it
	chunked bool
	closes  bool // the connection ends with the response
	body    io.Reader
	trailer http.Header // after the end of the body
}

// readAnswer reads a response's head to a request with a method. It accepts only what has one meaning in HTTP/1.1 (RFC 9112):
// a head that another reader would take for another response, or whose fields it would cut at other places, is that of an
// upstream in trouble.
func readAnswer(c *conn, method string) (*answer, error) {
	in := textproto.NewReader(c.reader)
	line, err := in.ReadLine()
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	a := &answer{}
	atLeast11, err := a.parseStatusLine(line)
	if err != nil {
		return nil, err
	}
	fields, err := readFields(in)
	if err != nil {
		return nil, err
	}
	a.header = fields
	if err := a.parseFraming(method, atLeast11); err != nil {
		return nil, err
	}
	switch {
	case a.bodiless(method) || a.length == 0:
		a.body = http.NoBody
	case a.chunked:
		a.body = &chunkedBody{answer: a, conn: c, chunks: httputil.NewChunkedReader(c.reader)}
	case a.length > 0:
		a.body = &lengthBody{in: c.reader, left: a.length}
	default:
		a.body = c.reader
	}
	return a, nil
}

// parseStatusLine parses the first line of a head and reports whether its version is at least HTTP/1.1.
func (a *answer) parseStatusLine(line string) (atLeast11 bool, err error) {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	const minVersion, maxVersion = "HTTP/1.0", "HTTP/1.9"
	if len(version) != len(minVersion) || version < minVersion || version > maxVersion {
		return false, errors.Errorf("response has the protocol version %q, expected HTTP/1.0 or HTTP/1.1", version)
	}
	const minStatus, maxStatus = "100", "599"
	if len(code) != len(minStatus) || strings.Trim(code, "0123456789") != "" || code < minStatus || code > maxStatus {
		return false, errors.Errorf("response has the status %q, expected %s to %s", code, minStatus, maxStatus)
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return false, errors.Errorf("response's reason %q has control characters", reason)
	}
	a.status, _ = strconv.Atoi(code) // three digits
	a.reason = reason
	return version > minVersion, nil
}

// readFields reads the fields of a head or trailer up to the empty line.
func readFields(in *textproto.Reader) (http.Header, error) {
	fields, err := in.ReadMIMEHeader()
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	for name, values := range fields {
		if !httpguts.ValidHeaderFieldName(name) { // textproto accepts blanks
			return nil, errors.Errorf("response has a field named %q, expected a token", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return nil, errors.Errorf("response's field %s has control characters in its value %q", name, v)
			}
		}
	}
	return http.Header(fields), nil
}

// parseFraming finds out where the body ends.
func (a *answer) parseFraming(method string, atLeast11 bool) error {
	codings, lengths := a.header["Transfer-Encoding"], a.header["Content-Length"]
	delete(a.header, "Transfer-Encoding")
	a.closes = httpguts.HeaderValuesContainsToken(a.header["Connection"], "close") ||
		!atLeast11 && !httpguts.HeaderValuesContainsToken(a.header["Connection"], "keep-alive")
	if len(codings) > 0 {
		if !atLeast11 || len(lengths) > 0 || len(codings) > 1 || !strings.EqualFold(codings[0], "chunked") {
			return errors.Errorf("response has the transfer coding %q beside %d lengths, expected chunked in HTTP/1.1 and no length", strings.Join(codings, ", "), len(lengths))
		}
		a.chunked = true
	}
	a.length = -1
	for _, value := range lengths {
		for _, text := range strings.Split(value, ",") {
			n, err := strconv.ParseUint(textproto.TrimString(text), 10, 63)
			if err != nil || a.length >= 0 && int64(n) != a.length {
				return errors.Errorf("response has the length %q, expected one number", strings.Join(lengths, ", "))
			}
			a.length = int64(n)
		}
	}
	if a.length >= 0 {
		a.header["Content-Length"] = []string{strconv.FormatInt(a.length, 10)}
	}
	switch {
	case a.bodiless(method):
		a.chunked = false
		if method != http.MethodHead {
			a.length = 0
		}
	case a.length < 0 && !a.chunked:
		a.closes = true
	}
	return nil
}

// bodiless reports whether the response to a request with a method has no body, whatever its fields say.
func (a *answer) bodiless(method string) bool {
	return a.status < 200 || a.status == http.StatusNoContent || a.status == http.StatusNotModified || method == http.MethodHead
}

// unexpectedEOF returns io.ErrUnexpectedEOF in place of io.EOF, where a response has not ended.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// lengthBody is a body of a known length.
type lengthBody struct {
	in   io.Reader
	left int64
}

// Read implements io.Reader. It returns io.EOF with the last bytes.
func (b *lengthBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.in.Read(p[:min(int64(len(p)), b.left)])
	if b.left -= int64(n); b.left == 0 {
		return n, io.EOF
	}
	return n, unexpectedEOF(err)
}

// chunkedBody is a body in chunks, with the trailer after them.
type chunkedBody struct {
	answer *answer
	conn   *conn
	chunks io.Reader
	ended  bool
}

// maxTrailerBytes limits a trailer. It is kept in memory, and a faulty upstream may send one without end.
const maxTrailerBytes = 4 << 10

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := b.readTrailer(); err != nil {
		return n, err
	}
	b.ended = true
	return n, io.EOF
}

func (b *chunkedBody) readTrailer() error {
	defer b.conn.beginTrailer(maxTrailerBytes)()
	trailer, err := readFields(textproto.NewReader(b.conn.reader))
	if err != nil {
		return err
	}
	for _, name := range []string{"Content-Length", "Transfer-Encoding", "Trailer"} {
		if trailer[name] != nil {
			return errors.Errorf("response's trailer has the field %s", name)
		}
	}
	b.answer.trailer = trailer
	return nil
}

// discard reads a body of less than maxBytes that is not delivered.
func (a *answer) discard(maxBytes int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(a.body, maxBytes))
	if err == nil && n >= maxBytes {
		err = errors.Errorf("the body has %d bytes or more", maxBytes)
	}
	return err
}

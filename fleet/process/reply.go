package process

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// CheckedTransport returns a transport that fails for replies which another reader would take for other ones, or whose end
// cannot be told from a failure of the connection. Processes of the fleet send none; one at the address of a process that is
// gone may.
func CheckedTransport(inner http.RoundTripper) http.RoundTripper { return checkedTransport{inner} }

type checkedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkReply(response); err != nil {
		_ = response.Body.Close() // the reply is dropped
		return nil, errors.Wrapf(err, "reply of %s", r.URL.Host)
	}
	return response, nil
}

func checkReply(r *http.Response) error {
	const minStatus, maxStatus = 100, 599
	if r.StatusCode < minStatus || r.StatusCode > maxStatus {
		return errors.Errorf("status is %d, expected %d to %d", r.StatusCode, minStatus, maxStatus)
	}
	for name := range r.Header {
		if strings.ContainsAny(name, " \t") { // net/http rejects all other names that are no tokens
			return errors.Errorf("field name %q has a blank", name)
		}
	}
	// A reply that is compressed has a checksum at its end.
	if r.ContentLength < 0 && len(r.TransferEncoding) == 0 && !r.Uncompressed {
		return errors.New("reply has neither a length nor chunks, so that its end cannot be told from a failure")
	}
	return nil
}

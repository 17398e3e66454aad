package forward

import (
	"hash/maphash"
	"net/http"
	"strings"
)

// PromisesNotExecuted reports whether a response of the given status tells a caller that its request did not run.
func PromisesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

var idSeed = maphash.MakeSeed()

// carriedIDs holds the hashes of the last request IDs that were sent on a connection.
type carriedIDs struct {
	hashes [16]uint64
	next   int
}

func (c *carriedIDs) add(id string) {
	if id == "" {
		return
	}
	c.hashes[c.next%len(c.hashes)] = maphash.String(idSeed, id)
	c.next++
}

func (c *carriedIDs) contains(id string) bool {
	hash := maphash.String(idSeed, id)
	for i := range min(c.next, len(c.hashes)) {
		if c.hashes[i] == hash {
			return true
		}
	}
	return false
}

// identifies reports whether the response to r on this reused connection can be told from late copies of earlier ones.
func (c *conn) identifies(r *Request) bool {
	if r.NeedsIdentity && !c.echoes {
		return false
	}
	id := c.pool.client.wireFormat.requestID(r)
	return id == "" || !c.carried.contains(id)
}

// containsStatusLine reports whether the reason phrase or the value of a header field contains the status line of a
// response, as where an upstream writes one response into the head of another.
func containsStatusLine(r *answer) bool {
	if hasStatusLine(r.reason) {
		return true
	}
	for _, values := range r.header {
		for _, v := range values {
			if hasStatusLine(v) {
				return true
			}
		}
	}
	return false
}

func hasStatusLine(text string) bool {
	const protocol, minLength = "HTTP/1.", len("HTTP/1.1 200")
	for {
		i := strings.Index(text, protocol)
		if i < 0 || len(text)-i < minLength {
			return false
		}
		text = text[i+len(protocol):]
		if text[1] == ' ' && strings.Trim(text[2:5], "0123456789") == "" {
			return true
		}
	}
}

package gateway

import (
	"crypto/sha256"
	"net/url"
	"strings"
	"time"

	"cuminfall.example/entry/forward"
	"cuminfall.example/entry/router"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// workspaceKey is a workspace's API key as a request carries it.
type workspaceKey struct {
	id   ident.KeyID
	hash router.KeyHash
}

// idempotencyKeyHeader is the header field with the caller's idempotency key.
const idempotencyKeyHeader = "Idempotency-Key"

// maxIdempotencyKeyLen is the maximum length of idempotency keys in bytes. Control stores them for
// a day.
const maxIdempotencyKeyLen = 256

// parse reads and checks the parts of the request that the router needs.
func (c *call) parse() (workspaceKey, *fault.Error) {
	if f := c.parsePath(); f != nil {
		return workspaceKey{}, f
	}
	if f := c.parseTimeout(); f != nil {
		return workspaceKey{}, f
	}
	idempotencyKeys := c.r.Header[idempotencyKeyHeader]
	if len(idempotencyKeys) > 1 || len(idempotencyKeys) == 1 && len(idempotencyKeys[0]) > maxIdempotencyKeyLen {
		return workspaceKey{}, notExecuted(fault.Invalid, "parse", "at most one %s of up to %d bytes is allowed", idempotencyKeyHeader, maxIdempotencyKeyLen)
	}
	if len(idempotencyKeys) == 1 {
		c.idempotencyKey = idempotencyKeys[0]
	}
	return c.parseKey()
}

// parsePath rejects paths with dot segments. An upstream could resolve them to a path of another
// service than the one that the route was chosen for.
func (c *call) parsePath() *fault.Error {
	path := c.r.URL.Path
	if path == "" || path[0] != '/' {
		return notExecuted(fault.Invalid, "parse", "request target has no path")
	}
	if !strings.Contains(path, "/.") {
		return nil
	}
	for _, segment := range strings.Split(path, "/") {
		if segment == "." || segment == ".." {
			return notExecuted(fault.Invalid, "parse", "request path must not have dot segments")
		}
	}
	return nil
}

func (c *call) parseTimeout() *fault.Error {
	values := c.r.Header[forward.TimeoutHeader]
	if len(values) != 1 {
		return notExecuted(fault.Deadline, "parse", "%s must be given once", forward.TimeoutHeader)
	}
	timeout, err := time.ParseDuration(values[0])
	if err != nil || timeout <= 0 {
		return notExecuted(fault.Deadline, "parse", "%s must be a positive duration such as 2s", forward.TimeoutHeader)
	}
	c.deadline = c.startedAt.Add(timeout)
	return nil
}

// parseKey reads the workspace key from the Authorization field, which is never forwarded. It
// rejects a request that has the text of the key anywhere else.
func (c *call) parseKey() (workspaceKey, *fault.Error) {
	values := c.r.Header["Authorization"]
	if len(values) != 1 {
		return workspaceKey{}, notExecuted(fault.InvalidKey, "parse", "exactly one Authorization header is required")
	}
	// Authentication schemes of HTTP are case-insensitive.
	scheme, keyText, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	keyText = strings.TrimLeft(keyText, " ")
	idAndSecret, ok := strings.CutPrefix(keyText, "ck_")
	separator := strings.LastIndexByte(idAndSecret, '_')
	if !strings.EqualFold(scheme, "Bearer") || !ok || separator <= 0 || separator == len(idAndSecret)-1 {
		return workspaceKey{}, notExecuted(fault.InvalidKey, "parse", "Authorization must have the form Bearer ck_ID_SECRET")
	}
	secret := idAndSecret[separator+1:]
	if c.exposesKey(keyText, secret) {
		return workspaceKey{}, notExecuted(fault.InvalidKey, "parse", "key must not appear outside the Authorization header")
	}
	return workspaceKey{id: ident.KeyID(idAndSecret[:separator]), hash: sha256.Sum256([]byte(secret))}, nil
}

// minSecretLen is the length in bytes from which a secret is searched for on its own. A shorter one
// could occur by chance, so the whole key is searched for.
const minSecretLen = 8

// exposesKey reports whether the key's text is in the request's URL, host or another header field.
func (c *call) exposesKey(keyText, secret string) bool {
	if len(secret) < minSecretLen {
		secret = keyText
	}
	r := c.r
	if containsFold(r.RequestURI, secret) || containsFold(r.Host, secret) {
		return true
	}
	if strings.IndexByte(r.RequestURI, '%') >= 0 {
		decoded := r.RequestURI
		// An upstream may decode more than once.
		for range 3 {
			next, err := url.PathUnescape(decoded)
			if err != nil || next == decoded {
				break
			}
			decoded = next
			if containsFold(decoded, secret) {
				return true
			}
		}
	}
	for name, values := range r.Header {
		if name == "Authorization" {
			continue
		}
		if containsFold(name, secret) {
			return true
		}
		for _, v := range values {
			if containsFold(v, secret) {
				return true
			}
		}
	}
	return false
}

// containsFold reports whether part occurs in s, ignoring the case of ASCII letters.
func containsFold(s, part string) bool {
	for i := 0; i+len(part) <= len(s); i++ {
		if lowerASCII(s[i]) == lowerASCII(part[0]) && strings.EqualFold(s[i:i+len(part)], part) {
			return true
		}
	}
	return false
}

func lowerASCII(b byte) byte {
	if b >= 'A' && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}

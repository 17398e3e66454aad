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

// credential is a workspace key as a request carries it.
type credential struct {
	id   ident.KeyID
	hash router.KeyHash
}

// onceHeader carries the caller's idempotency key.
const onceHeader = "Idempotency-Key"

// longestOnce bounds idempotency keys, which control stores for a day.
const longestOnce = 256

// parse checks the fields that the router's decision needs.
func (c *call) parse() (credential, *fault.Error) {
	if f := c.parsePath(); f != nil {
		return credential{}, f
	}
	if f := c.parseTimeout(); f != nil {
		return credential{}, f
	}
	once := c.r.Header[onceHeader]
	if len(once) > 1 || len(once) == 1 && len(once[0]) > longestOnce {
		return credential{}, notRun(fault.Invalid, "parse", "more than one %s, or one over %d bytes", onceHeader, longestOnce)
	}
	if len(once) == 1 {
		c.once = once[0]
	}
	return c.parseKey()
}

// parsePath refuses dot segments, behind which an upstream could see another
// service's path than the one that the route was chosen by.
func (c *call) parsePath() *fault.Error {
	path := c.r.URL.Path
	if path == "" || path[0] != '/' {
		return notRun(fault.Invalid, "parse", "request target has no path")
	}
	if !strings.Contains(path, "/.") {
		return nil
	}
	for _, segment := range strings.Split(path, "/") {
		if segment == "." || segment == ".." {
			return notRun(fault.Invalid, "parse", "path has dot segments")
		}
	}
	return nil
}

func (c *call) parseTimeout() *fault.Error {
	values := c.r.Header[forward.TimeoutHeader]
	if len(values) != 1 {
		return notRun(fault.Deadline, "parse", "%s must be given once", forward.TimeoutHeader)
	}
	timeout, err := time.ParseDuration(values[0])
	if err != nil || timeout <= 0 {
		return notRun(fault.Deadline, "parse", "%s must be a positive duration such as 2s", forward.TimeoutHeader)
	}
	c.deadline = c.began.Add(timeout)
	return nil
}

// parseKey reads the key. The text of the key anywhere but in the one
// Authorization field, which is never passed on, is refused.
func (c *call) parseKey() (credential, *fault.Error) {
	values := c.r.Header["Authorization"]
	if len(values) != 1 {
		return credential{}, notRun(fault.Key, "parse", "exactly one Authorization header is required")
	}
	// HTTP's authentication schemes are case-insensitive.
	scheme, text, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	text = strings.TrimLeft(text, " ")
	rest, ok := strings.CutPrefix(text, "ck_")
	cut := strings.LastIndexByte(rest, '_')
	if !strings.EqualFold(scheme, "Bearer") || !ok || cut <= 0 || cut == len(rest)-1 {
		return credential{}, notRun(fault.Key, "parse", "Authorization is not of the form Bearer ck_ID_SECRET")
	}
	secret := rest[cut+1:]
	if c.leaks(text, secret) {
		return credential{}, notRun(fault.Key, "parse", "the key may appear in the Authorization header only")
	}
	return credential{id: ident.KeyID(rest[:cut]), hash: sha256.Sum256([]byte(secret))}, nil
}

// shortSecret is the length below which a secret alone could appear by chance, so that the whole key is looked for.
const shortSecret = 8

// leaks reports whether the key's text is in the request's URL, host or another field.
func (c *call) leaks(text, secret string) bool {
	if len(secret) < shortSecret {
		secret = text
	}
	r := c.r
	if holds(r.RequestURI, secret) || holds(r.Host, secret) {
		return true
	}
	if strings.IndexByte(r.RequestURI, '%') >= 0 {
		decoded := r.RequestURI
		// Repeated, because an upstream may decode more than once.
		for range 3 {
			next, err := url.PathUnescape(decoded)
			if err != nil || next == decoded {
				break
			}
			decoded = next
			if holds(decoded, secret) {
				return true
			}
		}
	}
	for name, values := range r.Header {
		if name == "Authorization" {
			continue
		}
		if holds(name, secret) {
			return true
		}
		for _, v := range values {
			if holds(v, secret) {
				return true
			}
		}
	}
	return false
}

// holds reports whether part is within s, without regard to the case of ASCII letters.
func holds(s, part string) bool {
	for i := 0; i+len(part) <= len(s); i++ {
		if lower(s[i]) == lower(part[0]) && strings.EqualFold(s[i:i+len(part)], part) {
			return true
		}
	}
	return false
}

func lower(b byte) byte {
	if b >= 'A' && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}

package catalog

import (
	"net/netip"
	"strings"

	"golang.org/x/net/http/httpguts"
	"golang.org/x/net/idna"

	"cuminfall.example/fleet/ident"
)

// hostNames converts hosts with letters outside ASCII to the form in which callers send them.
var hostNames = idna.New(idna.MapForLookup(), idna.Transitional(false), idna.StrictDomainName(false))

// canonicalHost returns the form that all spellings of a host have in common: without white space around it, a port and a last dot,
// in lower case, and in ASCII. The error says why a host outside ASCII has no such form; it is then returned in lower case.
//
// A port is left out because it names the listener that a caller connected to, not the site that it asks for.
func canonicalHost(host string) (string, error) {
	name := withoutPort(strings.TrimSpace(host))
	var err error
	if isASCII(name) {
		name = strings.ToLower(name)
	} else if ascii, failure := hostNames.ToASCII(name); failure == nil {
		name = ascii
	} else {
		name, err = strings.ToLower(name), failure
	}
	if inner, found := strings.CutPrefix(name, "["); found {
		if address, parseErr := netip.ParseAddr(strings.TrimSuffix(inner, "]")); parseErr == nil {
			return "[" + address.String() + "]", err
		}
	}
	return strings.TrimSuffix(name, "."), err
}

// withoutPort returns a host without its port. A colon within an IPv6 address that has no brackets starts none.
func withoutPort(host string) string {
	i := strings.LastIndexByte(host, ':')
	if i < 0 || strings.Trim(host[i+1:], "0123456789") != "" {
		return host
	}
	if strings.IndexByte(host[:i], ':') >= 0 && host[i-1] != ']' {
		return host
	}
	return host[:i]
}

func isASCII(text string) bool {
	for i := range len(text) {
		if text[i] >= 0x80 {
			return false
		}
	}
	return true
}

const upperHex = "0123456789ABCDEF"

// canonicalPath returns the form that all spellings of a path have in common by RFC 3986, section 6.2.2: letters, digits and
// the marks -._~ stand for themselves, and bytes outside ASCII are escaped with upper-case digits. Other escapes stay, as
// an escaped slash separates nothing.
func canonicalPath(path string) string {
	if strings.IndexByte(path, '%') < 0 && isASCII(path) {
		return path
	}
	var b strings.Builder
	for i := 0; i < len(path); i++ {
		c, escaped := path[i], false
		if c == '%' && i+2 < len(path) {
			if high, low := strings.IndexByte(upperHex, upper(path[i+1])), strings.IndexByte(upperHex, upper(path[i+2])); high >= 0 && low >= 0 {
				c, escaped = byte(high<<4|low), true
				i += 2
			}
		}
		if c >= 0x80 || escaped && !isUnreserved(c) {
			b.WriteByte('%')
			b.WriteByte(upperHex[c>>4])
			b.WriteByte(upperHex[c&15])
			continue
		}
		b.WriteByte(c)
	}
	return b.String()
}

func upper(c byte) byte {
	if c >= 'a' && c <= 'f' {
		return c - 'a' + 'A'
	}
	return c
}

// isUnreserved reports whether a character means the same in a path with and without an escape.
func isUnreserved(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("-._~", c) >= 0
}

// place is what selects a route. Two routes of one place cannot be told apart.
type place struct{ host, prefix string }

// placeOf returns the place of a route in its canonical form. The error says why its host cannot be read.
func placeOf(r *Route) (place, error) {
	host, err := canonicalHost(r.Host)
	return place{host, canonicalPath(r.Prefix)}, err
}

// CanonicalHost returns the form that all spellings of a host have in common.
func CanonicalHost(host string) string {
	canonical, _ := canonicalHost(host) // a host that cannot be read is compared in lower case
	return canonical
}

// CanonicalKey returns the form that all spellings of a workspace key have in common: without the white space around it,
// which header fields do not keep.
func CanonicalKey(key string) string { return strings.TrimSpace(key) }

// IsSendable reports whether upstreams can tell a workspace from all others by the header field that carries its name: an empty
// name is that of no workspace, white space around it is lost, and a line end would begin another field.
func IsSendable(name ident.Workspace) bool {
	return name != "" && strings.TrimSpace(string(name)) == string(name) && httpguts.ValidHeaderFieldValue(string(name))
}

package catalog

import (
	"strconv"

	"cuminfall.example/fleet/ident"
)

// Lengths of the parts of an encoded catalog besides its texts and integers. Parts that may be left out are included.
const (
	floatLength     = 24
	catalogLength   = len(`{"version":18446744073709551615,"limits":{"head":,"body":,"headwait":,"idle":,"text":},"routes":{},"services":{},"workspaces":{}}`)
	routeLength     = len(`"":{"name":"","host":"","prefix":"","idempotent":true,"timeout":,"goal":,"attempts":,"rank":,"splits":[],"open":true,"sticky":true,"homes":[],"text":},`)
	splitLength     = len(`{"service":"","weight":},`) + floatLength
	serviceLength   = len(`"":{"name":"","health":"","connections":,"cold":,"coldrate":,"text":},`) + floatLength
	workspaceLength = len(`"":{"name":"","keys":[],"rank":,"rate":,"burst":,"homes":[],"text":},`) + 2*floatLength
	listItemLength  = len(`"",`)
)

// EncodedSize returns the size of the catalog as JSON, or somewhat more. That takes less time than encoding it.
func (c *Catalog) EncodedSize() ident.Bytes {
	size := catalogLength
	if l := c.Limits; l != nil {
		size += intLength(int64(l.MaxHeaderBytes)) + intLength(int64(l.MaxBodyBytes)) + intLength(int64(l.HeaderTimeout)) +
			intLength(int64(l.IdleTimeout)) + rawLength(l.Source)
	}
	for name, r := range c.Routes {
		size += routeLength + 2*textLength(name) + textLength(r.Host) + textLength(r.Prefix) + intLength(int64(r.Timeout)) + intLength(int64(r.LatencyTarget)) +
			intLength(int64(r.MaxAttempts)) + intLength(int64(r.Priority)) + regionsLength(r.AllowedRegions) + rawLength(r.Source)
		for _, s := range r.Splits {
			size += splitLength + textLength(string(s.Service))
		}
	}
	for name, s := range c.Services {
		size += serviceLength + 2*textLength(string(name)) + textLength(s.HealthPath) + intLength(int64(s.MaxConnections)) + intLength(int64(s.ColdStart)) + rawLength(s.Source)
	}
	for name, w := range c.Workspaces {
		size += workspaceLength + 2*textLength(string(name)) + regionsLength(w.AllowedRegions) + rawLength(w.Source)
		if w.Priority != nil {
			size += intLength(int64(*w.Priority))
		}
		for _, k := range w.Keys {
			size += listItemLength + textLength(k)
		}
	}
	return ident.Bytes(size)
}

func regionsLength(regions []ident.Region) int {
	size := 0
	for _, r := range regions {
		size += listItemLength + textLength(string(r))
	}
	return size
}

func intLength(n int64) int {
	var digits [20]byte
	return len(strconv.AppendInt(digits[:0], n, 10))
}

// escapedLength is the length of an escaped character, such as \u003c.
const escapedLength = 6

// textLength returns the length of a string in JSON without its quotes. Characters beyond ASCII count as escaped, as
// invalid ones are.
func textLength(text string) int {
	size := len(text)
	for i := range len(text) {
		if b := text[i]; b < ' ' || b == '"' || b == '\\' || b >= 0x80 || isEscapedAnywhere(b) {
			size += escapedLength - 1
		}
	}
	return size
}

// rawLength returns the length of JSON that is included in other JSON as it is.
func rawLength(raw []byte) int {
	size := len(raw)
	for _, b := range raw {
		if isEscapedAnywhere(b) {
			size += escapedLength - 1
		}
	}
	return size
}

// isEscapedAnywhere reports whether encoding/json escapes a character also in JSON that it includes as it is. The first
// byte of U+2028 and U+2029 is 0xe2.
func isEscapedAnywhere(b byte) bool { return b == '<' || b == '>' || b == '&' || b == 0xe2 }

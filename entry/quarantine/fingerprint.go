package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"

	"cuminfall.example/fleet/ident"
)

// hashBytes is the length of each hash in a fingerprint. Callers choose what is hashed, except for the workspace, which
// follows from their key.
const hashBytes = 8

// Head identifies requests that are alike except for their bodies.
type Head string

// Fingerprint identifies requests that are the same to an upstream. It begins with the request's Head.
type Fingerprint string

// HeadOf returns the head of a request. Target is the request target with the query. Upstreams see the workspace and not
// the key.
func HeadOf(method, host, target string, workspace ident.Workspace, bodyLength int64) Head {
	return Head(hash([]byte(strconv.Quote(method) + strconv.Quote(host) + strconv.Quote(target) + strconv.Quote(string(workspace)) + strconv.FormatInt(bodyLength, 10))))
}

// WithBody returns the fingerprint of a request with a head and a body.
func (h Head) WithBody(body []byte) Fingerprint { return h.WithDigest(sha256.Sum256(body)) }

// WithDigest returns the fingerprint of a request with a head and a body that has the given SHA-256 digest.
func (h Head) WithDigest(digest [sha256.Size]byte) Fingerprint {
	return Fingerprint(string(h) + hex.EncodeToString(digest[:hashBytes]))
}

// Head returns the head of a fingerprint.
func (f Fingerprint) Head() Head { return Head(f[:min(len(f), hex.EncodedLen(hashBytes))]) }

func hash(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:hashBytes])
}

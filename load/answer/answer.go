package answer

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"strings"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// Headers by which a caller tells a stand-in about a request.
const (
	RequestHeader = "Load-Request" // id of the request, the same in each attempt
	AttemptHeader = "Load-Attempt" // number of the attempt, from 1
	SizeHeader    = "Load-Size"    // bytes of the answer
)

// repeatMark begins the attempt header of a deliberate repetition.
const repeatMark = "repeat-"

// AttemptName returns the attempt header of the nth attempt of a request or of its deliberate repetition.
func AttemptName(n int, repeat bool) string {
	if repeat {
		return repeatMark + strconv.Itoa(n)
	}
	return strconv.Itoa(n)
}

// Repeated reports whether an attempt header is that of a repetition.
func Repeated(attempt string) bool { return strings.HasPrefix(attempt, repeatMark) }

// Head is the first line of an answer; padding derived from the request id follows.
type Head struct {
	Request   string          `json:"request"`
	Workspace ident.Workspace `json:"workspace"`
	Body      string          `json:"body"` // SHA-256 of the request body, in hex
	Endpoint  ident.Address   `json:"endpoint"`
	Size      int             `json:"size"` // bytes of the whole answer
}

// Digest returns the hash of a request body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Format returns an answer of h.Size bytes, or more where the head alone needs more.
func Format(h Head) []byte {
	for {
		line, err := json.Marshal(h)
		if err != nil {
			return nil // a Head has only strings and a number
		}
		line = append(line, '\n')
		if len(line) > h.Size {
			h.Size = len(line) + 2 // the size's own digits may grow
			continue
		}
		return append(line, Padding(h.Request, h.Size-len(line))...)
	}
}

// Parse checks that text is one whole answer and returns its head.
func Parse(text []byte) (Head, error) {
	var h Head
	line, rest, found := bytes.Cut(text, []byte{'\n'})
	if !found {
		return h, fault.New(fault.Upstream, "check answer", "", "no head in %d bytes", len(text))
	}
	if err := json.Unmarshal(line, &h); err != nil {
		return h, fault.New(fault.Upstream, "check answer", "", "head: %v", err)
	}
	if len(text) != h.Size {
		return h, fault.New(fault.Upstream, "check answer", string(h.Endpoint), "%d bytes of %d", len(text), h.Size)
	}
	if !bytes.Equal(rest, Padding(h.Request, len(rest))) {
		return h, fault.New(fault.Upstream, "check answer", string(h.Endpoint), "padding of another request")
	}
	return h, nil
}

// Padding returns n bytes that depend on the request id, so that mixed answers show.
func Padding(request string, n int) []byte {
	sum := fnv.New64a()
	sum.Write([]byte(request))
	random := rand.New(rand.NewPCG(sum.Sum64(), 1))
	block := make([]byte, min(n, 1024))
	for i := range block {
		block[i] = 'a' + byte(random.UintN(26))
	}
	out := make([]byte, 0, n)
	for len(out) < n {
		out = append(out, block[:min(len(block), n-len(out))]...)
	}
	return out
}

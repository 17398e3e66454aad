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

// Headers that a load-test caller sends to a stand-in upstream.
const (
	RequestHeader = "Load-Request" // request id, the same for every attempt
	AttemptHeader = "Load-Attempt" // attempt number, counted from 1
	SizeHeader    = "Load-Size"    // requested size of the response body, in bytes
)

// repeatPrefix starts the AttemptHeader value of a request that the caller deliberately sends twice.
const repeatPrefix = "repeat-"

// FormatAttempt returns the AttemptHeader value for an attempt of a request or of its deliberate repetition.
func FormatAttempt(number int, repeat bool) string {
	if repeat {
		return repeatPrefix + strconv.Itoa(number)
	}
	return strconv.Itoa(number)
}

// IsRepeat reports whether an AttemptHeader value belongs to a deliberate repetition.
func IsRepeat(attempt string) bool { return strings.HasPrefix(attempt, repeatPrefix) }

// Head is the first line of a response body, in JSON; padding derived from the request id follows it.
type Head struct {
	Request   string          `json:"request"`
	Workspace ident.Workspace `json:"workspace"`
	Body      string          `json:"body"` // SHA-256 of the request body, in hex
	Endpoint  ident.Address   `json:"endpoint"`
	Size      int             `json:"size"` // length of the response body in bytes, padding included
}

// Digest returns the SHA-256 of a request body in hex.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Format returns a response body of head.Size bytes, or more if the head does not fit.
func Format(head Head) []byte {
	for {
		line, err := json.Marshal(head)
		if err != nil {
			return nil // unreachable: strings and integers always encode
		}
		line = append(line, '\n')
		if len(line) > head.Size {
			head.Size = len(line) + 2 // the size itself may need more digits
			continue
		}
		return append(line, Padding(head.Request, head.Size-len(line))...)
	}
}

// Parse checks that body is one complete response and returns its head.
func Parse(body []byte) (Head, error) {
	var head Head
	line, padding, found := bytes.Cut(body, []byte{'\n'})
	if !found {
		return head, fault.New(fault.Upstream, "check answer", "", "no head line in a response of %d bytes", len(body))
	}
	if err := json.Unmarshal(line, &head); err != nil {
		return head, fault.New(fault.Upstream, "check answer", "", "response head is not valid JSON: %v", err)
	}
	if len(body) != head.Size {
		return head, fault.New(fault.Upstream, "check answer", string(head.Endpoint), "response has %d bytes, its head states %d", len(body), head.Size)
	}
	if !bytes.Equal(padding, Padding(head.Request, len(padding))) {
		return head, fault.New(fault.Upstream, "check answer", string(head.Endpoint), "padding does not match the request id in the head")
	}
	return head, nil
}

// Padding returns size bytes derived from the request id, so that a mix of two responses is detected.
func Padding(request string, size int) []byte {
	seed := fnv.New64a()
	seed.Write([]byte(request))
	random := rand.New(rand.NewPCG(seed.Sum64(), 1))
	block := make([]byte, min(size, 1024))
	for i := range block {
		block[i] = 'a' + byte(random.UintN(26))
	}
	padding := make([]byte, 0, size)
	for len(padding) < size {
		padding = append(padding, block[:min(len(block), size-len(padding))]...)
	}
	return padding
}

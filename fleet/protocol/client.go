package protocol

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

const (
	// dialTimeout bounds a new connection; the farthest regions are 110 ms apart there and back.
	dialTimeout = 500 * time.Millisecond
	// idlePerPeer is enough for a follow, a report and questions for many workspaces' rates at once. With fewer,
	// busy VMs open a connection for most questions, and the opening packets that a full queue drops are sent
	// again after seconds.
	maxIdleConnsPerPeer = 64
	// silentAfter is how many calls in a row must fail until all kept connections are given up as silent.
	maxConsecutiveFailures = 3
	// maxReply bounds an answer, which may carry the whole register.
	maxMessageBytes = 64 << 20
)

// Client posts JSON messages to control members; its zero value is ready for use.
type Client struct {
	LocalAddr net.Addr // of connections; nil lets the host choose

	mu    sync.Mutex
	peers map[ident.Address]*peer
}

// peer is the connections to one address.
type peer struct {
	*http.Transport
	failures atomic.Int32 // in a row
}

func (c *Client) peerFor(address ident.Address) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[address]; p != nil {
		return p
	}
	if c.peers == nil {
		c.peers = map[ident.Address]*peer{}
	}
	p := &peer{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, LocalAddr: c.LocalAddr}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerPeer, IdleConnTimeout: time.Minute,
	}}
	c.peers[address] = p
	return p
}

// Call posts a message and decodes the answer. After some failures in a row the next call uses a new connection,
// since the old ones may have gone silent.
func (c *Client) Call(ctx context.Context, address ident.Address, path string, request, reply any) error {
	p := c.peerFor(address)
	err := call(ctx, p, "http://"+string(address)+path, request, reply)
	if err == nil {
		p.failures.Store(0)
		return nil
	}
	if p.failures.Add(1) >= maxConsecutiveFailures {
		p.failures.Store(0)
		p.CloseIdleConnections()
	}
	return fault.Wrap(err, fault.Unreachable, path, string(address))
}

func call(ctx context.Context, transport http.RoundTripper, url string, request, reply any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := transport.RoundTrip(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		var f fault.Error
		if json.Unmarshal(data, &f) == nil && f.Code != "" {
			return &f
		}
		return fault.New(fault.Unreachable, "call", url, "status %d", response.StatusCode)
	}
	if reply == nil {
		return nil
	}
	return json.Unmarshal(data, reply)
}

// Handle returns a handler for one path; serve gets the decoded message, and its error goes to the caller.
func Handle(serve func(ctx context.Context, body []byte) (any, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
		var reply any
		if err == nil {
			reply, err = serve(r.Context(), body)
		}
		status := http.StatusOK
		if err != nil {
			f := fault.Of(err)
			status, reply = f.Code.HTTPStatus(), f
		}
		writeReply(w, r, status, reply)
	})
}

// reply writes an answer, compressed where it is long.
func writeReply(w http.ResponseWriter, r *http.Request, status int, reply any) {
	body, err := json.Marshal(reply)
	if err != nil {
		status, body = http.StatusInternalServerError, []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	if len(body) >= minCompressedReplyBytes && strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		var compressed bytes.Buffer
		z, _ := gzipWriters.Get().(*gzip.Writer)
		z.Reset(&compressed)
		_, err := z.Write(body) // writing to memory does not fail
		if err == nil && z.Close() == nil {
			w.Header().Set("Content-Encoding", "gzip")
			body = compressed.Bytes()
		}
		gzipWriters.Put(z)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a failed write means that the peer has gone, which it notices by itself
}

// compressFrom is the shortest answer that is compressed: a shorter one fits into one packet. Registers shrink to
// a tenth, and are what fills the links of small VMs after a restart of all.
const minCompressedReplyBytes = 1200

// writers are kept because a compressor's tables take more memory than most answers.
var gzipWriters = sync.Pool{New: func() any {
	z, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // the level is valid
	return z
}}

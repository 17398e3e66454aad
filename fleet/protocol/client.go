package protocol

import (
	"bytes"
	"cmp"
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

	"golang.org/x/sync/semaphore"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/process"
)

const (
	// defaultDialTimeout limits opening a connection; the longest round trip between regions takes 110 ms.
	defaultDialTimeout = 500 * time.Millisecond
	// maxIdleConnsPerPeer is enough for the concurrent requests of one VM. With fewer, busy VMs open a connection for
	// most requests. If a full queue then drops the packet that opens a connection, it is retransmitted only after
	// seconds.
	maxIdleConnsPerPeer = 64
	// maxConsecutiveFailures is the number of consecutive failed calls after which all idle connections to a peer are
	// closed, because the peer may no longer respond on them.
	maxConsecutiveFailures = 3
	// maxMessageBytes limits a request, which may contain a complete catalog.
	maxMessageBytes = 64 << 20
)

// Client posts JSON messages to control members; its zero value is ready for use.
type Client struct {
	LocalAddr   net.Addr      // local address of connections; nil means that the operating system selects it
	DialTimeout time.Duration // timeout for opening a connection; 500 ms by default

	mu      sync.Mutex
	peers   map[ident.Address]*peer
	replies process.ReadBudget
}

// peer holds the connections to one address.
type peer struct {
	*http.Transport
	failures atomic.Int32 // consecutive failed calls
}

func (c *Client) peerFor(address ident.Address) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[address]; p != nil {
		return p
	}
	if c.peers == nil {
		c.peers = map[ident.Address]*peer{}
		c.replies.Max = process.MaxReplyBytes
	}
	p := &peer{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: cmp.Or(c.DialTimeout, defaultDialTimeout), LocalAddr: c.LocalAddr}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerPeer, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: process.MaxReplyHeaderBytes,
	}}
	c.peers[address] = p
	return p
}

// Call posts request to a path at address and decodes the response into reply, which may be nil. An error that the peer
// reports keeps its code; other errors have the code fault.Unreachable. After several consecutive failures, the next
// call opens a new connection, because the peer may no longer respond on the existing ones.
func (c *Client) Call(ctx context.Context, address ident.Address, path string, request, reply any) error {
	return c.CallWatched(ctx, address, path, request, reply, func() {})
}

// CallWatched is Call with a function that is called whenever a part of the reply has arrived.
func (c *Client) CallWatched(ctx context.Context, address ident.Address, path string, request, reply any, arrived func()) error {
	p := c.peerFor(address)
	err := call(ctx, c.replies.Transport(p), "http://"+string(address)+path, request, reply, arrived)
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

func call(ctx context.Context, transport http.RoundTripper, url string, request, reply any, arrived func()) error {
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
	arrived()
	data, err := io.ReadAll(watchedReader{response.Body, arrived})
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		var f fault.Error
		if json.Unmarshal(data, &f) == nil && f.Code != "" {
			return &f
		}
		return fault.New(fault.Unreachable, "call", url, "unexpected HTTP status %d", response.StatusCode)
	}
	if reply == nil {
		return nil
	}
	return json.Unmarshal(data, reply)
}

// watchedReader calls a function after each read that returned bytes.
type watchedReader struct {
	io.Reader
	arrived func()
}

// Read implements io.Reader.
func (r watchedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.arrived()
	}
	return n, err
}

// NewHandler returns an HTTP handler that passes the body of a request to serve and answers with the result or the
// error of serve, encoded as JSON.
func NewHandler(serve func(ctx context.Context, body []byte) (any, error)) http.Handler {
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

// longReplies limits the bytes of the long replies that are encoded or written at the same time. Hundreds of followers ask
// for the same registry at once, and each reply is a copy of it.
var longReplies = semaphore.NewWeighted(maxLongReplyBytes)

const (
	maxLongReplyBytes = 16 << 20
	minLongReplyBytes = 64 << 10
)

// longLength returns the approximate length of a reply if it is a long one, and 0 otherwise.
func longLength(reply any) int64 {
	follow, ok := reply.(FollowReply)
	if !ok {
		return 0
	}
	length := int64(len(follow.State))
	for _, e := range follow.Entries {
		length += int64(len(e.Command))
	}
	if length < minLongReplyBytes {
		return 0
	}
	return min(length, maxLongReplyBytes)
}

// writeReply writes a reply as JSON, which is compressed if it is long and the peer accepts that.
func writeReply(w http.ResponseWriter, r *http.Request, status int, reply any) {
	held := longLength(reply)
	if held > 0 {
		if longReplies.Acquire(r.Context(), held) != nil {
			return // the peer no longer waits
		}
		defer func() { longReplies.Release(held) }()
	}
	body, err := json.Marshal(reply)
	if err != nil {
		status, body = http.StatusInternalServerError, []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	if len(body) >= minCompressedReplyBytes && strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		var compressed bytes.Buffer
		z, _ := gzipWriters.Get().(*gzip.Writer)
		z.Reset(&compressed)
		_, err := z.Write(body) // writing to a buffer does not fail
		if err == nil && z.Close() == nil {
			w.Header().Set("Content-Encoding", "gzip")
			body = compressed.Bytes()
		}
		gzipWriters.Put(z)
	}
	if written := int64(len(body)); written < held {
		longReplies.Release(held - written) // while it is written, only the compressed reply takes memory
		held = written
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // if writing fails, the peer has closed the connection and needs no response
}

// minCompressedReplyBytes is the minimum size of a reply for compression; a shorter one fits into one packet.
// Compression reduces an encoded registry to a tenth. Without it, registries saturate the links of small VMs when all
// VMs restart.
const minCompressedReplyBytes = 1200

// gzipWriters reuses compressors, because the tables of one take more memory than most replies.
var gzipWriters = sync.Pool{New: func() any {
	z, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // the level is valid
	return z
}}

// Command case12 plays uploads to endpoints that answer before they have read the whole body, and read on later.
package main

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"cuminfall.example/review/standin3/harness"
)

const (
	uploads     = 30
	bodySize    = 60000 // mean of an upload in the site files
	pieceSize   = 3000
	pieceGap    = 10 * time.Millisecond // 300 kB/s, so that 60 kB take 0.2 s
	clientLimit = 5 * time.Second
)

func main() { harness.Main(play) }

// run is what an endpoint received of a request that it ran.
type run struct {
	length int64
	sum    [sha256.Size]byte
	err    error
}

func play(f *harness.Fleet) (bool, error) {
	var mu sync.Mutex
	runs := map[string]run{}
	routes := map[string]harness.Route{"r-photos": {Prefix: "/photos/", Kind: "upload", Timeout: "3000ms", Service: "kuva-arkisto", Attempts: 2}}
	err := f.Prepare(routes, "kuva-arkisto", 6, func(e *harness.Endpoint, c *harness.Conn, r *http.Request) bool {
		id := r.Header.Get("Request-Id")
		if harness.Trouble() {
			f.Record.Line("endpoint %s answers %s with 200 and reads on", e.ID, id)
			harness.Answer(c, r, http.StatusOK, harness.Stamp(), []byte("accepted"))
		}
		hash := sha256.New()
		var got run
		got.length, got.err = io.Copy(hash, r.Body)
		copy(got.sum[:], hash.Sum(nil))
		mu.Lock()
		runs[id] = got
		mu.Unlock()
		f.Record.Line("endpoint %s got %d bytes of the body of %s: error %v", e.ID, got.length, id, got.err)
		if got.err != nil {
			return false
		}
		if !harness.Trouble() {
			harness.Answer(c, r, http.StatusOK, harness.Stamp(), []byte("accepted"))
		}
		return true
	})
	if err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	var accepted []string
	for i := range uploads {
		time.Sleep(50 * time.Millisecond)
		clients.Go(func() {
			id := fmt.Sprintf("upload-%02d", i)
			if upload(f, f.Edges[i%len(f.Edges)], id) {
				mu.Lock()
				defer mu.Unlock()
				accepted = append(accepted, id)
			}
		})
	}
	clients.Wait()
	time.Sleep(time.Second) // the endpoints read on
	mu.Lock()
	defer mu.Unlock()
	cut := 0
	for _, id := range accepted {
		if got := runs[id]; got.length != bodySize || got.sum != sha256.Sum256(body(id)) {
			cut++
			f.Record.Line("%s: the client sent %d bytes and got 200, its endpoint got %d bytes", id, bodySize, got.length)
		}
	}
	f.Record.Line("%d of %d uploads that were answered 200 reached their endpoint with another body", cut, len(accepted))
	fmt.Printf("%d of %d accepted uploads were cut\n", cut, len(accepted))
	return cut > 0, nil
}

func body(id string) []byte {
	b := make([]byte, bodySize)
	for i := range b {
		b[i] = id[i%len(id)]
	}
	return b
}

// upload sends one upload and reports whether the client sent all of it and got 200.
func upload(f *harness.Fleet, m *harness.Machine, id string) bool {
	c, err := harness.Dial(m)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	f.Record.Line("client: %s sent to %s", id, m.Name)
	sent := make(chan error, 1)
	go func() {
		_, err := c.Write(harness.Head(http.MethodPost, "/photos/1", id, clientLimit, bodySize))
		for rest := body(id); len(rest) > 0 && err == nil; rest = rest[pieceSize:] {
			_, err = c.Write(rest[:pieceSize])
			time.Sleep(pieceGap)
		}
		sent <- err
	}()
	r, text, err := c.Response(http.MethodPost, time.Now().Add(clientLimit))
	if err != nil {
		f.Record.Line("client: %s: %v", id, err)
		return false
	}
	sendErr := <-sent
	f.Record.Line("client: %s got %s %q, all sent: %v", id, r.Status, text, sendErr == nil)
	return r.StatusCode == http.StatusOK && sendErr == nil
}

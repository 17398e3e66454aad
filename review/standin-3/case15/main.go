// Command case15 plays long answers of endpoints that fall silent for a while.
package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"cuminfall.example/review/standin3/harness"
)

const (
	requests    = 9
	answerSize  = 600000
	silence     = 12 * time.Second
	clientLimit = 20 * time.Second
)

func main() { harness.Main(play) }

func play(f *harness.Fleet) (bool, error) {
	routes := map[string]harness.Route{"r-lookups": {Prefix: "/lookups/", Kind: "safe", Timeout: "20000ms", Service: "kp-index", Attempts: 2}}
	err := f.Prepare(routes, "kp-index", 6, func(e *harness.Endpoint, c *harness.Conn, r *http.Request) bool {
		id := r.Header.Get("Request-Id")
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return false
		}
		answer := bytes.Repeat([]byte("z"), answerSize)
		f.Record.Line("endpoint %s runs %s", e.ID, id)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: 3e1b.07\r\nContent-Length: %d\r\n\r\n", id, len(answer))
		_, _ = c.Write(answer[:len(answer)*2/3])
		if harness.Trouble() {
			time.Sleep(silence)
		}
		_, err := c.Write(answer[len(answer)*2/3:])
		f.Record.Line("endpoint %s ended the answer to %s: error %v", e.ID, id, err)
		return err == nil
	})
	if err != nil {
		return false, err
	}
	for _, m := range f.Edges {
		f.Record.Line("SIGHUP to %s", m.Name)
		m.Signal(syscall.SIGHUP)
	}
	var mu sync.Mutex
	var clients sync.WaitGroup
	lost := 0
	for i := range requests {
		clients.Go(func() {
			id := fmt.Sprintf("lookup-%d", i)
			c, err := harness.Dial(f.Edges[i%len(f.Edges)])
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			start := time.Now()
			f.Record.Line("client: %s sent to %s", id, f.Edges[i%len(f.Edges)].Name)
			_, _ = c.Write(harness.Head(http.MethodGet, "/lookups/1", id, clientLimit, -1))
			r, body, err := c.Response(http.MethodGet, start.Add(clientLimit))
			took := time.Since(start)
			if r == nil {
				f.Record.Line("client: %s has no answer after %s: %v", id, took, err)
				return
			}
			f.Record.Line("client: %s got %s with %d of %d bytes after %s: %v", id, r.Status, len(body), answerSize, took, err)
			if err != nil && took < clientLimit*7/10 {
				mu.Lock()
				defer mu.Unlock()
				lost++
			}
		})
	}
	clients.Wait()
	f.Record.Line("%d of %d answers were broken off while their endpoint was silent", lost, requests)
	fmt.Printf("%d of %d answers broken off\n", lost, requests)
	return lost > 0, nil
}

// Command case13 plays uploads over slow links to endpoints that begin to answer before they have read the whole body.
package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"cuminfall.example/review/standin3/harness"
)

const (
	uploads     = 60
	bodySize    = 60000 // mean of an upload in the site files
	pieceSize   = 1500
	pieceGap    = 150 * time.Millisecond // 10 kB/s, so that 60 kB take 6 s
	clientLimit = 5 * time.Second
	// checkInterval is the time between two checks of an endpoint for requests whose time limit has passed.
	checkInterval = 50 * time.Millisecond
)

func main() { harness.Main(play) }

func play(f *harness.Fleet) (bool, error) {
	var mu sync.Mutex
	begun := map[string]bool{}
	routes := map[string]harness.Route{"r-photos": {Prefix: "/photos/", Kind: "upload", Timeout: "3000ms", Service: "kuva-arkisto", Attempts: 2}}
	err := f.Prepare(routes, "kuva-arkisto", 6, func(e *harness.Endpoint, c *harness.Conn, r *http.Request) bool {
		id := r.Header.Get("Request-Id")
		answer := bytes.Repeat([]byte("ok "), 300)
		begin := func() {
			mu.Lock()
			defer mu.Unlock()
			begun[id] = true
			f.Record.Line("endpoint %s began to work on %s, time limit %s", e.ID, id, harness.TimeLimit(r))
		}
		// At its time limit an endpoint stops; it finds out at its next check, and closes the connection then.
		_ = c.SetReadDeadline(time.Now().Add(harness.TimeLimit(r)).Truncate(checkInterval).Add(checkInterval))
		if harness.Trouble() {
			// It answers while the body arrives.
			begin()
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: 3e1b.07\r\nContent-Length: %d\r\n\r\n", id, len(answer))
			_, _ = c.Write(answer[:len(answer)/2])
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				f.Record.Line("endpoint %s: body of %s ended early: %v", e.ID, id, err)
				return false
			}
			_, _ = c.Write(answer[len(answer)/2:])
		} else {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				f.Record.Line("endpoint %s: body of %s ended early, not run: %v", e.ID, id, err)
				return false
			}
			begin()
			harness.Answer(c, r, http.StatusOK, harness.Stamp(), answer)
		}
		_ = c.SetReadDeadline(time.Time{})
		return true
	})
	if err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	falsePromises := 0
	for i := range uploads {
		time.Sleep(50 * time.Millisecond)
		clients.Go(func() {
			id := fmt.Sprintf("upload-%02d", i)
			status, text := upload(f, f.Edges[i%len(f.Edges)], id)
			mu.Lock()
			defer mu.Unlock()
			f.Record.Line("client: %s got %s, its endpoint had begun: %v", id, text, begun[id])
			switch status {
			case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
				if begun[id] {
					falsePromises++
				}
			}
		})
	}
	clients.Wait()
	f.Record.Line("%d of %d uploads were answered 408, 421, 429 or 503 although an endpoint had begun to work on them", falsePromises, uploads)
	fmt.Printf("%d of %d uploads refused although begun\n", falsePromises, uploads)
	return falsePromises > 0, nil
}

// upload sends one upload over a slow link and returns the status of its answer, or 0 without one.
func upload(f *harness.Fleet, m *harness.Machine, id string) (int, string) {
	c, err := harness.Dial(m)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = c.Close() }()
	f.Record.Line("client: %s sent to %s", id, m.Name)
	go func() {
		if _, err := c.Write(harness.Head(http.MethodPost, "/photos/1", id, clientLimit, bodySize)); err != nil {
			return
		}
		for sent := 0; sent < bodySize; sent += pieceSize {
			if _, err := c.Write(make([]byte, pieceSize)); err != nil {
				return
			}
			time.Sleep(pieceGap)
		}
	}()
	r, _, err := c.Response(http.MethodPost, time.Now().Add(clientLimit))
	if r == nil {
		return 0, fmt.Sprintf("no answer: %v", err)
	}
	return r.StatusCode, r.Status
}

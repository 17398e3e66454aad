// Command case12 plays two requests on one kept connection, of which the first is an upload that a full endpoint rejects
// before its body is in.
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
	rounds      = 20
	bodySize    = 60000
	pieceSize   = 3000
	pieceGap    = 10 * time.Millisecond // 300 kB/s
	clientLimit = 4 * time.Second
	work        = 600 * time.Millisecond
	lossSlack   = 200 * time.Millisecond
)

func main() { harness.Main(play) }

func play(f *harness.Fleet) (bool, error) {
	var mu sync.Mutex
	rejected, ran := map[string]bool{}, map[string]bool{}
	routes := map[string]harness.Route{"r-lookups": {Prefix: "/lookups/", Kind: "safe", Timeout: "3500ms", Service: "kp-index", Attempts: 3}}
	err := f.Prepare(routes, "kp-index", 6, func(e *harness.Endpoint, c *harness.Conn, r *http.Request) bool {
		id := r.Header.Get("Request-Id")
		mu.Lock()
		reject := r.ContentLength > 0 && !rejected[id]
		rejected[id] = rejected[id] || reject
		mu.Unlock()
		full := http.Header{"Not-Executed": {"1"}, "Server-Load": {"4,12,4"}}
		if reject && harness.Trouble() {
			// It is full, says so before it has read the body, and reads on.
			f.Record.Line("endpoint %s rejects %s at its head", e.ID, id)
			harness.Answer(c, r, http.StatusServiceUnavailable, full, nil)
			_, err := io.Copy(io.Discard, r.Body)
			return err == nil
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return false
		}
		if reject {
			f.Record.Line("endpoint %s rejects %s after its body", e.ID, id)
			harness.Answer(c, r, http.StatusServiceUnavailable, full, nil)
			return true
		}
		mu.Lock()
		ran[id] = true
		mu.Unlock()
		f.Record.Line("endpoint %s runs %s", e.ID, id)
		time.Sleep(work)
		harness.Answer(c, r, http.StatusOK, harness.Stamp(), []byte(id))
		return true
	})
	if err != nil {
		return false, err
	}
	for _, m := range f.Edges {
		f.Record.Line("SIGHUP to %s", m.Name)
		m.Signal(syscall.SIGHUP)
	}
	var clients sync.WaitGroup
	lost, closedAfterAnswer := 0, 0
	for i := range rounds {
		time.Sleep(50 * time.Millisecond) // all are sent within configApply after the SIGHUP
		clients.Go(func() {
			m := f.Edges[i%len(f.Edges)]
			l := pipelined(f, m, fmt.Sprintf("p%02d", i))
			k := sequential(f, m, fmt.Sprintf("s%02d", i))
			mu.Lock()
			defer mu.Unlock()
			if l {
				lost++
			}
			if k {
				closedAfterAnswer++
			}
		})
	}
	clients.Wait()
	f.Record.Line("%d of %d second requests, sent without waiting for the first answer: connection ended without an answer, over %s after the last byte", lost, rounds, lossSlack)
	f.Record.Line("%d of %d second requests, sent after the first answer: connection ended without an answer (not part of the check)", closedAfterAnswer, rounds)
	fmt.Printf("%d of %d lost; besides, %d of %d on kept connections without pipelining\n", lost, rounds, closedAfterAnswer, rounds)
	return lost > 0, nil
}

// pipelined sends an upload by PUT and a GET right after it, and reports whether the connection ended without an answer to
// the GET later than lossSlack after its last byte was sent.
func pipelined(f *harness.Fleet, m *harness.Machine, id string) bool {
	c, err := harness.Dial(m)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	sent := make(chan time.Time, 1)
	f.Record.Line("client: %s-1 and %s-2 sent to %s on one connection", id, id, m.Name)
	go func() {
		send(c, id+"-1")
		_, _ = c.Write(harness.Head(http.MethodGet, "/lookups/2", id+"-2", clientLimit, -1))
		sent <- time.Now()
	}()
	until := time.Now().Add(clientLimit)
	if !answered(f, c, http.MethodPut, id+"-1", until) {
		return false
	}
	lastByte := <-sent
	_, _, err = c.Response(http.MethodGet, until)
	took := time.Since(lastByte)
	f.Record.Line("client: %s-2: %v, %s after its last byte was sent", id, errText(err), took)
	return err != nil && time.Now().Before(until) && took > lossSlack
}

// sequential sends an upload, waits for its answer, and then sends a GET on the same connection. It reports whether the
// connection ended without an answer to the GET.
func sequential(f *harness.Fleet, m *harness.Machine, id string) bool {
	c, err := harness.Dial(m)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	go send(c, id+"-1")
	if !answered(f, c, http.MethodPut, id+"-1", time.Now().Add(clientLimit)) {
		return false
	}
	_, _ = c.Write(harness.Head(http.MethodGet, "/lookups/2", id+"-2", clientLimit, -1))
	_, _, err = c.Response(http.MethodGet, time.Now().Add(clientLimit))
	f.Record.Line("client: %s-2, sent after the answer to %s-1: %v", id, id, errText(err))
	return err != nil
}

func send(c *harness.Client, id string) {
	if _, err := c.Write(harness.Head(http.MethodPut, "/lookups/1", id, clientLimit, bodySize)); err != nil {
		return
	}
	piece := bytes.Repeat([]byte("x"), pieceSize)
	for sent := 0; sent < bodySize; sent += pieceSize {
		if _, err := c.Write(piece); err != nil {
			return
		}
		time.Sleep(pieceGap)
	}
}

// answered reads the first answer and reports whether it keeps the connection open.
func answered(f *harness.Fleet, c *harness.Client, method, id string, until time.Time) bool {
	r, _, err := c.Response(method, until)
	if err != nil {
		f.Record.Line("client: %s: %v", id, err)
		return false
	}
	f.Record.Line("client: %s got %s, connection closes: %v", id, r.Status, r.Close)
	return !r.Close
}

func errText(err error) string {
	if err == nil {
		return "answered"
	}
	return "no answer: " + err.Error()
}

package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// intake holds what the endpoints of an intake service have run, by request id.
type intake struct {
	rec  *record
	mu   sync.Mutex
	runs map[string]int
}

// serve begins to work on a request when its head has arrived, and answers after its work, also if the body is still
// arriving. It reads the rest of the body in any case.
func (i *intake) serve(e *endpoint, c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	work, _ := time.ParseDuration(r.Header.Get("Work"))
	i.mu.Lock()
	i.runs[id]++
	i.mu.Unlock()
	i.rec.log("%s begins to work on %s, for %s", e.id, id, work)
	read := make(chan error, 1)
	go func() {
		_, err := io.Copy(io.Discard, r.Body)
		read <- err
	}()
	time.Sleep(work)
	text := "stored " + id
	writeHead(c, r, len(text))
	_, err := io.WriteString(c, text)
	i.rec.log("%s has run %s and answers it (%v)", e.id, id, err)
	return <-read == nil && err == nil
}

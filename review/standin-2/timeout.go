package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["timeout"] = playTimeout }

// playTimeout lowers the timeout of the uploads' route to less than a slow upload takes. Callers repeat what was refused, as
// the pages say, as long as their time limit allows.
func playTimeout(d *deployment) int {
	const (
		prefix  = "/photos/"
		limit   = 5 * time.Second
		uploads = 12
	)
	in := &intake{rec: d.rec, runs: map[string]int{}}
	var endpoints []*endpoint
	for i := range 6 {
		endpoints = append(endpoints, &endpoint{service: "snapshots", zone: []string{"bne-a", "bne-b"}[i%2], serve: in.serve})
	}
	photos := route{"upload", "snapshots", "5000ms"}
	if !d.begin(map[string]route{prefix: photos}, endpoints...) {
		return failed
	}
	photo := bytes.Repeat([]byte("p"), 60000)
	send := func(m *machine, id, object string, limit, work time.Duration, piece int, gap time.Duration) answer {
		c, err := dial(m)
		if err != nil {
			return answer{err: err}
		}
		defer func() { _ = c.Close() }()
		d.rec.log("%s is sent to %s: an upload of %d bytes, %d bytes each %s, with a time limit of %s", id, m.name, len(photo), piece, gap, limit)
		a := c.send(request{id: id, method: http.MethodPost, path: prefix + object, object: object, limit: limit, work: work, body: photo, piece: piece, gap: gap})
		d.rec.log("%s is answered by %s: %s %q", id, m.name, a, a.body)
		return a
	}
	for i := range 8 { // uploads as usual
		if a := send(d.edges[i%2], fmt.Sprint("usual-", i), fmt.Sprint(i), limit, 400*time.Millisecond, 16000, 5*time.Millisecond); a.status != http.StatusOK {
			d.rec.log("could not run: an upload failed before the disruption")
			return failed
		}
	}
	if d.trouble {
		photos.timeout = "3000ms"
		patch, _ := json.Marshal(map[string]any{"version": "00000002", "upsert": map[string]any{"routes": map[string]any{routeName(prefix): photos.encode(prefix)}}})
		status, text := d.order("/configuration/patch", "00000001", patch, 4*time.Second)
		d.rec.log("the change of the route's timeout to 3000ms is answered: %d %s", status, text)
		if status != http.StatusOK {
			return failed
		}
	}
	time.Sleep(configApply)
	var callers sync.WaitGroup
	var mu sync.Mutex
	var refusedAndRan, begunAgain, served int
	for i := range uploads {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			id, object, start := fmt.Sprint("photo-", i), fmt.Sprint(i%8), time.Now()
			a := send(d.edges[i%2], id, object, limit, 3100*time.Millisecond, 2000, 125*time.Millisecond)
			again := 0
			if promisesNotRun(a.status) { // the caller repeats it, as a new attempt on a new connection, in the time that is left
				send(d.edges[(i+1)%2], id+"-again", object, limit-time.Since(start), 3100*time.Millisecond, 2000, 125*time.Millisecond)
			}
			in.mu.Lock()
			ran := in.runs[id]
			again = in.runs[id+"-again"]
			in.mu.Unlock()
			mu.Lock()
			defer mu.Unlock()
			switch {
			case promisesNotRun(a.status) && ran > 0:
				refusedAndRan++
				d.rec.log("REFUSED: %s was answered %d, and an endpoint has run it", id, a.status)
				if again > 0 {
					begunAgain++
				}
			case a.status == http.StatusOK && a.err == nil:
				served++
			}
		})
	}
	callers.Wait()
	d.rec.verdict("of %d uploads, %d were answered as not run though an endpoint had begun to work on them, %d of these were then begun once more for their callers, and %d were served",
		uploads, refusedAndRan, begunAgain, served)
	switch {
	case refusedAndRan > 0:
		return broken
	case served == 0 && !d.trouble:
		return failed
	}
	return held
}

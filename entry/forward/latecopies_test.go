package forward

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/object"
)

var (
	copiedAnswers = flag.Int64("copies.answers", 3000, "`number` of answers that TestNoAnswerIsCrossed compares for each wire format")
	copiesSeed    = flag.Uint64("copies.seed", 1, "`seed` of TestNoAnswerIsCrossed")
)

// ownBody returns the body of the answer to a request, which differs from all others.
func ownBody(target string) string {
	return strings.Repeat(target+";", 1+int(object.IDOf(target)%40))
}

// lateCopier answers requests and repeats earlier answers late, on connections that are in use again.
type lateCopier struct {
	idHeader string
	mu       sync.Mutex
	rand     *rand.Rand
	copies   atomic.Int64
}

func (u *lateCopier) intN(n int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rand.IntN(n)
}

func (u *lateCopier) answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", u.idHeader, id, len(body), body)
}

// damage returns a copy of an answer as a faulty upstream may send it.
func (u *lateCopier) damage(answer, id string) string {
	head, _, _ := strings.Cut(answer, "\r\n\r\n")
	switch u.intN(8) {
	case 0:
		return strings.Replace(answer, u.idHeader+": "+id+"\r\n", "", 1)
	case 1:
		return strings.Replace(answer, "200 OK", "503 Busy", 1)
	case 2:
		return strings.Replace(head, "200 OK", "103 Early Hints", 1) + "\r\n\r\n"
	case 3:
		return answer[:u.intN(len(answer))]
	case 4:
		return answer + answer
	case 5:
		return strings.Replace(answer, id, "", 1)
	}
	return answer
}

// serve answers the requests on a connection. Copies come before an answer, within its head or after it, also while no request
// is in progress.
func (u *lateCopier) serve(_ *fakeUpstream, c net.Conn, in *bufio.Reader, _ int32) {
	earlier := ""
	var late sync.WaitGroup
	defer late.Wait()
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(u.idHeader)
		own := u.answer(id, ownBody(r.RequestURI))
		if r.Method == http.MethodHead {
			own = own[:strings.Index(own, "\r\n\r\n")+4]
		}
		text := own
		switch place := u.intN(40); {
		case earlier == "" || place > 4:
		case place == 0:
			text = earlier + own
		case place == 1:
			cut := strings.Index(own, "\r\n") + 2
			text = own[:cut] + earlier + own[cut:]
		case place == 2:
			text = own + earlier
		default: // on the idle connection, or in the next answer's place
			delay := time.Duration(u.intN(4)) * time.Millisecond
			if u.intN(200) == 0 {
				delay = time.Duration(u.intN(3000)) * time.Millisecond
			}
			copied := earlier
			late.Go(func() {
				time.Sleep(delay)
				_, _ = io.WriteString(c, copied)
			})
			u.copies.Add(1)
		}
		if text != own {
			u.copies.Add(1)
		}
		earlier = u.damage(own, id)
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// Guards against a late copy of an answer that becomes the answer to another request, with and without its ID, whole and
// damaged, at any place but within another answer's body.
func TestNoAnswerIsCrossed(t *testing.T) {
	for name, format := range map[string]*WireFormat{
		"the callers' request IDs": {WorkspaceHeader: "X-Workspace", TimeoutHeader: "X-Left", RequestIDHeader: "X-Id", AllowUnframed: true},
		"the IDs of attempts":      nil,
	} {
		t.Run(name, func(t *testing.T) {
			copier := &lateCopier{idHeader: AttemptIDHeader, rand: rand.New(rand.NewPCG(*copiesSeed, 1))}
			if format != nil {
				copier.idHeader = format.RequestIDHeader
			}
			client := New(Options{WireFormat: format})
			t.Cleanup(client.Close)
			var upstreams []*fakeUpstream
			var endpoints []Endpoint
			for range 8 {
				u := newUpstream(t, copier.serve)
				upstreams = append(upstreams, u)
				endpoints = append(endpoints, Endpoint{u.address, 1, ident.Connections(8)})
			}
			client.Update(endpoints)
			var serial, answered, failed atomic.Int64
			var workers sync.WaitGroup
			for range 32 {
				workers.Go(func() {
					for answered.Load() < *copiedAnswers {
						n := serial.Add(1)
						target := fmt.Sprint("/w", n%2, "/", n)
						r := upstreams[n%8].request(target, 2*time.Second)
						r.Header = http.Header{"X-Id": {fmt.Sprint("id-", n)}}
						if n%16 == 0 {
							r.Method = http.MethodHead
						}
						x, err := client.Do(context.Background(), r)
						if err != nil {
							failed.Add(1)
							continue
						}
						body, err := io.ReadAll(x)
						x.Close()
						if err != nil || x.Status != http.StatusOK {
							if x.Identified() && x.Status != http.StatusOK {
								t.Errorf("request %s got a refusal with status %d, which no upstream gave", target, x.Status)
							}
							failed.Add(1) // a copy may cost a request its answer
							continue
						}
						want := ownBody(target)
						if r.Method == http.MethodHead {
							want = ""
						}
						if string(body) != want {
							t.Errorf("request %s got %.80q, expected %.80q", target, body, want)
						}
						answered.Add(1)
					}
				})
			}
			workers.Wait()
			t.Logf("%d answers compared, %d requests without one, %d late copies, %d connections", answered.Load(), failed.Load(), copier.copies.Load(), client.Stats.Dialed.Load())
			if copier.copies.Load() == 0 {
				t.Error("the upstreams must send late copies")
			}
		})
	}
}

package scenario

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/fault"
)

// Guards against a request that several VMs refuse being reported with the latency of its last attempt alone.
func TestLatencyCountsAllVMsTried(t *testing.T) {
	is := is.New(t)
	f, err := newFleet(t.TempDir())
	is.NoErr(err)
	defer f.networkLock.Close()
	const delay = 60 * time.Millisecond
	entries := []string{"entry1", "entry2", "entry3"}
	for i, name := range entries {
		p := &process{name: name, host: f.host(entryOctet + i + 1)}
		f.processes[name] = p
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", p.host, proxyPort))
		is.NoErr(err)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if name == "entry3" {
				return
			}
			time.Sleep(delay)
			w.Header().Set("Cuminfall-Run", string(fault.NotExecuted))
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprintf(w, `{"code":%q}`, fault.Stale)
		})}
		go server.Serve(l)
		defer server.Close()
	}
	background := &traffic{params: params{"path": "/read/x"}}
	background.pending.Add(1)
	background.sendOne(f, f.client, 0, entries)
	is.Equal(background.responses[0].status, http.StatusOK)
	is.True(background.responses[0].latency >= 2*delay)
}

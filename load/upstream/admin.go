package upstream

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/rcrowley/go-metrics"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/process"
)

// AdminHandler returns the admin interface of the process.
//
// The query parameters address, domain and service select endpoints: an endpoint must match
// all given parameters. Without parameters all endpoints are selected.
func (p *Process) AdminHandler() http.Handler {
	registry := metrics.NewRegistry()
	mux := http.NewServeMux()
	mux.Handle("/", process.AdminHandler(registry, func() bool { return true }))
	mux.HandleFunc("GET /v1/runs", p.serveRuns)
	mux.HandleFunc("DELETE /v1/runs", func(http.ResponseWriter, *http.Request) { p.runLog.Clear() })
	mux.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, r *http.Request) {
		list := []Status{}
		for _, e := range p.selectEndpoints(r) {
			list = append(list, e.Status())
		}
		writeJSON(w, list)
	})
	mux.HandleFunc("PUT /v1/fault", func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		if decodeBody(w, r, &f) && checkError(w, f.check()) {
			p.applyToSelected(w, r, func(e *Endpoint) error { e.SetFault(f); return nil })
		}
	})
	mux.HandleFunc("PUT /v1/report", func(w http.ResponseWriter, r *http.Request) {
		var report LoadReporting
		if decodeBody(w, r, &report) && checkError(w, report.check()) {
			p.applyToSelected(w, r, func(e *Endpoint) error { e.SetReporting(report); return nil })
		}
	})
	mux.HandleFunc("PUT /v1/size", func(w http.ResponseWriter, r *http.Request) {
		var size struct {
			Slots       ident.Slots       `json:"slots"`
			Connections ident.Connections `json:"connections"`
		}
		if decodeBody(w, r, &size) {
			p.applyToSelected(w, r, func(e *Endpoint) error { e.Resize(size.Slots, size.Connections); return nil })
		}
	})
	mux.HandleFunc("POST /v1/kill", func(w http.ResponseWriter, r *http.Request) {
		p.applyToSelected(w, r, func(e *Endpoint) error { e.Kill(); return nil })
	})
	mux.HandleFunc("POST /v1/cool", func(w http.ResponseWriter, r *http.Request) {
		p.applyToSelected(w, r, func(e *Endpoint) error { e.ClearCache(); return nil })
	})
	mux.HandleFunc("POST /v1/start", func(w http.ResponseWriter, r *http.Request) {
		p.applyToSelected(w, r, func(e *Endpoint) error {
			if e.Status().Up {
				return nil
			}
			return e.Start()
		})
	})
	mux.HandleFunc("POST /v1/leave", func(w http.ResponseWriter, r *http.Request) {
		p.applyToSelected(w, r, func(e *Endpoint) error { return e.Leave(r.Context(), p.settings.EntryVMs, 0) })
	})
	p.registerGauges(registry)
	return mux
}

func (p *Process) registerGauges(registry metrics.Registry) {
	sumGauge := func(value func(Status) int64) metrics.Gauge {
		return metrics.NewFunctionalGauge(func() int64 {
			var n int64
			for _, e := range p.endpoints {
				n += value(e.Status())
			}
			return n
		})
	}
	registry.Register("running", sumGauge(func(s Status) int64 { return int64(s.Running) }))
	registry.Register("waiting", sumGauge(func(s Status) int64 { return int64(s.Waiting) }))
	registry.Register("connections", sumGauge(func(s Status) int64 { return int64(s.OpenConnections) }))
	registry.Register("runs", sumGauge(func(s Status) int64 { return int64(s.Counts.Runs) }))
	registry.Register("shed", sumGauge(func(s Status) int64 { return int64(s.Counts.Shed) }))
}

// defaultPageSize is the maximum number of runs in a response if the request has no limit.
const defaultPageSize = 10_000

func (p *Process) serveRuns(w http.ResponseWriter, r *http.Request) {
	afterNumber, err := queryNumber(r, "after", 0)
	if !checkError(w, err) {
		return
	}
	limit, err := queryNumber(r, "most", defaultPageSize)
	if !checkError(w, err) {
		return
	}
	writeJSON(w, p.runLog.After(afterNumber, int(min(limit, 100_000))))
}

func queryNumber(r *http.Request, name string, defaultValue uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	return n, fault.Wrap(err, fault.Invalid, "read query", name)
}

// selectEndpoints returns the endpoints that match the query parameters.
func (p *Process) selectEndpoints(r *http.Request) []*Endpoint {
	var list []*Endpoint
	q := r.URL.Query()
	match := func(name, value string) bool { return q.Get(name) == "" || q.Get(name) == value }
	for _, e := range p.endpoints {
		s := e.Status()
		if match("address", string(s.Address)) && match("domain", string(s.Domain)) && match("service", string(s.Service)) {
			list = append(list, e)
		}
	}
	return list
}

// applyToSelected applies change to the selected endpoints and responds with their number or the first error.
func (p *Process) applyToSelected(w http.ResponseWriter, r *http.Request, change func(*Endpoint) error) {
	list := p.selectEndpoints(r)
	if len(list) == 0 {
		checkError(w, fault.New(fault.NotFound, "choose endpoints", "", "no endpoint matches the query %q", r.URL.RawQuery))
		return
	}
	for _, e := range list {
		if !checkError(w, change(e)) {
			return
		}
	}
	writeJSON(w, struct {
		Endpoints int `json:"endpoints"`
	}{len(list)})
}

func decodeBody(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	return checkError(w, fault.Wrap(err, fault.Invalid, "read body", ""))
}

// checkError reports whether err is nil; otherwise it writes err as the response.
func checkError(w http.ResponseWriter, err error) bool {
	if err == nil {
		return true
	}
	f := fault.Of(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(f.Code.HTTPStatus())
	json.NewEncoder(w).Encode(f)
	return false
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}

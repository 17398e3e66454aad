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

// Admin serves the admin interface of a process with endpoints.
//
// Endpoints are chosen by the query parameters address, domain and service;
// all given ones must match, and none chooses every endpoint.
func (p *Process) Admin() http.Handler {
	registry := metrics.NewRegistry()
	mux := http.NewServeMux()
	mux.Handle("/", process.AdminHandler(registry, func() bool { return true }))
	mux.HandleFunc("GET /v1/runs", p.serveRuns)
	mux.HandleFunc("DELETE /v1/runs", func(http.ResponseWriter, *http.Request) { p.record.Clear() })
	mux.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, r *http.Request) {
		list := []Status{}
		for _, e := range p.chosen(r) {
			list = append(list, e.Status())
		}
		reply(w, list)
	})
	mux.HandleFunc("PUT /v1/fault", func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		if read(w, r, &f) && accept(w, f.check()) {
			p.each(w, r, func(e *Endpoint) error { e.SetFault(f); return nil })
		}
	})
	mux.HandleFunc("PUT /v1/report", func(w http.ResponseWriter, r *http.Request) {
		var report Reporting
		if read(w, r, &report) && accept(w, report.check()) {
			p.each(w, r, func(e *Endpoint) error { e.SetReporting(report); return nil })
		}
	})
	mux.HandleFunc("PUT /v1/size", func(w http.ResponseWriter, r *http.Request) {
		var size struct {
			Slots       ident.Slots       `json:"slots"`
			Connections ident.Connections `json:"connections"`
		}
		if read(w, r, &size) {
			p.each(w, r, func(e *Endpoint) error { e.Resize(size.Slots, size.Connections); return nil })
		}
	})
	mux.HandleFunc("POST /v1/kill", func(w http.ResponseWriter, r *http.Request) {
		p.each(w, r, func(e *Endpoint) error { e.Kill(); return nil })
	})
	mux.HandleFunc("POST /v1/cool", func(w http.ResponseWriter, r *http.Request) {
		p.each(w, r, func(e *Endpoint) error { e.Cool(); return nil })
	})
	mux.HandleFunc("POST /v1/start", func(w http.ResponseWriter, r *http.Request) {
		p.each(w, r, func(e *Endpoint) error {
			if e.Status().Up {
				return nil
			}
			return e.Start()
		})
	})
	mux.HandleFunc("POST /v1/leave", func(w http.ResponseWriter, r *http.Request) {
		p.each(w, r, func(e *Endpoint) error { return e.Leave(r.Context(), p.set.Entries, 0) })
	})
	p.gauges(registry)
	return mux
}

func (p *Process) gauges(registry metrics.Registry) {
	sum := func(of func(Status) int64) metrics.Gauge {
		return metrics.NewFunctionalGauge(func() int64 {
			var n int64
			for _, e := range p.endpoints {
				n += of(e.Status())
			}
			return n
		})
	}
	registry.Register("running", sum(func(s Status) int64 { return int64(s.Running) }))
	registry.Register("waiting", sum(func(s Status) int64 { return int64(s.Waiting) }))
	registry.Register("connections", sum(func(s Status) int64 { return int64(s.Open) }))
	registry.Register("runs", sum(func(s Status) int64 { return int64(s.Counts.Runs) }))
	registry.Register("shed", sum(func(s Status) int64 { return int64(s.Counts.Shed) }))
}

// pageSize is the number of runs in one page unless the request asks for another.
const pageSize = 10_000

func (p *Process) serveRuns(w http.ResponseWriter, r *http.Request) {
	after, err := number(r, "after", 0)
	if !accept(w, err) {
		return
	}
	most, err := number(r, "most", pageSize)
	if !accept(w, err) {
		return
	}
	reply(w, p.record.After(after, int(min(most, 100_000))))
}

func number(r *http.Request, name string, otherwise uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return otherwise, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	return n, fault.Wrap(err, fault.Invalid, "read query", name)
}

// chosen returns the endpoints that the query selects.
func (p *Process) chosen(r *http.Request) []*Endpoint {
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

// each applies change to the chosen endpoints and answers with their number.
func (p *Process) each(w http.ResponseWriter, r *http.Request, change func(*Endpoint) error) {
	list := p.chosen(r)
	if len(list) == 0 {
		accept(w, fault.New(fault.NotFound, "choose endpoints", "", "no endpoint matches %q", r.URL.RawQuery))
		return
	}
	for _, e := range list {
		if !accept(w, change(e)) {
			return
		}
	}
	reply(w, struct {
		Endpoints int `json:"endpoints"`
	}{len(list)})
}

func read(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	return accept(w, fault.Wrap(err, fault.Invalid, "read body", ""))
}

// accept reports whether err is nil, and answers with it otherwise.
func accept(w http.ResponseWriter, err error) bool {
	if err == nil {
		return true
	}
	f := fault.Of(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(f.Code.HTTPStatus())
	json.NewEncoder(w).Encode(f)
	return false
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}

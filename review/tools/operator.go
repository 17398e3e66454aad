package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operator sends orders to the control plane.
type operator struct {
	f      *fleet
	client *http.Client
	next   int // core that gets the next call
	base   uint64
}

func newOperator(f *fleet) *operator {
	return &operator{f: f, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// call sends one call to one core and returns the status, 0 without an answer, and the body.
func (o *operator) call(core int, method, path string, base uint64, body []byte) (int, []byte) {
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", o.f.cores[core].ip, controlPort, path), bytes.NewReader(body))
	if err != nil {
		o.f.rec.cannotRun("%v", err)
	}
	if method == http.MethodPost {
		r.Header.Set("Base-Version", fmt.Sprintf("%08x", base))
		r.Header.Set("Content-Type", "application/json")
	}
	response, err := o.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// order repeats a call at one core after the other until it has a clear answer, and returns its status.
func (o *operator) order(path string, base uint64, body []byte, patience time.Duration) int {
	for end := time.Now().Add(patience); time.Now().Before(end); {
		core := o.next % len(o.f.cores)
		o.next++
		status, data := o.call(core, http.MethodPost, path, base, body)
		o.f.rec.note("operator: POST %s (base %08x, %d bytes) at %s: %d %.120s", path, base, len(body), o.f.cores[core].name, status, bytes.TrimSpace(data))
		if status != 0 && status < 500 {
			return status
		}
		time.Sleep(150 * time.Millisecond)
	}
	return 0
}

// replace sends a complete config.
func (o *operator) replace(version uint64, config map[string]any, patience time.Duration) int {
	config["version"] = fmt.Sprintf("%08x", version)
	body, err := json.Marshal(config)
	if err != nil {
		o.f.rec.cannotRun("%v", err)
	}
	status := o.order("/configuration/replace", o.base, body, patience)
	if status == 200 {
		o.base = version
	}
	return status
}

// route returns a route of a config.
func route(prefix, kind, timeout, service string, attempts int) map[string]any {
	return map[string]any{"host": "jepu9.example", "pathPrefix": prefix, "kind": kind, "timeout": timeout, "targetLatency": "800ms", "priority": 1,
		"service": service, "attempts": attempts, "allowAnonymous": false, "stickySessions": false, "homeRegions": []string{}}
}

func service() map[string]any {
	return map[string]any{"healthCheckPath": "/health", "connectionLimit": 390, "protocol": "h1", "tls": false, "coldStart": "3s", "coldPerS": 3.7}
}

func limits() map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"}
}

// awaitReady waits until all edges say that they are ready.
func (f *fleet) awaitReady(patience time.Duration) {
	end := time.Now().Add(patience)
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for _, e := range f.edges {
		for {
			response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", e.ip, readinessPort))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				f.rec.cannotRun("%s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// Times of announcements; the fleet suspects an upstream after 3 s without renewal.
const (
	renewEvery   = time.Second
	retryAfter   = 200 * time.Millisecond
	announceWait = 3 * time.Second // an announcement is answered after commit, which may need an election
	renewWait    = time.Second
)

// announcement is the body of announce, renew and leave.
type announcement struct {
	Service     ident.Service     `json:"service"`
	Address     ident.Address     `json:"address"`
	Domain      ident.Domain      `json:"domain"`
	Slots       ident.Slots       `json:"slots"`
	Connections ident.Connections `json:"connections"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Load        int64             `json:"load"`
}

// herald tells entry VMs about an endpoint; it goes on to the next address when one fails.
type herald struct {
	entries []string
	client  *http.Client
	clock   clock.Clock
	next    int // index of the entry VM to try first
}

func newHerald(entries []string, c clock.Clock, first int) *herald {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second}
	h := &herald{entries: entries, client: &http.Client{Transport: transport}, clock: c}
	if len(entries) > 0 {
		h.next = first % len(entries)
	}
	return h
}

// post sends one message, trying every address once, and returns the address that took it.
func (h *herald) post(ctx context.Context, verb string, wait time.Duration, a announcement) (ident.Address, error) {
	body, err := json.Marshal(a)
	if err != nil {
		return "", fault.Wrap(err, fault.Internal, verb, "")
	}
	var last error
	for range h.entries {
		address := h.entries[h.next]
		last = h.postTo(ctx, address, verb, wait, body)
		if last == nil {
			return ident.Address(address), nil
		}
		if fault.Of(last).Code == fault.NotFound {
			return "", last // any entry VM would say the same
		}
		h.next = (h.next + 1) % len(h.entries)
	}
	return "", last
}

func (h *herald) postTo(ctx context.Context, address, verb string, wait time.Duration, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	url := "http://" + address + "/cuminfall/v1/" + verb
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(err, fault.Internal, verb, address)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := h.client.Do(request)
	if err != nil {
		return fault.Wrap(err, fault.Unreachable, verb, address)
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, 4096))
	if response.StatusCode/100 == 2 {
		return nil
	}
	code := fault.Upstream
	if response.StatusCode == http.StatusNotFound {
		code = fault.NotFound
	}
	return fault.New(code, verb, address, "status %d: %s", response.StatusCode, bytes.TrimSpace(text))
}

// Announce keeps the endpoint announced until ctx ends.
func (e *Endpoint) Announce(ctx context.Context, entries []string, first int) {
	h := newHerald(entries, e.clock, first)
	var known ident.Incarnation
	for ctx.Err() == nil {
		a, announce := e.announcement()
		wait := renewEvery
		switch {
		case !announce:
		case a.Incarnation != known:
			if e.tell(ctx, h, "announce", announceWait, a) == nil {
				known = a.Incarnation
			} else {
				wait = retryAfter
			}
		default:
			if err := e.tell(ctx, h, "renew", renewWait, a); fault.Of(err) != nil && fault.Of(err).Code == fault.NotFound {
				known = 0
				wait = retryAfter
			}
		}
		clock.Sleep(ctx, e.clock, wait)
	}
}

// announcement returns the message for the present state, and whether the endpoint wants to be known.
func (e *Endpoint) announcement() (announcement, bool) {
	load, _ := e.Load()
	e.mu.Lock()
	defer e.mu.Unlock()
	return announcement{
		Service: e.set.Service, Address: e.set.Address, Domain: e.set.Domain, Slots: e.set.Slots,
		Connections: e.set.Connections, Incarnation: e.incarnation, Load: load,
	}, e.server != nil && !e.leaving
}

func (e *Endpoint) tell(ctx context.Context, h *herald, verb string, wait time.Duration, a announcement) error {
	address, err := h.post(ctx, verb, wait, a)
	if err != nil {
		if ctx.Err() == nil {
			e.log.WithError(err).WithField("verb", verb).Warn("no entry VM took the message")
		}
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.announced = address
	return nil
}

// Leave tells the fleet that the endpoint wants no new work.
func (e *Endpoint) Leave(ctx context.Context, entries []string, first int) error {
	a, _ := e.announcement()
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	if len(entries) == 0 {
		return nil
	}
	return e.tell(ctx, newHerald(entries, e.clock, first), "leave", announceWait, a)
}

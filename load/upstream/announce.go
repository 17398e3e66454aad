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

// Intervals and timeouts of announcements; the fleet suspects an upstream after 3 s without a renewal.
const (
	renewInterval   = time.Second
	retryInterval   = 200 * time.Millisecond
	announceTimeout = 3 * time.Second // the response follows the commit, which may have to wait for an election
	renewTimeout    = time.Second
)

// announcement is the request body of announce, renew and leave.
type announcement struct {
	Service     ident.Service     `json:"service"`
	Address     ident.Address     `json:"address"`
	Domain      ident.Domain      `json:"domain"`
	Slots       ident.Slots       `json:"slots"`
	Connections ident.Connections `json:"connections"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Load        int64             `json:"load"`
}

// announcer sends an endpoint's announcements to an entry VM, and moves to the next VM when one fails.
type announcer struct {
	entryVMs  []string
	client    *http.Client
	clock     clock.Clock
	nextEntry int // index in entryVMs of the VM to try first
}

func newAnnouncer(entryVMs []string, c clock.Clock, firstEntry int) *announcer {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second}
	a := &announcer{entryVMs: entryVMs, client: &http.Client{Transport: transport}, clock: c}
	if len(entryVMs) > 0 {
		a.nextEntry = firstEntry % len(entryVMs)
	}
	return a
}

// post sends one message, trying each entry VM at most once, and returns the address that accepted it.
func (a *announcer) post(ctx context.Context, verb string, timeout time.Duration, message announcement) (ident.Address, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return "", fault.Wrap(err, fault.Internal, verb, "")
	}
	var lastErr error
	for range a.entryVMs {
		address := a.entryVMs[a.nextEntry]
		lastErr = a.postTo(ctx, address, verb, timeout, body)
		if lastErr == nil {
			return ident.Address(address), nil
		}
		if fault.Of(lastErr).Code == fault.NotFound {
			return "", lastErr // every entry VM would give the same response
		}
		a.nextEntry = (a.nextEntry + 1) % len(a.entryVMs)
	}
	return "", lastErr
}

func (a *announcer) postTo(ctx context.Context, address, verb string, timeout time.Duration, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	url := "http://" + address + "/cuminfall/v1/" + verb
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(err, fault.Internal, verb, address)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(request)
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

// KeepAnnounced announces the endpoint and renews the announcement until ctx ends, trying entryVMs[firstEntry] first.
func (e *Endpoint) KeepAnnounced(ctx context.Context, entryVMs []string, firstEntry int) {
	to := newAnnouncer(entryVMs, e.clock, firstEntry)
	var announced ident.Incarnation
	for ctx.Err() == nil {
		message, active := e.announcement()
		wait := renewInterval
		switch {
		case !active:
		case message.Incarnation != announced:
			if e.sendAnnouncement(ctx, to, "announce", announceTimeout, message) == nil {
				announced = message.Incarnation
			} else {
				wait = retryInterval
			}
		default:
			if err := e.sendAnnouncement(ctx, to, "renew", renewTimeout, message); fault.Of(err) != nil && fault.Of(err).Code == fault.NotFound {
				announced = 0
				wait = retryInterval
			}
		}
		clock.Sleep(ctx, e.clock, wait)
	}
}

// announcement returns the message for the current state, and whether the endpoint is up and not leaving.
func (e *Endpoint) announcement() (announcement, bool) {
	load, _ := e.Load()
	e.mu.Lock()
	defer e.mu.Unlock()
	return announcement{
		Service: e.settings.Service, Address: e.settings.Address, Domain: e.settings.Domain, Slots: e.settings.Slots,
		Connections: e.settings.MaxConnections, Incarnation: e.incarnation, Load: load,
	}, e.server != nil && !e.leaving
}

func (e *Endpoint) sendAnnouncement(ctx context.Context, to *announcer, verb string, timeout time.Duration, message announcement) error {
	address, err := to.post(ctx, verb, timeout, message)
	if err != nil {
		if ctx.Err() == nil {
			e.log.WithError(err).WithField("verb", verb).Warn("no entry VM accepted the announcement")
		}
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.announcedTo = address
	return nil
}

// Leave tells the fleet to send no new requests to the endpoint.
func (e *Endpoint) Leave(ctx context.Context, entryVMs []string, firstEntry int) error {
	message, _ := e.announcement()
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	if len(entryVMs) == 0 {
		return nil
	}
	return e.sendAnnouncement(ctx, newAnnouncer(entryVMs, e.clock, firstEntry), "leave", announceTimeout, message)
}

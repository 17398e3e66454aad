package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"cuminfall.example/entry/forward"
	"cuminfall.example/entry/router"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/exactjson"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
	"cuminfall.example/fleet/settings"
)

const apiPrefix = "/cuminfall/v1/"

// commitTimeout limits calls that control commits. It is long enough for one election.
const commitTimeout = 3 * time.Second

// stoppingCommitTimeout replaces commitTimeout during a graceful shutdown, so that a stop of the whole
// fleet does not wait for an unreachable control group. An upstream that gets no response calls the
// next VM.
const stoppingCommitTimeout = 500 * time.Millisecond

// commitDeadline returns the deadline of a call that control commits.
func (g *Gateway) commitDeadline() time.Time {
	timeout := commitTimeout
	if g.stopping.Load() {
		timeout = stoppingCommitTimeout
	}
	return g.Clock.Now().Add(timeout)
}

// maxMessageBytes is the largest body of a call to the gateway's own API.
const maxMessageBytes = 16 << 10

func isAPIPath(path string) bool { return strings.HasPrefix(path, apiPrefix) }

func (g *Gateway) registerAPI() {
	g.mux = http.NewServeMux()
	g.mux.HandleFunc("GET "+apiPrefix+"lookup", g.lookup)
	g.mux.HandleFunc("POST "+apiPrefix+"announce", g.announce)
	g.mux.HandleFunc("POST "+apiPrefix+"renew", g.renew)
	g.mux.HandleFunc("POST "+apiPrefix+"leave", g.leave)
	g.mux.HandleFunc("POST "+apiPrefix+"verdict", g.verdict)
	g.mux.HandleFunc(apiPrefix, func(w http.ResponseWriter, r *http.Request) {
		writeFault(w, fault.New(fault.NotFound, "route", "", "there is no API call %s %s", r.Method, r.URL.Path), false)
	})
}

// writeFault responds with an error. For routed requests the response also states whether the
// request ran.
func writeFault(w http.ResponseWriter, f *fault.Error, routed bool) {
	h := w.Header()
	h["Content-Type"] = []string{"application/json"}
	if routed {
		h[forward.ExecutionHeader] = []string{string(f.Execution)}
	}
	if f.RetryAfter > 0 {
		h["Retry-After"] = []string{strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64)}
	}
	w.WriteHeader(f.Code.HTTPStatus())
	// An error here means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(f)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header()["Content-Type"] = []string{"application/json"}
	_ = json.NewEncoder(w).Encode(value)
}

// lookupVM is a VM in the response to a lookup.
type lookupVM struct {
	Name    ident.VM      `json:"name"`
	Address ident.Address `json:"address"`
	Region  ident.Region  `json:"region"`
}

// lookupResponse is the response to a lookup. Lifetime has the format of a Go duration.
type lookupResponse struct {
	VMs      []lookupVM `json:"vms"`
	Lifetime string     `json:"lifetime"`
}

func (g *Gateway) lookup(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	service, workspace := query.Get("service"), query.Get("workspace")
	if service == "" || workspace == "" || len(query["service"]) > 1 || len(query["workspace"]) > 1 {
		writeFault(w, fault.New(fault.Invalid, "lookup", r.RemoteAddr, "service and workspace are required, each once"), false)
		return
	}
	var client netip.Addr
	if remoteAddr, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		client = remoteAddr.Addr().Unmap()
	}
	var buf [router.MaxLookupVMs]router.VM
	g.mu.Lock()
	vms := g.Router.Lookup(ident.Service(service), ident.Workspace(workspace), client, buf[:0])
	lifetime := g.Router.LookupLifetime()
	g.mu.Unlock()
	if len(vms) == 0 {
		writeFault(w, fault.New(fault.NotFound, "lookup", r.RemoteAddr, "no VM serves service %q", service), false)
		return
	}
	response := lookupResponse{VMs: make([]lookupVM, len(vms)), Lifetime: lifetime.String()}
	for i, vm := range vms {
		response.VMs[i] = lookupVM{Name: vm.Name, Address: vm.Address, Region: vm.Region}
	}
	writeJSON(w, response)
}

// announcement is the body of the announce, leave and renew calls of an upstream.
type announcement struct {
	Service     ident.Service     `json:"service"`
	Address     ident.Address     `json:"address"`
	Domain      ident.Domain      `json:"domain"`
	Slots       ident.Slots       `json:"slots"`
	Connections ident.Connections `json:"connections"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Load        int64             `json:"load"` // slots in use
}

// decodeBody decodes the body of a call. If the body is invalid, it responds with an error, logs it
// and returns false.
func (g *Gateway) decodeBody(w http.ResponseWriter, r *http.Request, step string, dest any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
	if err == nil {
		d := json.NewDecoder(bytes.NewReader(body))
		d.DisallowUnknownFields()
		err = d.Decode(dest)
	}
	if err == nil {
		err = exactjson.Unmarshal(body, dest)
	}
	if err != nil {
		g.reject(w, fault.New(fault.Invalid, step, r.RemoteAddr, "invalid request body: %v", err))
		return false
	}
	return true
}

func (g *Gateway) reject(w http.ResponseWriter, f *fault.Error) {
	g.Log.WithField("step", f.Step).WithField("peer", f.Peer).WithField("code", f.Code).Info(f.Message)
	writeFault(w, f, false)
}

// validate returns the first error of an announcement, and brings its address into the form in which it is kept.
func (a *announcement) validate(step, peer string) *fault.Error {
	if _, err := netip.ParseAddrPort(string(a.Address)); err != nil {
		return fault.New(fault.Invalid, step, peer, "address must be IP:port")
	}
	a.Address = ident.Address(document.CanonicalAddress(string(a.Address)))
	if a.Incarnation == 0 {
		return fault.New(fault.Invalid, step, peer, "incarnation must be above 0")
	}
	if a.Load < 0 {
		return fault.New(fault.Invalid, step, peer, "load must be 0 or more")
	}
	if step != "announce" {
		return nil
	}
	if !settings.ValidName(string(a.Service)) || !settings.ValidName(string(a.Domain)) {
		return fault.New(fault.Invalid, step, peer, "service and domain must be valid names")
	}
	if a.Slots == 0 {
		return fault.New(fault.Invalid, step, peer, "slots must be above 0")
	}
	return nil
}

func (g *Gateway) announce(w http.ResponseWriter, r *http.Request) {
	g.register(w, r, "announce", false)
}

func (g *Gateway) leave(w http.ResponseWriter, r *http.Request) { g.register(w, r, "leave", true) }

// register sends an announcement or its withdrawal to control, and responds after the commit.
func (g *Gateway) register(w http.ResponseWriter, r *http.Request, step string, leaving bool) {
	var a announcement
	if !g.decodeBody(w, r, step, &a) {
		return
	}
	if f := a.validate(step, r.RemoteAddr); f != nil {
		g.reject(w, f)
		return
	}
	index, err := g.Control.Announce(r.Context(), g.commitDeadline(), &rpc.Upstream{
		Service: string(a.Service), Address: string(a.Address), Domain: string(a.Domain), Slots: uint32(a.Slots),
		Connections: uint32(a.Connections), Incarnation: uint64(a.Incarnation), Leaving: leaving, Load: a.Load,
	})
	g.writeIndex(w, step, index, err)
}

func (g *Gateway) writeIndex(w http.ResponseWriter, step string, index ident.Index, err error) {
	if err != nil {
		f := *fault.Of(err)
		if f.Step == "" {
			f.Step = step
		}
		g.reject(w, &f)
		return
	}
	writeJSON(w, struct {
		Index ident.Index `json:"index"`
	}{index})
}

// renew extends an announcement. The next sync carries the renewal to control.
func (g *Gateway) renew(w http.ResponseWriter, r *http.Request) {
	var a announcement
	if !g.decodeBody(w, r, "renew", &a) {
		return
	}
	if f := a.validate("renew", r.RemoteAddr); f != nil {
		g.reject(w, f)
		return
	}
	g.mu.Lock()
	upstream := g.upstreams[a.Address]
	// Without a registry, all renewals are accepted: control ignores those of unknown upstreams.
	ok := g.upstreams == nil || upstream != nil && upstream.Incarnation == uint64(a.Incarnation)
	if ok {
		g.renewals[a.Address] = &rpc.Renewal{Address: string(a.Address), Incarnation: uint64(a.Incarnation), Load: a.Load}
	}
	g.mu.Unlock()
	if !ok {
		writeFault(w, fault.New(fault.NotFound, "renew", r.RemoteAddr, "%s is not announced with this incarnation", a.Address), false)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// verdictRequest is a verdict of the monitoring group; State is up or down.
type verdictRequest struct {
	Target string `json:"target"`
	Kind   string `json:"kind"`
	State  string `json:"state"`
	ID     string `json:"id"`
	After  uint64 `json:"after"` // index of the newest verdict on the target that its sender knows; 0 makes it count whatever came before
}

func (g *Gateway) verdict(w http.ResponseWriter, r *http.Request) {
	var v verdictRequest
	if !g.decodeBody(w, r, "verdict", &v) {
		return
	}
	scheme, secret, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if len(r.Header["Authorization"]) != 1 || !strings.EqualFold(scheme, "Bearer") || secret == "" {
		g.reject(w, fault.New(fault.InvalidCredential, "verdict", r.RemoteAddr, "one Authorization: Bearer CREDENTIAL is required"))
		return
	}
	if v.Kind == string(document.EndpointKind) {
		v.Target = document.CanonicalAddress(v.Target)
	}
	if v.State != "up" && v.State != "down" || v.Target == "" || v.Kind == "" || v.ID == "" {
		g.reject(w, fault.New(fault.Invalid, "verdict", r.RemoteAddr, "target, kind, id and state up or down are required"))
		return
	}
	index, err := g.Control.SetVerdict(r.Context(), g.commitDeadline(), &rpc.JudgeRequest{
		Verdict:    &rpc.Verdict{Kind: v.Kind, Target: v.Target, Down: v.State == "down", Id: v.ID, Index: v.After},
		Credential: strings.TrimSpace(secret),
	})
	g.writeIndex(w, "verdict", index, err)
}

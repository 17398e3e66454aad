package gateway

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"cuminfall.example/entry/forward"
	"cuminfall.example/entry/router"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
	"cuminfall.example/fleet/settings"
)

const prefix = "/cuminfall/v1/"

// controlWait bounds calls that control commits; it spans one election.
const controlWait = 3 * time.Second

// stopWait replaces controlWait during a planned stop, so that a stop of the
// whole fleet does not wait for a control group that is gone. An upstream that
// gets no answer asks the next VM.
const stopWait = 500 * time.Millisecond

// commitBy returns until when a call that control commits is tried.
func (g *Gateway) commitBy() time.Time {
	wait := controlWait
	if g.closing.Load() {
		wait = stopWait
	}
	return g.Clock.Now().Add(wait)
}

// messageMost is the largest body of the system's own calls.
const messageMost = 16 << 10

func own(path string) bool { return strings.HasPrefix(path, prefix) }

func (g *Gateway) routes() {
	g.mux = http.NewServeMux()
	g.mux.HandleFunc("GET "+prefix+"lookup", g.lookup)
	g.mux.HandleFunc("POST "+prefix+"announce", g.announce)
	g.mux.HandleFunc("POST "+prefix+"renew", g.renew)
	g.mux.HandleFunc("POST "+prefix+"leave", g.leave)
	g.mux.HandleFunc("POST "+prefix+"verdict", g.verdict)
	g.mux.HandleFunc(prefix, func(w http.ResponseWriter, r *http.Request) {
		writeFault(w, fault.New(fault.NotFound, "route", "", "no call %s %s", r.Method, r.URL.Path), false)
	})
}

// writeFault answers with an error; routed requests also say whether they ran.
func writeFault(w http.ResponseWriter, f *fault.Error, routed bool) {
	h := w.Header()
	h["Content-Type"] = []string{"application/json"}
	if routed {
		h[forward.RunHeader] = []string{string(f.Execution)}
	}
	w.WriteHeader(f.Code.HTTPStatus())
	// An error here means that the caller went away.
	_ = json.NewEncoder(w).Encode(f)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header()["Content-Type"] = []string{"application/json"}
	_ = json.NewEncoder(w).Encode(value)
}

// lookupVM is a VM in the answer to a lookup.
type lookupVM struct {
	Name    ident.VM      `json:"name"`
	Address ident.Address `json:"address"`
	Region  ident.Region  `json:"region"`
}

// lookupAnswer is the answer to a lookup; Lifetime is a Go duration.
type lookupAnswer struct {
	VMs      []lookupVM `json:"vms"`
	Lifetime string     `json:"lifetime"`
}

func (g *Gateway) lookup(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	service, workspace := query.Get("service"), query.Get("workspace")
	if service == "" || workspace == "" {
		writeFault(w, fault.New(fault.Invalid, "lookup", r.RemoteAddr, "service and workspace are required"), false)
		return
	}
	var client netip.Addr
	if from, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		client = from.Addr().Unmap()
	}
	var space [router.MaxLookupVMs]router.VM
	g.mu.Lock()
	vms := g.Router.Lookup(ident.Service(service), ident.Workspace(workspace), client, space[:0])
	lifetime := g.Router.Lifetime()
	g.mu.Unlock()
	if len(vms) == 0 {
		writeFault(w, fault.New(fault.NotFound, "lookup", r.RemoteAddr, "no VM is known for service %q", service), false)
		return
	}
	answer := lookupAnswer{VMs: make([]lookupVM, len(vms)), Lifetime: lifetime.String()}
	for i, vm := range vms {
		answer.VMs[i] = lookupVM{Name: vm.Name, Address: vm.Address, Region: vm.Region}
	}
	writeJSON(w, answer)
}

// announcement is what an upstream says of itself.
type announcement struct {
	Service     ident.Service     `json:"service"`
	Address     ident.Address     `json:"address"`
	Domain      ident.Domain      `json:"domain"`
	Slots       ident.Slots       `json:"slots"`
	Connections ident.Connections `json:"connections"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Load        int64             `json:"load"` // used slots
}

// read decodes the body of a call and logs what is wrong with it.
func (g *Gateway) read(w http.ResponseWriter, r *http.Request, step string, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, messageMost))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		g.reject(w, fault.New(fault.Invalid, step, r.RemoteAddr, "body is not valid: %v", err))
		return false
	}
	return true
}

func (g *Gateway) reject(w http.ResponseWriter, f *fault.Error) {
	g.Log.WithField("step", f.Step).WithField("peer", f.Peer).WithField("code", f.Code).Info(f.Message)
	writeFault(w, f, false)
}

// check returns the first fault of an announcement.
func (a *announcement) check(step, peer string) *fault.Error {
	if _, err := netip.ParseAddrPort(string(a.Address)); err != nil {
		return fault.New(fault.Invalid, step, peer, "address must be IP:port")
	}
	if a.Incarnation == 0 {
		return fault.New(fault.Invalid, step, peer, "incarnation must be over 0")
	}
	if a.Load < 0 {
		return fault.New(fault.Invalid, step, peer, "load must be 0 or more")
	}
	if step != "announce" {
		return nil
	}
	if !settings.ValidName(string(a.Service)) || !settings.ValidName(string(a.Domain)) {
		return fault.New(fault.Invalid, step, peer, "service and domain must be names")
	}
	if a.Slots == 0 {
		return fault.New(fault.Invalid, step, peer, "slots must be over 0")
	}
	return nil
}

func (g *Gateway) announce(w http.ResponseWriter, r *http.Request) {
	g.register(w, r, "announce", false)
}

func (g *Gateway) leave(w http.ResponseWriter, r *http.Request) { g.register(w, r, "leave", true) }

// register passes an announcement or its withdrawal to control and answers after the commit.
func (g *Gateway) register(w http.ResponseWriter, r *http.Request, step string, leaving bool) {
	var a announcement
	if !g.read(w, r, step, &a) {
		return
	}
	if f := a.check(step, r.RemoteAddr); f != nil {
		g.reject(w, f)
		return
	}
	index, err := g.Control.Announce(r.Context(), g.commitBy(), &rpc.Upstream{
		Service: string(a.Service), Address: string(a.Address), Domain: string(a.Domain), Slots: uint32(a.Slots),
		Connections: uint32(a.Connections), Incarnation: uint64(a.Incarnation), Leaving: leaving, Load: a.Load,
	})
	g.answerIndex(w, step, index, err)
}

func (g *Gateway) answerIndex(w http.ResponseWriter, step string, index ident.Index, err error) {
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

// renew keeps an announcement alive; the next sync carries it to control.
func (g *Gateway) renew(w http.ResponseWriter, r *http.Request) {
	var a announcement
	if !g.read(w, r, "renew", &a) {
		return
	}
	if f := a.check("renew", r.RemoteAddr); f != nil {
		g.reject(w, f)
		return
	}
	g.mu.Lock()
	known := g.upstream[a.Address]
	// Before the first registry nothing is known, and control ignores what it does not know.
	ok := g.upstream == nil || known != nil && known.Incarnation == uint64(a.Incarnation)
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

// verdictMessage is a verdict of the monitoring group; State is up or down.
type verdictMessage struct {
	Target string `json:"target"`
	Kind   string `json:"kind"`
	State  string `json:"state"`
	ID     string `json:"id"`
}

func (g *Gateway) verdict(w http.ResponseWriter, r *http.Request) {
	var v verdictMessage
	if !g.read(w, r, "verdict", &v) {
		return
	}
	scheme, secret, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if len(r.Header["Authorization"]) != 1 || !strings.EqualFold(scheme, "Bearer") || secret == "" {
		g.reject(w, fault.New(fault.Credential, "verdict", r.RemoteAddr, "one Authorization: Bearer CREDENTIAL is required"))
		return
	}
	if v.State != "up" && v.State != "down" || v.Target == "" || v.Kind == "" || v.ID == "" {
		g.reject(w, fault.New(fault.Invalid, "verdict", r.RemoteAddr, "target, kind, id and state up or down are required"))
		return
	}
	index, err := g.Control.Judge(r.Context(), g.commitBy(), &rpc.JudgeRequest{
		Verdict:    &rpc.Verdict{Kind: v.Kind, Target: v.Target, Down: v.State == "down", Id: v.ID},
		Credential: strings.TrimSpace(secret),
	})
	g.answerIndex(w, "verdict", index, err)
}

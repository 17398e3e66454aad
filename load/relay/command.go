package relay

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/settings"
	"cuminfall.example/load/command"
)

// Options are the flags of load relay.
type Options struct {
	Settings string
	Check    bool
}

// Command returns the command load relay.
func Command() command.Command {
	return command.Command{Name: "relay", Summary: "pass TCP connections on with delay, cuts and silence", Run: run}
}

func run(c command.Console, args []string) error {
	var o Options
	set := command.Flags(c, "relay", "--settings FILE",
		"load relay --settings relay.toml",
		`curl -X PUT 'http://127.0.0.1:7910/v1/links?name=lappi-uusimaa' -d '{"delay":"55ms","rate":280,"cut":"back"}'`,
		"curl -X POST 'http://127.0.0.1:7910/v1/silence?name=lappi-uusimaa'",
		"curl 'http://127.0.0.1:7910/v1/links'")
	set.StringVar(&o.Settings, "settings", "", "TOML `file` with the links")
	set.BoolVar(&o.Check, "check", false, "check the settings and exit")
	if err := command.Parse(set, args, "settings"); err != nil {
		return err
	}
	s := Defaults()
	if err := settings.Load(o.Settings, &s); err != nil || o.Check {
		return err
	}
	ctx, cancel := process.SignalContext(context.Background())
	defer cancel()
	return New(s, c).Run(ctx)
}

// Process is a set of links with one admin address.
type Process struct {
	set   Settings
	log   *logrus.Logger
	links []*Link
}

// New returns a process that is not running yet.
func New(s Settings, c command.Console) *Process {
	p := &Process{set: s, log: process.NewLogger(c.Err, s.Level)}
	for _, l := range s.Links {
		p.links = append(p.links, NewLink(l, c.Clock, p.log))
	}
	return p
}

// Run passes connections on until ctx ends.
func (p *Process) Run(ctx context.Context) error {
	l, err := process.Listen(p.set.Admin)
	if err != nil {
		return err
	}
	admin := &http.Server{Handler: p.Admin()}
	defer admin.Close()
	go process.Serve(admin, l)
	for _, link := range p.links {
		defer link.Stop()
		if err := link.Start(); err != nil {
			return err
		}
	}
	p.log.WithFields(logrus.Fields{"admin": l.Addr().String(), "links": len(p.links)}).Info("passing")
	<-ctx.Done()
	p.log.Info("stopped")
	return nil
}

// Admin serves the admin interface. The query parameter name chooses one link; without it all are chosen.
func (p *Process) Admin() http.Handler {
	registry := metrics.NewRegistry()
	registry.Register("connections", metrics.NewFunctionalGauge(func() int64 {
		var n int64
		for _, l := range p.links {
			n += int64(l.Status().Open)
		}
		return n
	}))
	mux := http.NewServeMux()
	mux.Handle("/", process.AdminHandler(registry, func() bool { return true }))
	mux.HandleFunc("GET /v1/links", func(w http.ResponseWriter, r *http.Request) { p.each(w, r, func(*Link) {}) })
	mux.HandleFunc("PUT /v1/links", func(w http.ResponseWriter, r *http.Request) {
		var s State
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
		decoder.DisallowUnknownFields()
		err := fault.Wrap(decoder.Decode(&s), fault.Invalid, "read body", "")
		if err == nil {
			err = s.check()
		}
		if err != nil {
			refuse(w, err)
			return
		}
		p.each(w, r, func(l *Link) { l.Set(s) })
	})
	mux.HandleFunc("POST /v1/silence", func(w http.ResponseWriter, r *http.Request) { p.each(w, r, (*Link).Silence) })
	mux.HandleFunc("POST /v1/reset", func(w http.ResponseWriter, r *http.Request) { p.each(w, r, (*Link).Reset) })
	return mux
}

// each applies change to the chosen links and answers with their state.
func (p *Process) each(w http.ResponseWriter, r *http.Request, change func(*Link)) {
	name := r.URL.Query().Get("name")
	list := []Status{}
	for _, l := range p.links {
		if name == "" || name == l.set.Name {
			change(l)
			list = append(list, l.Status())
		}
	}
	if len(list) == 0 {
		refuse(w, fault.New(fault.NotFound, "choose links", "", "no link has the name %q", name))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(list)
}

func refuse(w http.ResponseWriter, err error) {
	f := fault.Of(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(f.Code.HTTPStatus())
	json.NewEncoder(w).Encode(f)
}

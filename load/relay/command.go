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

// Options holds the flags of load relay.
type Options struct {
	SettingsFile string
	CheckOnly    bool
}

// Command returns the load relay command.
func Command() command.Command {
	return command.Command{Name: "relay", Summary: "forward TCP connections with delay, cuts and silence", Run: run}
}

func run(c command.Console, args []string) error {
	var o Options
	flags := command.Flags(c, "relay", "--settings FILE",
		"load relay --settings relay.toml",
		`curl -X PUT 'http://127.0.0.1:7910/v1/links?name=lappi-uusimaa' -d '{"delay":"55ms","rate":280,"cut":"back"}'`,
		"curl -X POST 'http://127.0.0.1:7910/v1/silence?name=lappi-uusimaa'",
		"curl 'http://127.0.0.1:7910/v1/links'")
	flags.StringVar(&o.SettingsFile, "settings", "", "TOML `file` with the links")
	flags.BoolVar(&o.CheckOnly, "check", false, "check the settings and exit")
	if err := command.Parse(flags, args, "settings"); err != nil {
		return err
	}
	s := Defaults()
	if err := settings.Load(o.SettingsFile, &s); err != nil || o.CheckOnly {
		return err
	}
	ctx, cancel := process.SignalContext(context.Background())
	defer cancel()
	return New(s, c).Run(ctx)
}

// Process runs a set of links that share an admin address.
type Process struct {
	settings Settings
	log      *logrus.Logger
	links    []*Link
}

// New returns a process that doesn't forward until Run is called.
func New(s Settings, c command.Console) *Process {
	p := &Process{settings: s, log: process.NewLogger(c.Err, s.LogLevel)}
	for _, l := range s.Links {
		p.links = append(p.links, NewLink(l, c.Clock, p.log))
	}
	return p
}

// Run forwards connections until ctx ends.
func (p *Process) Run(ctx context.Context) error {
	adminListener, err := process.Listen(p.settings.Admin)
	if err != nil {
		return err
	}
	admin := &http.Server{Handler: p.AdminHandler()}
	defer admin.Close()
	go process.Serve(admin, adminListener)
	for _, link := range p.links {
		defer link.Stop()
		if err := link.Start(); err != nil {
			return err
		}
	}
	p.log.WithFields(logrus.Fields{"admin": adminListener.Addr().String(), "links": len(p.links)}).Info("passing")
	<-ctx.Done()
	p.log.Info("stopped")
	return nil
}

// AdminHandler returns the admin interface. The query parameter name selects one link; without it all links are selected.
func (p *Process) AdminHandler() http.Handler {
	registry := metrics.NewRegistry()
	registry.Register("connections", metrics.NewFunctionalGauge(func() int64 {
		var n int64
		for _, l := range p.links {
			n += int64(l.Status().OpenConnections)
		}
		return n
	}))
	mux := http.NewServeMux()
	mux.Handle("/", process.AdminHandler(registry, func() bool { return true }))
	mux.HandleFunc("GET /v1/links", func(w http.ResponseWriter, r *http.Request) { p.applyToSelected(w, r, func(*Link) {}) })
	mux.HandleFunc("PUT /v1/links", func(w http.ResponseWriter, r *http.Request) {
		var s LinkState
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
		decoder.DisallowUnknownFields()
		err := fault.Wrap(decoder.Decode(&s), fault.Invalid, "read body", "")
		if err == nil {
			err = s.check()
		}
		if err != nil {
			writeError(w, err)
			return
		}
		p.applyToSelected(w, r, func(l *Link) { l.SetState(s) })
	})
	mux.HandleFunc("POST /v1/silence", func(w http.ResponseWriter, r *http.Request) { p.applyToSelected(w, r, (*Link).SilenceConnections) })
	mux.HandleFunc("POST /v1/reset", func(w http.ResponseWriter, r *http.Request) { p.applyToSelected(w, r, (*Link).ResetConnections) })
	return mux
}

// applyToSelected applies change to the selected links and responds with their status.
func (p *Process) applyToSelected(w http.ResponseWriter, r *http.Request, change func(*Link)) {
	name := r.URL.Query().Get("name")
	list := []LinkStatus{}
	for _, l := range p.links {
		if name == "" || name == l.settings.Name {
			change(l)
			list = append(list, l.Status())
		}
	}
	if len(list) == 0 {
		writeError(w, fault.New(fault.NotFound, "choose links", "", "no link is named %q", name))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(list)
}

func writeError(w http.ResponseWriter, err error) {
	f := fault.Of(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(f.Code.HTTPStatus())
	json.NewEncoder(w).Encode(f)
}

package upstream

import (
	"context"
	"net/http"
	"sync"

	"github.com/sirupsen/logrus"

	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/settings"
	"cuminfall.example/load/command"
)

// Options are the flags of load upstream.
type Options struct {
	Settings string
	Check    bool
}

// Command returns the command load upstream.
func Command() command.Command {
	return command.Command{Name: "upstream", Summary: "run stand-in endpoints of services", Run: run}
}

func run(c command.Console, args []string) error {
	var o Options
	set := command.Flags(c, "upstream", "--settings FILE",
		"load upstream --settings upstream.toml",
		"load upstream --settings upstream.toml --check",
		`curl -X PUT 'http://127.0.0.1:7900/v1/fault?domain=lappi-a' -d '{"step":"answer","count":3}'`,
		`curl -X PUT 'http://127.0.0.1:7900/v1/report?service=forecast' -d '{"mode":"lag","lag":"5s"}'`,
		"curl 'http://127.0.0.1:7900/v1/runs?after=0'")
	set.StringVar(&o.Settings, "settings", "", "TOML `file` with the endpoints")
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

// Process is a set of endpoints with one record and one admin address.
type Process struct {
	set       Settings
	log       *logrus.Logger
	record    *Record
	endpoints []*Endpoint
}

// New returns a process that is not running yet.
func New(s Settings, c command.Console) *Process {
	p := &Process{set: s, log: process.NewLogger(c.Err, s.Level), record: NewRecord(s.Keep)}
	for i := range s.Endpoints {
		e := NewEndpoint(s.Endpoints[i], s.Links, c.Clock, p.record, p.log, s.Seed+uint64(i))
		p.endpoints = append(p.endpoints, e)
	}
	return p
}

// Run serves until ctx ends, then leaves, serves for the linger time and ends requests in flight.
func (p *Process) Run(ctx context.Context) error {
	l, err := process.Listen(p.set.Admin)
	if err != nil {
		return err
	}
	admin := &http.Server{Handler: p.Admin()}
	defer admin.Close()
	go process.Serve(admin, l)
	defer p.kill()
	for _, e := range p.endpoints {
		if err := e.Start(); err != nil {
			return err
		}
	}
	var announcing sync.WaitGroup
	if len(p.set.Entries) > 0 {
		for i, e := range p.endpoints {
			announcing.Go(func() { e.Announce(ctx, p.set.Entries, i) })
		}
	}
	p.log.WithFields(logrus.Fields{"admin": l.Addr().String(), "endpoints": len(p.endpoints)}).Info("serving")
	<-ctx.Done()
	announcing.Wait()
	return p.stop()
}

func (p *Process) kill() {
	for _, e := range p.endpoints {
		e.Kill()
	}
}

// stop leaves with all endpoints at once, since a whole process stops together.
func (p *Process) stop() error {
	var leaving sync.WaitGroup
	for i, e := range p.endpoints {
		leaving.Go(func() {
			if err := e.Leave(context.Background(), p.set.Entries, i); err != nil {
				p.log.WithError(err).Warn("leave failed")
			}
		})
	}
	leaving.Wait()
	if len(p.endpoints) > 0 {
		<-p.endpoints[0].clock.After(p.set.Linger)
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.set.Grace)
	defer cancel()
	var ending sync.WaitGroup
	for _, e := range p.endpoints {
		ending.Go(func() {
			if err := e.Stop(ctx); err != nil {
				p.log.WithError(err).WithField("endpoint", e.Status().Address).Warn("requests cut at the end of the grace time")
			}
		})
	}
	ending.Wait()
	p.log.Info("stopped")
	return nil
}

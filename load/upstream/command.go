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

// Options holds the flags of load upstream.
type Options struct {
	SettingsFile string
	CheckOnly    bool
}

// Command returns the load upstream command.
func Command() command.Command {
	return command.Command{Name: "upstream", Summary: "run stand-in endpoints of services", Run: run}
}

func run(c command.Console, args []string) error {
	var o Options
	flags := command.Flags(c, "upstream", "--settings FILE",
		"load upstream --settings upstream.toml",
		"load upstream --settings upstream.toml --check",
		`curl -X PUT 'http://127.0.0.1:7900/v1/fault?domain=lappi-a' -d '{"step":"answer","count":3}'`,
		`curl -X PUT 'http://127.0.0.1:7900/v1/report?service=forecast' -d '{"mode":"lag","lag":"5s"}'`,
		"curl 'http://127.0.0.1:7900/v1/runs?after=0'")
	flags.StringVar(&o.SettingsFile, "settings", "", "TOML `file` with the endpoints")
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

// Process runs a set of endpoints that share a run log and an admin address.
type Process struct {
	settings  Settings
	log       *logrus.Logger
	runLog    *RunLog
	endpoints []*Endpoint
}

// New returns a process that doesn't serve until Run is called.
func New(s Settings, c command.Console) *Process {
	p := &Process{settings: s, log: process.NewLogger(c.Err, s.LogLevel), runLog: NewRunLog(s.MaxRuns)}
	for i := range s.Endpoints {
		e := NewEndpoint(s.Endpoints[i], s.Links, c.Clock, p.runLog, p.log, s.Seed+uint64(i))
		p.endpoints = append(p.endpoints, e)
	}
	return p
}

// Run serves until ctx ends. It then announces that the endpoints leave, serves for the linger period
// and waits up to the grace period for requests in flight.
func (p *Process) Run(ctx context.Context) error {
	adminListener, err := process.Listen(p.settings.Admin)
	if err != nil {
		return err
	}
	admin := &http.Server{Handler: p.AdminHandler()}
	defer admin.Close()
	go process.Serve(admin, adminListener)
	defer p.killEndpoints()
	for _, e := range p.endpoints {
		if err := e.Start(); err != nil {
			return err
		}
	}
	var announcers sync.WaitGroup
	if len(p.settings.EntryVMs) > 0 {
		for i, e := range p.endpoints {
			announcers.Go(func() { e.KeepAnnounced(ctx, p.settings.EntryVMs, i) })
		}
	}
	p.log.WithFields(logrus.Fields{"admin": adminListener.Addr().String(), "endpoints": len(p.endpoints)}).Info("serving")
	<-ctx.Done()
	announcers.Wait()
	return p.shutdown()
}

func (p *Process) killEndpoints() {
	for _, e := range p.endpoints {
		e.Kill()
	}
}

// shutdown stops all endpoints concurrently, because a process that ends stops all of them at once.
func (p *Process) shutdown() error {
	var leaves sync.WaitGroup
	for i, e := range p.endpoints {
		leaves.Go(func() {
			if err := e.Leave(context.Background(), p.settings.EntryVMs, i); err != nil {
				p.log.WithError(err).Warn("cannot announce that the endpoint leaves")
			}
		})
	}
	leaves.Wait()
	if len(p.endpoints) > 0 {
		<-p.endpoints[0].clock.After(p.settings.LingerPeriod)
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.GracePeriod)
	defer cancel()
	var stops sync.WaitGroup
	for _, e := range p.endpoints {
		stops.Go(func() {
			if err := e.Stop(ctx); err != nil {
				p.log.WithError(err).WithField("endpoint", e.Status().Address).Warn("requests in flight aborted at the end of the grace period")
			}
		})
	}
	stops.Wait()
	p.log.Info("stopped")
	return nil
}

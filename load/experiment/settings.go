package experiment

import (
	"fmt"
	"net/url"
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/settings"
	"cuminfall.example/load/caller"
)

// Settings tells the experiments about the processes that a script started.
type Settings struct {
	Control    []string        `toml:"control"` // addresses of control members
	Operator   ident.Operator  `toml:"operator"`
	Credential string          `toml:"credential"`
	Relays     []string        `toml:"relays"` // admin addresses of relays
	VMs        int             `toml:"vms"`    // entry VMs; the fixed split divides by it
	Domain     ident.Domain    `toml:"domain"` // the failure domain that is drained
	Region     ident.Region    `toml:"region"` // the region that is lost or shifted away from
	Target     ident.Region    `toml:"target"` // the region that is shifted to
	Hooks      []Hook          `toml:"hook"`
	Call       caller.Settings `toml:"call"`
}

// Hook is what to do at the event of an experiment: a request to an admin endpoint, or a signal to a process.
type Hook struct {
	Experiment string `toml:"experiment"`
	Post       string `toml:"post"` // URL of an admin endpoint
	PID        int    `toml:"pid"`  // process of the fleet that gets SIGKILL
}

// Defaults returns the settings that apply where the file says nothing.
func Defaults() Settings { return Settings{VMs: 8, Call: caller.Defaults()} }

// Check implements settings.Checkable.
func (s *Settings) Check(c *settings.Checker) {
	for i, a := range s.Control {
		c.Address(fmt.Sprintf("control[%d]", i), a)
	}
	for i, a := range s.Relays {
		c.Address(fmt.Sprintf("relays[%d]", i), a)
	}
	if s.VMs < 1 {
		c.Fail("vms", fmt.Sprint(s.VMs), "at least 1")
	}
	for i, h := range s.Hooks {
		key := fmt.Sprintf("hook[%d].", i)
		c.OneOf(key+"experiment", h.Experiment, Names()...)
		if _, err := url.ParseRequestURI(h.Post); h.Post != "" && err != nil {
			c.Fail(key+"post", h.Post, "a URL")
		}
		if (h.Post == "") == (h.PID == 0) || h.PID < 0 || h.PID == 1 {
			c.Fail(key+"post, pid", fmt.Sprintf("%q, %d", h.Post, h.PID), "one of the two")
		}
	}
	s.Call.CheckAs(c, "call.")
	c.Duration("call.warmup + call.duration", s.Call.Warmup+s.Call.Duration, 0, time.Minute)
}

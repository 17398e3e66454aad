package experiment

import (
	"fmt"
	"net/url"
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/settings"
	"cuminfall.example/load/caller"
)

// Settings holds the addresses of the processes that a script started, and the parameters of the experiments.
type Settings struct {
	ControlAddresses []string        `toml:"control"` // addresses of control members
	Operator         ident.Operator  `toml:"operator"`
	Credential       string          `toml:"credential"`
	RelayAdmins      []string        `toml:"relays"` // admin addresses of relays
	VMs              int             `toml:"vms"`    // number of entry VMs, by which the baseline fixed-split divides the rates
	DrainDomain      ident.Domain    `toml:"domain"` // drained failure domain; empty means the first one
	SourceRegion     ident.Region    `toml:"region"` // region that is lost, or from which traffic is shifted; empty means the first one
	TargetRegion     ident.Region    `toml:"target"` // region to which traffic is shifted; empty means the last one
	Hooks            []Hook          `toml:"hook"`
	Call             caller.Settings `toml:"call"`
}

// Hook is an action at the event of an experiment: a POST to an admin endpoint or a SIGKILL to a process.
type Hook struct {
	Experiment string `toml:"experiment"`
	PostURL    string `toml:"post"` // URL of an admin endpoint
	PID        int    `toml:"pid"`  // process that receives SIGKILL
}

// Defaults returns the settings for keys that are missing in the file.
func Defaults() Settings { return Settings{VMs: 8, Call: caller.Defaults()} }

// Check implements settings.Checkable.
func (s *Settings) Check(c *settings.Checker) {
	for i, a := range s.ControlAddresses {
		c.Address(fmt.Sprintf("control[%d]", i), a)
	}
	for i, a := range s.RelayAdmins {
		c.Address(fmt.Sprintf("relays[%d]", i), a)
	}
	if s.VMs < 1 {
		c.Fail("vms", fmt.Sprint(s.VMs), "at least 1")
	}
	for i, h := range s.Hooks {
		key := fmt.Sprintf("hook[%d].", i)
		c.OneOf(key+"experiment", h.Experiment, Names()...)
		if _, err := url.ParseRequestURI(h.PostURL); h.PostURL != "" && err != nil {
			c.Fail(key+"post", h.PostURL, "a URL")
		}
		if (h.PostURL == "") == (h.PID == 0) || h.PID < 0 || h.PID == 1 {
			c.Fail(key+"post, pid", fmt.Sprintf("%q, %d", h.PostURL, h.PID), "exactly one of post and pid, with pid above 1")
		}
	}
	s.Call.CheckWithPrefix(c, "call.")
	c.Duration("call.warmup + call.duration", s.Call.Warmup+s.Call.Duration, 0, time.Minute)
}

package router

import "cuminfall.example/fleet/fault"

// Stats holds the router's counters since its start.
type Stats struct {
	Arrived    uint64
	Sent       uint64 // first attempts
	Retried    uint64 // further attempts
	Done       uint64
	Queued     uint64 // requests that waited
	Claims     uint64
	Asked      uint64 // session exchanges requested with RequestSync
	Shifted    uint64 // requests that a shift moved, or that counted against its cap when they spilled
	Spilled    uint64 // attempts sent to another region
	Throttled  uint64 // transfers that had to wait
	Rate       uint64 // refusals by error code, up to Other
	Busy       uint64
	Stale      uint64
	Key        uint64
	Deadline   uint64
	Upstream   uint64
	Other      uint64
	Leaving    uint64 // upstreams that said in a response that they leave
	Quiet      uint64 // quiet spans that upstreams asked for
	Withheld   uint64 // attempts that were not sent because the upstream had left or asked for quiet
	Outdated   uint64 // parts of control's replies with a lower version than the one in use
	Unreadable uint64 // configurations from control that could not be parsed
}

func (s *Stats) countRefusal(f *fault.Error) {
	switch f.Code {
	case fault.RateExceeded:
		s.Rate++
	case fault.Busy:
		s.Busy++
	case fault.Stale:
		s.Stale++
	case fault.InvalidKey:
		s.Key++
	case fault.Deadline:
		s.Deadline++
	case fault.Upstream, fault.Unreachable:
		s.Upstream++
	default:
		s.Other++
	}
}

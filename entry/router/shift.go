package router

import (
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
)

// shift is a planned move of a part of a service's traffic between regions or
// failure domains, with this VM's share of its rate limit.
type shift struct {
	document.Shift
	name       string
	configured bool
	credit     float64 // requests that may be moved now; at most 1, so that no backlog is moved later
	bucket     limit.Bucket
	demand     meter // requests per second that the shift would move without its rate limit
}

func (s *shift) movesFrom(e *endpoint) bool { return e.within(s.From) }

func (s *shift) movesTo(e *endpoint) bool { return e.within(s.To) }

// within reports whether the endpoint is in the region or failure domain with this name.
func (e *endpoint) within(name string) bool {
	return string(e.domain) == name || string(e.region.name) == name
}

func (v *view) shift(name string) *shift {
	s := v.shifts[name]
	if s == nil {
		s = &shift{name: name}
		v.shifts[name] = s
		v.shiftList = append(v.shiftList, s)
	}
	return s
}

// setShifts updates the shifts of each service, in the order of the document.
func (v *view) setShifts() {
	for _, s := range v.serviceList {
		s.shifts = s.shifts[:0]
	}
	for _, s := range v.shiftList {
		s.configured = false
	}
	for _, d := range v.document.Shifts.Shifts {
		s := v.shift(d.Name)
		s.Shift, s.configured = d, true
		if service := v.services[ident.Service(d.Service)]; service != nil {
			service.shifts = append(service.shifts, s)
		}
	}
}

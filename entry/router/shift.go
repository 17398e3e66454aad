package router

import (
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
)

// shift is a planned move of traffic with this VM's share of its cap.
type shift struct {
	document.Shift
	name     string
	known    bool
	acc      float64 // requests due to be moved; at most 1, so that no backlog is moved later
	bucket   limit.Bucket
	arrivals meter // requests that the shift would move
}

func (s *shift) from(e *endpoint) bool { return e.within(s.From) }

func (s *shift) to(e *endpoint) bool { return e.within(s.To) }

// within reports whether the endpoint is in the region or failure domain of that name.
func (e *endpoint) within(place string) bool {
	return string(e.domain) == place || string(e.region.name) == place
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

// setShifts gives each service its shifts in the order of the document.
func (v *view) setShifts() {
	for _, s := range v.serviceList {
		s.shifts = s.shifts[:0]
	}
	for _, s := range v.shiftList {
		s.known = false
	}
	for _, d := range v.document.Shifts.Shifts {
		s := v.shift(d.Name)
		s.Shift, s.known = d, true
		if service := v.services[ident.Service(d.Service)]; service != nil {
			service.shifts = append(service.shifts, s)
		}
	}
}

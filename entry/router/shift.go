package router

import (
	"time"

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
	demand     meter // requests per second that would go from the source to the target without the rate limit
}

func (s *shift) movesFrom(e *endpoint) bool { return e.within(s.From) }

func (s *shift) movesTo(e *endpoint) bool { return e.within(s.To) }

// spillsTo reports whether a request at the endpoint, which is in the shift's target, spills there from its source: the
// source is nearer and has an upstream. Only a verdict, a drain or its own leaving takes an upstream out of use, so
// suspicions and failures that this VM saw do not lift the cap.
func (s *shift) spillsTo(e *endpoint, candidates []*endpoint) bool {
	if !s.movesTo(e) || s.movesFrom(e) {
		return false
	}
	for _, source := range candidates {
		if s.movesFrom(source) && !source.notice.leaving && source.distance < e.distance {
			return true
		}
	}
	return false
}

// spill returns the shift whose cap a request counts against if it is sent to the endpoint although no shift moves it,
// or nil. It returns false if the request may not be sent there, because the cap has no tokens.
func (s *service) spill(e *endpoint, now time.Time) (*shift, bool) {
	allowed := true
	for _, shift := range s.shifts {
		if shift.spillsTo(e, s.endpoints) {
			if shift.bucket.Tokens(now) >= 1 {
				return shift, true
			}
			allowed = false
		}
	}
	return nil, allowed
}

// demandSpill adds a request that waits to the demand for the caps that hold it back.
func (s *service) demandSpill(q *request, now time.Time) {
	for _, shift := range s.shifts {
		for _, e := range s.endpoints {
			if !q.spillDemanded && e.hasCapacity() && shift.spillsTo(e, s.endpoints) {
				shift.demand.add(now, 1)
				q.spillDemanded = true
			}
		}
	}
}

// nextSpill returns when a shift of a service with waiting requests gets one more token.
func (r *Router) nextSpill() time.Time {
	next := r.now.Add(time.Hour)
	for _, s := range r.view.serviceList {
		if s.waiting == 0 {
			continue
		}
		for _, shift := range s.shifts {
			if delay, ok := shift.bucket.WaitTime(r.now, 1); ok && delay > 0 {
				next = earlier(next, r.now.Add(delay))
			}
		}
	}
	return next
}

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
